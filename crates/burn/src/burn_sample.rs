use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::Outcome;

/// Error-budget counters of one node, served at `GET /burn`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BurnSample {
    /// Counts of each class.
    pub classes: Vec<ClassSample>,
    /// Name of the node.
    pub node: Arc<str>,
    /// Requests since the node started that belong to no counted class: the class is unknown or
    /// beyond `MAX_CLASSES`.
    pub uncounted: u64,
}

/// Counts of one query class.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClassSample {
    /// Name of the class.
    pub class: Arc<str>,
    /// Longest latency of a good request, in milliseconds.
    pub latency_ms: u64,
    /// Objective of the service level: share of requests that must be good, in parts per
    /// million.
    pub objective_ppm: u32,
    /// Counts per window, shortest window first.
    pub windows: Vec<WindowSample>,
}

/// Counts of the last `window_s` seconds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WindowSample {
    /// Uptime of the node within the window, in seconds.
    pub covered_s: u64,
    /// Requests that met the service level.
    pub good: u64,
    /// Requests that spent error budget because they missed the service level, by outcome
    /// and cause.
    pub spent: Vec<SpentCount>,
    /// Length of the window in seconds.
    pub window_s: u64,
}

/// Requests that spent error budget with the same outcome and cause.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SpentCount {
    /// Name of the cause.
    pub cause: Arc<str>,
    /// Number of requests.
    pub count: u64,
    /// Outcome of the requests.
    pub outcome: Outcome,
}
