/// Counters of a target since its creation; restarts do not reset them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetCounts {
    /// Requests that ended with a result.
    pub answered: u64,
    /// Requests ended by a cancellation.
    pub cancelled: u64,
    /// Requests started above the load limits of the cold start.
    pub cold_violations: u64,
    /// Connections refused because the connection limit was reached.
    pub connections_over_limit: u64,
    /// Currently open connections.
    pub connections_open: u32,
    /// Connections accepted.
    pub connections_opened: u64,
    /// Requests ended at their deadline.
    pub deadline_exceeded: u64,
    /// Requests refused without running because the target was draining.
    pub refused_draining: u64,
    /// Requests refused without running because an attempt with the same id was running.
    pub duplicate_attempts: u64,
    /// Requests that ran without a reply: `Target::lose_replies` was set, or the target
    /// restarted or stopped.
    pub lost: u64,
    /// Maximum number of concurrently open connections.
    pub max_connections: u32,
    /// Maximum number of concurrently running requests.
    pub max_running: u32,
    /// Requests shed because all slots were in use; included in `shed`.
    pub over_slots: u64,
    /// Health probes received.
    pub probes: u64,
    /// Requests received.
    pub requests: u64,
    /// Restarts.
    pub restarts: u64,
    /// Currently running requests.
    pub running: u32,
    /// Requests shed without running.
    pub shed: u64,
    /// Cancellations of attempts that were not running.
    pub unknown_cancels: u64,
    /// Requests refused without running because the target does not serve their version.
    pub version_gone: u64,
}
