/// Counters of decisions, since the start of the process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct QueryCounters {
    /// Reads and writes received.
    pub requests: u64,
}
