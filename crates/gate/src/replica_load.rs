use crate::Gate;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::ReplicaReport;

/// Load and limits of an owned replica, for operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaLoad {
    /// Number of sub-requests that the replica may run at once now; below `slots` during a ramp,
    /// which raises the limits step by step after a start or a failure.
    pub allowance: u32,
    /// Key of the replica.
    pub replica: ReplicaKey,
    /// Report on the replica that entry nodes receive.
    pub report: ReplicaReport,
    /// Number of occupied slots.
    pub running: u32,
    /// Largest number of sub-requests that may run at once.
    pub slots: u32,
    /// Number of sub-requests that wait for a slot.
    pub waiting: u32,
}

impl Gate {
    /// Returns the load of each owned replica, ordered by key.
    #[must_use]
    pub fn replica_loads(&self, now_us: u64) -> Vec<ReplicaLoad> {
        let owned = self.reports(now_us).into_iter();
        let replica_loads = owned.filter_map(|(key, report)| {
            let replica = self.replicas.get(&key)?;
            Some(ReplicaLoad {
                allowance: replica.allowance(),
                replica: key,
                report,
                running: replica.occupied_slots(),
                slots: replica.slots(),
                waiting: replica.waiting.len() as u32,
            })
        });
        replica_loads.collect()
    }
}
