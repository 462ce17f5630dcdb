use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::Outcome;

/// What a node serves at `GET /burn`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BurnSample {
    /// Counts of each class.
    pub classes: Vec<ClassSample>,
    /// Name of the node.
    pub node: Arc<str>,
    /// Requests since the start of classes that are not counted.
    pub uncounted: u64,
}

/// Counts of one class.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClassSample {
    /// Name of the class.
    pub class: Arc<str>,
    /// Good answers arrive within this time, in milliseconds.
    pub latency_ms: u64,
    /// Wanted share of good answers, in parts per million.
    pub objective_ppm: u32,
    /// Counts by rising window.
    pub windows: Vec<WindowSample>,
}

/// Counts of the last `window_s` seconds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WindowSample {
    /// Part of the window in which the node ran, in seconds.
    pub covered_s: u64,
    /// Requests that met the service level.
    pub good: u64,
    /// Requests that did not.
    pub spent: Vec<SpentCount>,
    /// Length in seconds.
    pub window_s: u64,
}

/// Requests that spent error budget for one cause.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SpentCount {
    /// What caused it.
    pub cause: Arc<str>,
    /// Number of requests.
    pub count: u64,
    /// How they ended.
    pub outcome: Outcome,
}
