use std::sync::Arc;

/// The claim of a request to capacity, where the configuration names tenants.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantClaim {
    /// Requests per second that the tenant has made recently over all nodes, refused ones included;
    /// `None` if this node has not been told.
    pub demand_per_s: Option<f64>,
    /// Priority of the tenant, which replaces the route's; lower numbers are more urgent.
    pub priority: Option<u32>,
    /// Name of the tenant; empty for all anonymous callers together.
    pub tenant: Arc<str>,
    /// Weight of the tenant when capacity is divided.
    pub weight: f64,
}
