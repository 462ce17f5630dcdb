/// Counters of decisions, since the start of the process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GateCounters {
    /// Sub-requests received.
    pub submitted: u64,
}
