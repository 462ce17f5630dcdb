/// Counters of decisions, since the start of the process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FleetCounters {
    /// Messages sent to other nodes.
    pub messages_sent: u64,
}
