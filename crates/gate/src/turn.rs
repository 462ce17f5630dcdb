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

/// Where an open sub-request is held.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Place {
    pub(crate) class: ClassKey,
    pub(crate) deadline_us: u64,
    pub(crate) replica: ReplicaKey,
}

/// What one call of `handle` reads and writes apart from the replica's record.
#[derive(Debug)]
pub(crate) struct Turn<'a> {
    pub(crate) actions: &'a mut Vec<GateAction>,
    pub(crate) counters: &'a mut GateCounters,
    pub(crate) deployment: &'a Deployment,
    /// Work starts only before this time.
    pub(crate) lease_until_us: u64,
    pub(crate) now_us: u64,
    /// Every sub-request that waits or runs.
    pub(crate) places: &'a mut BTreeMap<AttemptId, Place>,
}

impl Turn<'_> {
    /// Whether work may start now.
    pub(crate) const fn has_lease(&self) -> bool {
        self.now_us < self.lease_until_us
    }

    /// Answers the entry node and counts the outcome.
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

    /// Answers that the sub-request has not run.
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

    /// Weight of a class; 1 if the deployment does not hold it.
    pub(crate) fn weight(&self, class: ClassKey) -> u32 {
        let class = self.deployment.classes.get(&class);
        class.map_or(1, |class| class.weight.max(1))
    }

    /// Longest wait for a slot; unbounded if the deployment does not hold the class.
    pub(crate) fn longest_wait_us(&self, class: ClassKey) -> u64 {
        let class = self.deployment.classes.get(&class);
        class.map_or(u64::MAX, QueryClass::longest_wait_us)
    }

    /// Slots that a class may take while others wait: its share rounded down,
    /// but at least one.
    pub(crate) fn class_slots(&self, class: ClassKey, slots: u32) -> u32 {
        let class = self.deployment.classes.get(&class);
        let percent = class.map_or(100, |class| class.slot_share_percent);
        let share = u64::from(slots) * u64::from(percent.min(100)) / 100;
        (share as u32).max(1)
    }
}
