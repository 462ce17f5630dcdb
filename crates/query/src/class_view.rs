//! State of a query class, the kind of query that callers name, as known to this node, and the
//! choice of the index version that a request is pinned to.

use std::collections::BTreeSet;

use crate::QueryId;
use crate::version_plan::VersionPlan;
use wigeonhall_types::ClassKind;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::KeyRange;
use wigeonhall_types::NodeKey;
use wigeonhall_types::QueryClass;
use wigeonhall_types::ServiceKey;

/// This node's view of a query class.
#[derive(Clone, Debug)]
pub struct ClassView {
    /// Newest version that every usable replica with known versions reports.
    pub common_version: Option<IndexVersion>,
    /// Whether the plans must be computed again, because reports, owners or the deployment have
    /// changed since.
    pub dirty: bool,
    /// Kind of the class.
    pub kind: ClassKind,
    /// Longest expected wait for a slot at which a read is still sent.
    pub longest_wait_us: u64,
    /// Plans, newest version first.
    pub plans: Vec<VersionPlan>,
    /// Whether a `Recheck` timer is set.
    pub recheck_scheduled: bool,
    /// Shard services that the class depends on.
    pub services: Vec<ServiceKey>,
    /// Owners (the nodes through which all requests to their replicas go) of replicas without a
    /// report.
    pub unreported_owners: BTreeSet<NodeKey>,
    /// Requests that wait for reports.
    pub waiting: BTreeSet<QueryId>,
}

impl ClassView {
    /// Creates the state of a class without reports.
    pub fn new(class: &QueryClass) -> Self {
        Self {
            common_version: None,
            dirty: true,
            kind: class.kind,
            longest_wait_us: class.longest_wait_us(),
            plans: Vec::new(),
            recheck_scheduled: false,
            services: class.depends_on.clone(),
            unreported_owners: BTreeSet::new(),
            waiting: BTreeSet::new(),
        }
    }

    /// Returns the plan to read `range` with. Among the plans that cover all of `range`, it is
    /// the one that the largest share of replicas can serve; if there is none, the plan that
    /// covers the most keys. The newest plan wins ties. Returns `None` if no usable replica holds
    /// a key of `range`.
    ///
    /// Preferring the newest version alone would send every query to the first replica that a
    /// rolling update reaches.
    pub fn choose_plan(&self, range: KeyRange) -> Option<&VersionPlan> {
        let whole = self.plans.iter().rev();
        let whole = whole.filter(|plan| plan.covered.covers(range));
        // `max_by_key` returns the last of equal plans, which is the newest.
        if let Some(best) = whole.max_by_key(|plan| plan.min_holders_percent) {
            return Some(best);
        }
        let mut best: Option<(u64, &VersionPlan)> = None;
        for plan in &self.plans {
            let width = plan.width_within(range);
            if width > best.map_or(0, |(width, _)| width) {
                best = Some((width, plan));
            }
        }
        best.map(|(_, plan)| plan)
    }

    /// Returns the version and service that a write of `key` is sent to.
    pub fn place_write(&self, key: u64) -> Option<(IndexVersion, ServiceKey)> {
        let common_version = self.common_version?;
        let plan = self
            .plans
            .iter()
            .find(|plan| plan.version == common_version)?;
        Some((common_version, plan.service_of(key)?))
    }
}
