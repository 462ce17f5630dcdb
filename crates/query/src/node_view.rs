use std::collections::BTreeSet;

use crate::limits::REPORT_TIMEOUT_US;
use crate::reachability::Reachability;
use wigeonhall_types::ReplicaKey;

/// What this node knows of an owner.
#[derive(Clone, Debug, Default)]
pub struct NodeView {
    /// Local time of the first ask that no report followed.
    pub first_unanswered_ask_us: Option<u64>,
    /// Local time of its last reply or report.
    pub last_contact_us: Option<u64>,
    /// Local time of the last ask.
    pub last_ask_us: Option<u64>,
    /// Whether it can be reached.
    pub reachability: Reachability,
    /// A `Refresh` timer is set.
    pub refresh_set: bool,
    /// Replicas that the node owns.
    pub replicas: BTreeSet<ReplicaKey>,
}

impl NodeView {
    /// Whether the owner was asked and let the wait for reports pass.
    pub fn overdue(&self, now_us: u64) -> bool {
        self.first_unanswered_ask_us
            .is_some_and(|since| now_us >= since + REPORT_TIMEOUT_US)
    }
}
