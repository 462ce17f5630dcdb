//! Charging of sub-requests to the budget of their service, which bounds hedges and retries.

use crate::Coordinator;
use crate::limits::MAX_FREE_RETRIES;
use wigeonhall_types::RefusalReason;
use wigeonhall_types::ServiceKey;

/// Whether the next sub-request of a leg (the share of a read that one shard service answers) or
/// of a write is charged to the budget of its service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SubRequestCost {
    /// Charged to the budget of the service.
    ChargedToBudget,
    /// Not charged; the first sub-request of a leg or write adds credit.
    First,
    /// Not charged, up to `MAX_FREE_RETRIES`, because the failed sub-request placed
    /// no load on a target or its owner was lost.
    Free,
}

impl SubRequestCost {
    /// Returns how a retry after a refusal for `reason` is charged. The reasons that map to
    /// `Free` are those that owners decide from their own state before they contact the
    /// target, or that mean that nothing could be sent to it.
    pub const fn of_retry_after(reason: RefusalReason) -> Self {
        match reason {
            RefusalReason::Busy
            | RefusalReason::ColdStart
            | RefusalReason::Leaving
            | RefusalReason::NoLease
            | RefusalReason::NotOwner
            | RefusalReason::Out
            | RefusalReason::Overloaded
            | RefusalReason::Unreachable
            | RefusalReason::UnknownReplica => Self::Free,
            RefusalReason::Cancelled | RefusalReason::DeadlinePassed | RefusalReason::Shed => {
                Self::ChargedToBudget
            }
        }
    }
}

impl Coordinator {
    /// Charges a sub-request; returns `false` if neither free retries nor budget are left.
    pub(crate) fn charge_sub_request(
        &mut self,
        service: ServiceKey,
        cost: SubRequestCost,
        free_retries: &mut u32,
    ) -> bool {
        let budget = &mut self.routing.service_mut(service).budget;
        match cost {
            SubRequestCost::First => {
                budget.earn();
                self.counters.subs_first += 1;
                true
            }
            SubRequestCost::Free if *free_retries < MAX_FREE_RETRIES => {
                *free_retries += 1;
                self.counters.retries_free += 1;
                true
            }
            SubRequestCost::ChargedToBudget | SubRequestCost::Free => {
                let charged = budget.try_charge();
                let counter = if charged {
                    &mut self.counters.retries_budget
                } else {
                    &mut self.counters.budget_refusals
                };
                *counter += 1;
                charged
            }
        }
    }
}
