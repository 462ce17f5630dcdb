use crate::Gate;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::ReplicaReport;

/// The state of an owned replica, for operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaLoad {
    /// Requests that may run at once now.
    pub allowance: u32,
    /// The replica.
    pub replica: ReplicaKey,
    /// What entry nodes are told.
    pub report: ReplicaReport,
    /// Requests that hold a slot.
    pub running: u32,
    /// Largest number of requests that run at once.
    pub slots: u32,
    /// Sub-requests that wait for a slot.
    pub waiting: u32,
}

impl Gate {
    /// State of each owned replica, by key.
    #[must_use]
    pub fn replica_loads(&self, now_us: u64) -> Vec<ReplicaLoad> {
        let owned = self.reports(now_us).into_iter();
        let replica_loads = owned.filter_map(|(key, report)| {
            let replica = self.replicas.get(&key)?;
            Some(ReplicaLoad {
                allowance: replica.capacity(),
                replica: key,
                report,
                running: replica.taken(),
                slots: replica.slots(),
                waiting: replica.waiting.len() as u32,
            })
        });
        replica_loads.collect()
    }
}
