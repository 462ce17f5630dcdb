use crate::GateAction;
use crate::GateCounters;
use crate::GateEvent;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::ReplicaReport;

/// Decides when each sub-request to an owned replica starts.
#[derive(Debug, Default)]
pub struct Gate {
    counters: GateCounters,
}

impl Gate {
    /// A gate that owns no replica.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counters of decisions.
    #[must_use]
    pub const fn counters(&self) -> &GateCounters {
        &self.counters
    }

    /// Takes one event and pushes what follows from it.
    pub fn handle(&mut self, _now_us: u64, _event: GateEvent, _actions: &mut Vec<GateAction>) {}

    /// Local time at which the next `Tick` is due.
    #[must_use]
    pub const fn next_wake_us(&self) -> Option<u64> {
        None
    }

    /// Reports of all owned replicas.
    #[must_use]
    pub const fn reports(&self, _now_us: u64) -> Vec<(ReplicaKey, ReplicaReport)> {
        Vec::new()
    }

    /// Number of sub-requests waiting or running.
    #[must_use]
    pub const fn open_requests(&self) -> usize {
        0
    }
}
