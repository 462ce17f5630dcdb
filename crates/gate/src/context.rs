use std::collections::BTreeMap;

use crate::GateAction;
use crate::GateCounters;
use wigeonhall_types::AttemptId;
use wigeonhall_types::ClassKey;
use wigeonhall_types::Deployment;
use wigeonhall_types::QueryClass;
use wigeonhall_types::RefusalReason;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::ReplicaReport;
use wigeonhall_types::SubOutcome;

/// A sub-request that waits or runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenRequest {
    pub(crate) class: ClassKey,
    pub(crate) deadline_us: u64,
    pub(crate) replica: ReplicaKey,
}

/// State of the gate, apart from the `ReplicaGate`, that one call of `handle` reads and
/// writes.
#[derive(Debug)]
pub(crate) struct EventContext<'a> {
    pub(crate) actions: &'a mut Vec<GateAction>,
    pub(crate) counters: &'a mut GateCounters,
    pub(crate) deployment: &'a Deployment,
    /// Local time at which the lease ends; requests start only before it.
    pub(crate) lease_until_us: u64,
    pub(crate) now_us: u64,
    /// Sub-requests that wait or run.
    pub(crate) open_requests: &'a mut BTreeMap<AttemptId, OpenRequest>,
}

impl EventContext<'_> {
    /// Returns whether the lease is valid.
    pub(crate) const fn has_lease(&self) -> bool {
        self.now_us < self.lease_until_us
    }

    /// Responds to the entry node and counts the outcome.
    pub(crate) fn respond(
        &mut self,
        attempt: AttemptId,
        outcome: SubOutcome,
        report: Option<ReplicaReport>,
    ) {
        self.counters.count_outcome(&outcome);
        self.actions.push(GateAction::Respond {
            attempt,
            outcome,
            report,
        });
    }

    /// Responds that the sub-request was refused and has not run.
    pub(crate) fn refuse(
        &mut self,
        attempt: AttemptId,
        reason: RefusalReason,
        retry_after_us: u64,
        report: Option<ReplicaReport>,
    ) {
        let outcome = SubOutcome::Refused {
            reason,
            retry_after_us,
        };
        self.respond(attempt, outcome, report);
    }

    /// Returns the weight of a class, or 1 if the deployment lacks the class.
    pub(crate) fn weight(&self, class: ClassKey) -> u32 {
        let class = self.deployment.classes.get(&class);
        class.map_or(1, |class| class.weight.max(1))
    }

    /// Returns the longest allowed wait for a slot, unbounded if the deployment lacks the class.
    pub(crate) fn longest_wait_us(&self, class: ClassKey) -> u64 {
        let class = self.deployment.classes.get(&class);
        class.map_or(u64::MAX, QueryClass::longest_wait_us)
    }

    /// Returns the number of slots that a class may occupy while other classes wait: its share
    /// rounded down, but at least 1.
    pub(crate) fn class_slot_limit(&self, class: ClassKey, slots: u32) -> u32 {
        let class = self.deployment.classes.get(&class);
        let percent = class.map_or(100, |class| class.slot_share_percent);
        let share = u64::from(slots) * u64::from(percent.min(100)) / 100;
        (share as u32).max(1)
    }
}
