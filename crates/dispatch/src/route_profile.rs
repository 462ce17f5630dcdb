/// Typical responses of the replicas on a route, as observed by this node.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RouteProfile {
    /// Median latency; `None` before the first response.
    pub latency_us: Option<f64>,
    /// Mean size of a response's body; `None` before the first response.
    pub response_bytes: Option<f64>,
}
