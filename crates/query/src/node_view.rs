//! Reports, contacts and reachability of each owner, as known to this node. The owner of a replica
//! is the one node through which all requests to the replica go; it describes the replica in
//! reports.

use std::collections::BTreeSet;

use crate::limits::REPORT_TIMEOUT_US;
use crate::reachability::Reachability;
use wigeonhall_types::ReplicaKey;

/// This node's view of an owner.
#[derive(Clone, Debug, Default)]
pub struct NodeView {
    /// Local time of the first `AskReports` since the last reply or report.
    pub unanswered_since_us: Option<u64>,
    /// Local time at which its last reply or report arrived.
    pub last_contact_us: Option<u64>,
    /// Local time of the last `AskReports`.
    pub last_asked_us: Option<u64>,
    /// Reachability of the owner.
    pub reachability: Reachability,
    /// Whether a `Refresh` timer is set.
    pub refresh_scheduled: bool,
    /// Replicas that the node owns.
    pub replicas: BTreeSet<ReplicaKey>,
}

impl NodeView {
    /// Returns whether the owner's reports are late: it was asked for them and has sent nothing for
    /// `REPORT_TIMEOUT_US`.
    pub fn is_late(&self, now_us: u64) -> bool {
        self.unanswered_since_us
            .is_some_and(|since| now_us >= since + REPORT_TIMEOUT_US)
    }
}
