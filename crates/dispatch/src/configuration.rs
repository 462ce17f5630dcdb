use std::sync::Arc;

use crate::RouteSpec;

/// One version of what the operators wrote.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// Bounds on what callers may send.
    pub limits: RequestLimits,
    /// Routes in the operators' order.
    pub routes: Vec<RouteSpec>,
    /// Services that routes name.
    pub services: Vec<ServiceSpec>,
    /// Rises with each version, in uneven steps.
    pub version: u64,
}

/// Bounds on what a caller may send, and how slowly.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestLimits {
    /// Longest body.
    pub body_bytes: usize,
    /// Longest head of a request.
    pub header_bytes: usize,
    /// Longest time for the head of a request.
    pub header_timeout_ms: u64,
    /// Longest time that a connection stays without a request.
    pub idle_timeout_ms: u64,
}

/// What the operators say of a service.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    /// Requests a second that a cold replica tolerates; 0 states no rate.
    pub cold_rate_per_s: f64,
    /// Connections that one replica accepts from all callers together.
    pub max_connections: u32,
    /// Name of the service.
    pub name: Arc<str>,
}
