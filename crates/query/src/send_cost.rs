use crate::Coordinator;
use crate::limits::MAX_FREE_RETRIES;
use wigeonhall_types::RefusalReason;
use wigeonhall_types::ServiceKey;

/// What the next send of a part or write draws on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendCost {
    /// The service's budget.
    Budget,
    /// Nothing, as the send is the first and earns credit.
    First,
    /// The bounded number of tries after refusals that placed no load on a target.
    Free,
}

impl SendCost {
    /// What a try after `reason` draws on. Owners give the free reasons from their own
    /// state, before a target hears of the sub-request, or because nothing could be sent.
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
    /// Pays for a send; `false` if neither free tries nor budget are left.
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
