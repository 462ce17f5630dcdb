//! Charging of sub-requests to the budget of their service.

use crate::Coordinator;
use crate::limits::MAX_FREE_RETRIES;
use wigeonhall_types::RefusalReason;
use wigeonhall_types::ServiceKey;

/// How the next send of a part or write is charged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendCost {
    /// Charged to the budget of the service.
    Budget,
    /// Not charged; the first send of a part or write earns credit.
    First,
    /// Not charged, up to `MAX_FREE_RETRIES`, because the failed try placed no load on a
    /// target or its owner was lost.
    Free,
}

impl SendCost {
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
                Self::Budget
            }
        }
    }
}

impl Coordinator {
    /// Charges a send; returns `false` if neither free retries nor budget are left.
    pub(crate) fn charge_send(
        &mut self,
        service: ServiceKey,
        cost: SendCost,
        free_retries: &mut u32,
    ) -> bool {
        let budget = &mut self.routing.service_mut(service).budget;
        match cost {
            SendCost::First => {
                budget.earn();
                self.counters.subs_first += 1;
                true
            }
            SendCost::Free if *free_retries < MAX_FREE_RETRIES => {
                *free_retries += 1;
                self.counters.retries_free += 1;
                true
            }
            SendCost::Budget | SendCost::Free => {
                let charged = budget.take();
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
