/// Condition of a replica when a sub-request is sent to it.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum ReplicaCondition {
    /// Neither slow nor cold.
    #[default]
    Healthy,
    /// The target is in its cold start, or its owner limits it to the cold bound, the maximum load
    /// during a cold start.
    Cold,
    /// In a data centre that is out of service.
    Out,
    /// The target process does not run.
    Down,
    /// The target is a straggler.
    Slow,
}

/// Outcome of the hedge of the sub-request whose reply completed an answer.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum HedgeOutcome {
    /// No hedge was sent.
    #[default]
    None,
    /// The hedge was refused.
    Refused,
    /// The hedge was accepted, but the reply to the first attempt came first.
    Lost,
    /// The reply to the hedge came first.
    Won,
}

/// Latency of one answer at its entry node, broken down by cause.
///
/// It follows the last sub-request, whose reply completed the query, and the earlier attempts
/// at the same leg, the share of the query that one shard service answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LatencyBreakdown {
    /// Condition of the replica of the last sub-request.
    pub condition: ReplicaCondition,
    /// Hedge delays before the last sub-request was sent, in microseconds.
    pub hedge_us: u64,
    /// Outcome of the hedge of the last sub-request's leg.
    pub hedge_outcome: HedgeOutcome,
    /// Network delays of the last sub-request, in microseconds.
    pub network_us: u64,
    /// Time lost to restarts of the read: from the first sub-request of the query to the first
    /// attempt at the leg of the last sub-request, in microseconds.
    pub restart_us: u64,
    /// Number of refused or failed attempts before the last sub-request.
    pub retries: u32,
    /// Time that these attempts took, in microseconds.
    pub retry_us: u64,
    /// Service time at the target, in microseconds.
    pub service_us: u64,
    /// Worst condition among the other replicas of the service.
    pub worst_sibling: ReplicaCondition,
    /// Time from the arrival of the query to its first sub-request, in microseconds.
    pub start_us: u64,
    /// Total time at the entry node, in microseconds.
    pub total_us: u64,
    /// Time that the last sub-request waited for a slot at the owner, in microseconds.
    pub wait_us: u64,
    /// Whether the answer was whole.
    pub whole: bool,
}
