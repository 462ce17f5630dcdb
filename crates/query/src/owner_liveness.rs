//! Owners that say nothing while sub-requests are open at them.

use crate::Coordinator;
use crate::QueryAction;
use crate::limits::REPORT_TIMEOUT_US;

/// What an owner did since a sub-request was sent to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OwnerLiveness {
    /// It said nothing and was asked; the time for its answer has not passed.
    Asked,
    /// It said something, so the sub-request itself is slow.
    Responsive,
    /// It said nothing and did not answer in time: frozen, cut off or gone.
    Unresponsive,
}

impl Coordinator {
    /// Looks at the owner of a late sub-request.
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
        if !view.overdue(now_us) {
            self.ask_for_reports(now_us, node, actions);
            return OwnerLiveness::Asked;
        }
        if self.routing.mark_node_unresponsive(node) {
            self.counters.owners_silent += 1;
        }
        OwnerLiveness::Unresponsive
    }

    /// Looks at the owners of all open sub-requests of a part. They count as silent only
    /// together, as one of them that answers is enough.
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
            OwnerLiveness::Asked
        }
    }
}

/// Time after which a late sub-request is looked at again: an owner that was asked is
/// silent by then.
pub(crate) fn next_hedge_check_us(now_us: u64, delay_us: u64) -> u64 {
    now_us + delay_us.min(REPORT_TIMEOUT_US)
}
