/// State of a replica when a sub-request reaches it.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Condition {
    /// Neither slow nor cold.
    #[default]
    Healthy,
    /// Its owner holds it to the bound of a cold start, or the target itself is cold.
    Cold,
    /// In a data centre that is out.
    Out,
    /// Does not run.
    Down,
    /// A straggler.
    Slow,
}

/// What became of the second try of the sub-request that ended an answer.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Hedging {
    /// None was sent.
    #[default]
    None,
    /// It found no free slot.
    Refused,
    /// It ran, and was overtaken by the first try.
    Lost,
    /// Its reply came first.
    Won,
}

/// Time of one answer at its entry node, by what it was spent on. The parts speak of
/// the sub-request whose reply ended the query, and of the tries before it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TimeParts {
    /// State of the replica that replied last.
    pub condition: Condition,
    /// Delay of hedges on the way to the last sub-request, in microseconds.
    pub hedge_us: u64,
    /// What became of the hedge of the last sub-request.
    pub hedging: Hedging,
    /// All hops of the last sub-request.
    pub network_us: u64,
    /// From the first send of the query to the first send of its last part: restarts.
    pub restart_us: u64,
    /// Refused or failed tries before the last sub-request.
    pub retries: u32,
    /// Time that those took.
    pub retry_us: u64,
    /// Time of the target.
    pub service_us: u64,
    /// Worst state of the other replicas of the service.
    pub sibling: Condition,
    /// From the arrival of the query to its first send.
    pub start_us: u64,
    /// The whole time at the entry node.
    pub total_us: u64,
    /// Wait for a slot at the owner.
    pub wait_us: u64,
    /// The answer was whole; otherwise it was a refusal or failure.
    pub whole: bool,
}
