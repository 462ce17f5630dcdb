/// What a target saw since it was made, restarts included.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetCounts {
    /// Requests answered.
    pub answered: u64,
    /// Requests stopped by a cancellation.
    pub cancelled: u64,
    /// Starts above the load that the target bears in cold start.
    pub cold_violations: u64,
    /// Connections that arrived while the limit was reached.
    pub connections_over_limit: u64,
    /// Connections open now.
    pub connections_open: u32,
    /// Connections accepted.
    pub connections_opened: u64,
    /// Requests stopped at their deadline.
    pub deadline_exceeded: u64,
    /// Requests that arrived while the target drained; they were not run.
    pub drained: u64,
    /// Attempts that arrived while the same attempt ran; they were not run.
    pub duplicate_attempts: u64,
    /// Requests whose reply was dropped or whose connection broke while they ran.
    pub lost: u64,
    /// Largest number of connections open at once.
    pub max_connections: u32,
    /// Largest number of requests that ran at once.
    pub max_running: u32,
    /// Requests that arrived while all slots were taken; they were shed.
    pub over_slots: u64,
    /// Probes.
    pub probes: u64,
    /// Requests that arrived.
    pub requests: u64,
    /// Restarts.
    pub restarts: u64,
    /// Requests running now.
    pub running: u32,
    /// Requests shed; they were not run.
    pub shed: u64,
    /// Cancellations of attempts that did not run.
    pub unknown_cancels: u64,
    /// Requests for a version that the target does not serve; they were not run.
    pub version_gone: u64,
}
