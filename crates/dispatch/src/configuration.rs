use std::collections::BTreeSet;
use std::sync::Arc;

use crate::RouteSpec;
use crate::TenantSpec;

/// One version of the operators' configuration.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// Limits on callers' requests and connections.
    pub limits: RequestLimits,
    /// Routes in the order of the configuration.
    pub routes: Vec<RouteSpec>,
    /// Settings of the services that the routes use.
    pub services: Vec<ServiceSpec>,
    /// Tenants, whose keys callers must present; `None` if callers need no keys.
    pub tenants: Option<Vec<TenantSpec>>,
    /// Version number; increases with each version, not always by one.
    pub version: u64,
}

impl Configuration {
    /// Returns the names of the services that it has settings for or routes to.
    #[must_use]
    pub fn service_names(&self) -> BTreeSet<Arc<str>> {
        let set_up = self.services.iter().map(|service| &service.name);
        let routed = self.routes.iter();
        let routed = routed.flat_map(|route| route.target.service_names());
        set_up.chain(routed).cloned().collect()
    }
}

/// Limits on the size and duration of callers' requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestLimits {
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// Maximum size of a request head.
    pub header_bytes: usize,
    /// Timeout for receiving a request head.
    pub header_timeout_ms: u64,
    /// Timeout of a connection on which no request is in progress.
    pub idle_timeout_ms: u64,
}

/// The operators' settings of a service.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    /// Requests per second that a cold (newly started) replica accepts from all nodes together; 0
    /// means no limit.
    pub cold_rate_per_s: f64,
    /// Length of the cold start of a replica; 0 if it is not stated.
    pub cold_start_ms: u64,
    /// Maximum number of connections that one replica accepts from all nodes together.
    pub max_connections: u32,
    /// Name of the service.
    pub name: Arc<str>,
}
