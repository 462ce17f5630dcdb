//! Simulates targets and the reports of their owners.

use super::*;
use crate::prelude::*;

impl Oracle {
    /// Ends a pending sub-request. If `lose` is set, the coordinator gets no reply. `case`
    /// selects the reason of a refusal or failure, the retry-after time, and whether a report
    /// is attached.
    pub fn reply(&mut self, index: usize, behaviour: TargetBehaviour, case: usize, lose: bool) {
        if self.pending.is_empty() {
            return;
        }
        let sub = self.pending.swap_remove(index % self.pending.len());
        let outcome = self.outcome_of(&sub, behaviour, case);
        if lose {
            return;
        }
        self.record_reply(&sub, &outcome);
        self.delivered_replies.push((sub.attempt, outcome.clone()));
        let report = (case.is_multiple_of(2)).then(|| self.report_of(sub.replica));
        self.event(QueryEvent::SubReply {
            attempt: sub.attempt,
            outcome,
            report,
        });
    }

    pub(super) fn outcome_of(
        &mut self,
        sub: &SubRequest,
        behaviour: TargetBehaviour,
        case: usize,
    ) -> SubOutcome {
        let target = self.targets[sub.replica.index()].clone();
        let pinned = sub.version.expect("pinned").0;
        let version = match behaviour {
            TargetBehaviour::OtherVersion => target.served.last().copied().unwrap_or(pinned),
            _ => pinned,
        };
        match behaviour {
            TargetBehaviour::Refuse => {
                return SubOutcome::Refused {
                    reason: REFUSALS[case % REFUSALS.len()],
                    retry_after_us: 1_000 * (case as u64 % 40),
                };
            }
            TargetBehaviour::Fail { ran } => {
                self.execute(sub, ran);
                let reason = FAILURES[case % FAILURES.len()];
                return SubOutcome::Failed { reason };
            }
            TargetBehaviour::Answer | TargetBehaviour::OtherVersion | TargetBehaviour::Short
                if target.served.contains(&version) => {}
            _ => return SubOutcome::VersionGone,
        }
        let Operation::Read { range: asked } = &sub.operation else {
            self.execute(sub, true);
            return answered(version, &[], &[]);
        };
        let held = self
            .held(sub.replica, version)
            .and_then(|it| it.intersection(*asked));
        let Some(mut held) = held else {
            return answered(version, &[], &[]);
        };
        if behaviour != TargetBehaviour::Short {
            return answered(version, &[held], &rows(held, version));
        }
        // `Short`: covers half of the range, repeats rows and ranges, and adds a row outside.
        held.end = held.start + held.width().div_ceil(2);
        let mut rows = rows(held, version);
        rows.extend(rows.clone());
        rows.push(row(held.end, "stray"));
        let within = range(held.start + 1, held.end - 1);
        answered(version, &[held, held, within], &rows)
    }

    pub(super) fn execute(&mut self, sub: &SubRequest, ran: bool) {
        if let Operation::Write { request_id, .. } = &sub.operation
            && ran
        {
            let count = self.executed.entry(Arc::clone(request_id)).or_default();
            *count += 1;
            assert_eq!(*count, 1, "write executed twice");
        }
    }

    /// Records what a reply proves when it is delivered to the coordinator.
    pub(super) fn record_reply(&mut self, sub: &SubRequest, outcome: &SubOutcome) {
        let sub_requests = match &sub.operation {
            Operation::Read { .. } => self.reads_by_deadline.get_mut(&sub.deadline_us),
            Operation::Write { request_id, .. } => self.writes.get_mut(request_id),
        };
        let proved_not_run = sub_requests.and_then(|it| it.get_mut(&sub.attempt.sequence));
        *proved_not_run.expect("a pending sub-request was sent") =
            outcome.verdict() == Verdict::NotRun;
        if let SubOutcome::Answered {
            ranges, version, ..
        } = outcome
        {
            let read_in_replies = self
                .read_in_replies
                .entry((sub.deadline_us, version.0))
                .or_default();
            read_in_replies.extend(ranges);
        }
    }

    /// Delivers an earlier reply once more. If `misdirect` is set, it has the boot id of
    /// another process run.
    pub fn unexpected_reply(&mut self, index: usize, misdirect: bool) {
        if self.delivered_replies.is_empty() {
            return;
        }
        let (mut attempt, outcome) =
            self.delivered_replies[index % self.delivered_replies.len()].clone();
        if misdirect {
            attempt.boot += 1;
        }
        self.event(QueryEvent::SubReply {
            attempt,
            outcome,
            report: None,
        });
    }

    /// Returns the range that a replica holds at a version, if it holds any key.
    pub(super) fn held(&self, replica: ReplicaKey, version: u64) -> Option<KeyRange> {
        let service = replica.0 / REPLICAS_PER_SERVICE;
        let mut held = self.layouts[&version][service as usize];
        held.end = held
            .end
            .saturating_sub(self.targets[replica.index()].missing);
        (!held.is_empty()).then_some(held)
    }

    pub(super) fn report_of(&self, replica: ReplicaKey) -> ReplicaReport {
        let target = &self.targets[replica.index()];
        let held: Vec<(u64, Vec<KeyRange>)> = target
            .served
            .iter()
            .map(|version| (*version, self.held(replica, *version).into_iter().collect()))
            .collect();
        let held: Vec<(u64, &[KeyRange])> = held.iter().map(|it| (it.0, &it.1[..])).collect();
        // Replicas with an even key are in data centre 0, the others in data centre 1.
        ReplicaReport {
            epoch: self.epochs[replica.index() % 2],
            state: target.state,
            ..crate::prelude::report(&held, 0, 5_000)
        }
    }

    /// Puts a report in transit; `deliver_reports` delivers the newest reports first.
    pub fn report(&mut self, replica: u32) {
        let replica = ReplicaKey(replica);
        let report = self.report_of(replica);
        self.reports.push((replica, report));
    }

    pub fn deliver_reports(&mut self, count: usize) {
        for _ in 0..count.min(self.reports.len()) {
            let (replica, report) = self.reports.pop().expect("counted");
            self.event(QueryEvent::Report { replica, report });
        }
    }

    /// Adds a version with different ranges; an empty range models a shard that was merged
    /// into another.
    pub fn repartition(&mut self, first: u64, second: u64, overlap: u64) {
        let version = self.layouts.len() as u64 + 1;
        self.layouts.insert(version, layout(first, second, overlap));
    }

    /// Adds the newest version to those that a replica serves, or drops its oldest one. From
    /// now on the replica lacks the last `missing` keys of its range.
    pub fn roll(&mut self, replica: u32, drop_oldest: bool, missing: u64) {
        let newest = self.layouts.len() as u64;
        let target = &mut self.targets[replica as usize];
        target.missing = missing;
        if drop_oldest && target.served.len() > 1 {
            target.served.pop_first();
        } else {
            target.served.insert(newest);
        }
    }

    pub fn set_state(&mut self, replica: u32, state: ReplicaState) {
        self.targets[replica as usize].state = state;
    }
}
