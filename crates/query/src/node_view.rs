use std::collections::BTreeSet;

use crate::limits::REPORT_WAIT_US;
use crate::reach::Reach;
use wigeonhall_types::ReplicaKey;

/// What this node knows of an owner.
#[derive(Clone, Debug, Default)]
pub struct NodeView {
    /// Local time of the first ask that no report followed.
    pub asked_since_us: Option<u64>,
    /// Local time of its last reply or report.
    pub heard_us: Option<u64>,
    /// Local time of the last ask.
    pub last_ask_us: Option<u64>,
    /// Whether it can be reached.
    pub reach: Reach,
    /// A `Refresh` timer is set.
    pub refresh_set: bool,
    /// Replicas that the node owns.
    pub replicas: BTreeSet<ReplicaKey>,
}

impl NodeView {
    /// Whether the owner was asked and let the wait for reports pass.
    pub fn silent(&self, now_us: u64) -> bool {
        self.asked_since_us
            .is_some_and(|since| now_us >= since + REPORT_WAIT_US)
    }
}
