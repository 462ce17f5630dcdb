//! Detects owners that send neither replies nor reports while sub-requests are open at them. The
//! owner of a replica is the one node through which all requests to the replica go.

use crate::Coordinator;
use crate::QueryAction;
use crate::limits::REPORT_TIMEOUT_US;

/// Liveness of an owner since a sub-request was sent to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OwnerLiveness {
    /// Sent nothing since; it was asked for reports, and the timeout has not passed.
    Undecided,
    /// Sent a reply or a report since, so only the sub-request itself is slow.
    Responsive,
    /// Sent nothing since, and nothing within the timeout after `AskReports`: frozen,
    /// partitioned or terminated. Counted as `owners_silent`.
    Unresponsive,
}

impl Coordinator {
    /// Checks the owner of an overdue sub-request, and asks it for reports if it has sent
    /// nothing since.
    pub(crate) fn check_owner(
        &mut self,
        now_us: u64,
        sequence: u64,
        actions: &mut Vec<QueryAction>,
    ) -> OwnerLiveness {
        let Some(sub) = self.sub_requests.get(&sequence) else {
            return OwnerLiveness::Responsive;
        };
        let (node, sent_us) = (sub.node, sub.sent_us);
        let view = self.routing.nodes.entry(node).or_default();
        if view
            .last_contact_us
            .is_some_and(|last_contact_us| last_contact_us > sent_us)
        {
            return OwnerLiveness::Responsive;
        }
        if !view.is_late(now_us) {
            self.ask_for_reports(now_us, node, actions);
            return OwnerLiveness::Undecided;
        }
        if self.routing.mark_node_unresponsive(node) {
            self.counters.owners_silent += 1;
        }
        OwnerLiveness::Unresponsive
    }

    /// Checks the owners of all open sub-requests of a leg. Returns `Unresponsive` only if
    /// all owners are, since a reply of one of them is enough.
    pub(crate) fn check_owners(
        &mut self,
        now_us: u64,
        sequences: &[u64],
        actions: &mut Vec<QueryAction>,
    ) -> OwnerLiveness {
        let states: Vec<OwnerLiveness> = sequences
            .iter()
            .map(|sequence| self.check_owner(now_us, *sequence, actions))
            .collect();
        if states.iter().all(|it| *it == OwnerLiveness::Unresponsive) {
            OwnerLiveness::Unresponsive
        } else if states.contains(&OwnerLiveness::Responsive) {
            OwnerLiveness::Responsive
        } else {
            OwnerLiveness::Undecided
        }
    }
}

/// Returns the time at which an overdue sub-request is checked again. The delay is bounded by
/// `REPORT_TIMEOUT_US`, after which an owner that was asked for reports and has sent nothing
/// counts as unresponsive.
pub(crate) fn next_hedge_check_us(now_us: u64, delay_us: u64) -> u64 {
    now_us + delay_us.min(REPORT_TIMEOUT_US)
}
