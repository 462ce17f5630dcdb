//! Owners that say nothing while sub-requests are open at them.

use crate::Coordinator;
use crate::QueryAction;
use crate::limits::REPORT_WAIT_US;

/// What an owner did since a sub-request was sent to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OwnerState {
    /// It said nothing and was asked; the time for its answer has not passed.
    Asked,
    /// It said something, so the sub-request itself is slow.
    Heard,
    /// It said nothing and did not answer in time: frozen, cut off or gone.
    Silent,
}

impl Coordinator {
    /// Looks at the owner of a late sub-request.
    pub(crate) fn check_owner(
        &mut self,
        now_us: u64,
        sequence: u64,
        actions: &mut Vec<QueryAction>,
    ) -> OwnerState {
        let Some(attempt) = self.attempts.get(&sequence) else {
            return OwnerState::Heard;
        };
        let (node, sent_us) = (attempt.node, attempt.sent_us);
        let view = self.routes.nodes.entry(node).or_default();
        if view.heard_us.is_some_and(|heard_us| heard_us > sent_us) {
            return OwnerState::Heard;
        }
        if !view.silent(now_us) {
            self.ask(now_us, node, actions);
            return OwnerState::Asked;
        }
        if self.routes.doubt_node(node) {
            self.counters.owners_silent += 1;
        }
        OwnerState::Silent
    }

    /// Looks at the owners of all open sub-requests of a part. They count as silent only
    /// together, as one of them that answers is enough.
    pub(crate) fn check_owners(
        &mut self,
        now_us: u64,
        sequences: &[u64],
        actions: &mut Vec<QueryAction>,
    ) -> OwnerState {
        let states: Vec<OwnerState> = sequences
            .iter()
            .map(|sequence| self.check_owner(now_us, *sequence, actions))
            .collect();
        if states.iter().all(|it| *it == OwnerState::Silent) {
            OwnerState::Silent
        } else if states.contains(&OwnerState::Heard) {
            OwnerState::Heard
        } else {
            OwnerState::Asked
        }
    }
}

/// Time after which a late sub-request is looked at again: an owner that was asked is
/// silent by then.
pub(crate) fn look_again_us(now_us: u64, delay_us: u64) -> u64 {
    now_us + delay_us.min(REPORT_WAIT_US)
}
