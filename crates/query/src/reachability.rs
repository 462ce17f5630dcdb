//! Reachability of owners. The owner of a replica is the one node through which all requests to the
//! replica go.

/// Reachability of an owner as this node observes it. Ordered from most to least preferred in
/// routing.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Reachability {
    /// Replies, or has not been contacted yet.
    #[default]
    Responsive,
    /// Sent neither replies nor reports while sub-requests were open at it; its replicas rank
    /// last.
    Unresponsive,
    /// Declared dead or disconnected; its replicas get no sub-requests until it sends a
    /// report.
    Lost,
}
