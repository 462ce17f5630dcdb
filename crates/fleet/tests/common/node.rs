//! A simulated node with its clock and what it has shown of its state.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use wigeonhall_fleet::Fleet;
use wigeonhall_fleet::NotReadyReason;
use wigeonhall_types::Deployment;
use wigeonhall_types::NameCatalog;
use wigeonhall_types::OwnershipTable;

pub struct Node {
    pub boot: u64,
    pub(super) catalog: NameCatalog,
    /// Drift of the local clock in microseconds per second, and its value at time 0 of the
    /// simulation.
    pub(super) clock: (i64, u64),
    pub data_centre: usize,
    pub fleet: Option<Fleet>,
    /// Smallest generation with which the node may be ready, also after a restart.
    pub(super) min_ready_generation: u64,
    /// Replicas granted in this boot.
    pub grants: BTreeSet<Arc<str>>,
    pub in_force: Option<Arc<Deployment>>,
    pub lease_until: u64,
    pub lost_nodes: Vec<Arc<str>>,
    /// Ids of the overrides whose effect this boot has shown.
    pub(super) shown_overrides: BTreeSet<Arc<str>>,
    pub name: Arc<str>,
    pub(super) paused_until: u64,
    /// Latest reported readiness: `Some(None)` if ready, `None` before the first report.
    pub ready: Option<Option<NotReadyReason>>,
    pub stopped: bool,
    pub tables: BTreeMap<Arc<str>, Arc<OwnershipTable>>,
    /// Time of the scheduled tick; 0 if none is scheduled.
    pub(super) wake_at: u64,
}

impl Node {
    pub fn generation(&self) -> u64 {
        self.in_force.as_ref().map_or(0, |it| it.generation)
    }

    pub(super) fn local_time(&self, now: u64) -> u64 {
        self.clock.1 + (now as i128 * (1_000_000 + self.clock.0) as i128 / 1_000_000) as u64
    }

    pub(super) fn global_time(&self, local_time: u64) -> u64 {
        let passed = local_time.saturating_sub(self.clock.1) as i128 * 1_000_000;
        (passed / (1_000_000 + self.clock.0) as i128) as u64 + 1
    }
}
