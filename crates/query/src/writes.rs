//! The course of a write, from arrival to answer.

use std::sync::Arc;

use crate::AbsentReason;
use crate::Coordinator;
use crate::QueryAction;
use crate::QueryId;
use crate::WriteQuery;
use crate::attempt::Attempt;
use crate::attempt::Parent;
use crate::coordinator::Sending;
use crate::limits::CLAIM_KEPT_MS;
use crate::limits::CLOCK_LEAD_MS;
use crate::limits::PART_SENDS;
use crate::limits::PART_WAITS;
use crate::limits::REPORT_WAIT_US;
use crate::limits::RETRY_AFTER_MS;
use crate::open_write::OpenWrite;
use crate::open_write::WriteStage;
use crate::pay::Pay;
use crate::reads::Progress;
use crate::reads::retry_after_ms;
use crate::routes::Pick;
use crate::routes::Route;
use crate::timers::Timer;
use crate::write_claims::push_release;
use wigeonhall_types::ClassKind;
use wigeonhall_types::FailureReason;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::NodeKey;
use wigeonhall_types::Operation;
use wigeonhall_types::RefusalReason;
use wigeonhall_types::ServiceKey;
use wigeonhall_types::SubOutcome;
use wigeonhall_types::Verdict;

/// Where a write can go now.
enum Target {
    Nowhere {
        reason: AbsentReason,
        retry_ms: u64,
    },
    Send {
        route: Route,
        service: ServiceKey,
        version: IndexVersion,
    },
    Unreported(Vec<NodeKey>),
    Wait {
        until_us: u64,
    },
}

impl Coordinator {
    pub(crate) fn write(&mut self, now_us: u64, query: WriteQuery, actions: &mut Vec<QueryAction>) {
        self.counters.requests += 1;
        let id = query.id;
        if self.reads.contains_key(&id) || self.writes.contains_key(&id) {
            self.counters.duplicate_requests += 1;
            return;
        }
        let deadline_us = query.deadline_us;
        let first = query.first_attempt;
        let refused = self.refusal_on_arrival(now_us, &query);
        let mut write = OpenWrite::new(query, self.rng.u64(..));
        if let Some(reason) = refused {
            let verdict = match reason {
                AbsentReason::ClaimTooOld => Verdict::MayHaveRun,
                _ => write.verdict_unsent(),
            };
            let answer = write.refusal(reason, verdict, RETRY_AFTER_MS);
            self.answer(id, answer, actions);
            return;
        }
        self.timers.set(deadline_us, Timer::Deadline(id));
        // A repeat goes to its claim first: the claim may hold the answer even where no
        // replica can take the write now.
        let progress = if first {
            self.choose(now_us, &mut write, true, actions)
        } else {
            self.create_claim(&mut write, actions)
        };
        self.keep(write, progress);
    }

    fn refusal_on_arrival(&mut self, now_us: u64, query: &WriteQuery) -> Option<AbsentReason> {
        let kind = self.routes.classes.get(&query.class).map(|it| it.kind);
        if query.received_unix_ms.saturating_sub(query.issued_unix_ms) > CLAIM_KEPT_MS {
            Some(AbsentReason::ClaimTooOld)
        } else if query.issued_unix_ms > query.received_unix_ms.saturating_add(CLOCK_LEAD_MS) {
            self.counters.future_writes += 1;
            Some(AbsentReason::IssuedInFuture)
        } else if query.deadline_us <= now_us {
            self.counters.deadlines += 1;
            Some(AbsentReason::DeadlinePassed)
        } else if !self.routes.ready() {
            Some(AbsentReason::NotReady)
        } else if kind != Some(ClassKind::Write) {
            Some(AbsentReason::UnknownClass)
        } else {
            None
        }
    }

    /// Keeps a write that is not answered, or whose claim is not settled.
    pub(crate) fn keep(&mut self, write: OpenWrite, progress: Progress) {
        if progress == Progress::Open {
            self.writes_answered += usize::from(write.answered);
            self.writes.insert(write.query.id, write);
        } else if let Some(sequence) = write.attempt {
            self.forget_attempt(sequence);
        }
    }

    /// Takes a write out for a step; `keep` puts it back.
    pub(crate) fn take_write(&mut self, id: QueryId) -> Option<OpenWrite> {
        let write = self.writes.remove(&id)?;
        self.writes_answered -= usize::from(write.answered);
        Some(write)
    }

    fn forget_attempt(&mut self, sequence: u64) {
        if let Some(attempt) = self.attempts.remove(&sequence)
            && attempt.counted
        {
            self.routes.ended(attempt.replica);
        }
    }

    /// Looks for a replica before the write is claimed, so that a refusal costs the
    /// store nothing.
    fn choose(
        &mut self,
        now_us: u64,
        write: &mut OpenWrite,
        may_wait: bool,
        actions: &mut Vec<QueryAction>,
    ) -> Progress {
        match self.target(now_us, write, may_wait) {
            Target::Nowhere { reason, retry_ms } => {
                let answer = write.refusal(reason, write.verdict_unsent(), retry_ms);
                self.wait_out(write.query.class, write.query.id);
                self.answer(write.query.id, answer, actions);
                Progress::Answered
            }
            Target::Send { .. } | Target::Wait { .. } => self.create_claim(write, actions),
            Target::Unreported(owners) => {
                self.write_awaits(now_us, write, &owners, actions);
                Progress::Open
            }
        }
    }

    fn target(&mut self, now_us: u64, write: &OpenWrite, may_wait: bool) -> Target {
        let nowhere = Target::Nowhere {
            reason: AbsentReason::NoReplica,
            retry_ms: RETRY_AFTER_MS,
        };
        let class = write.query.class;
        let Some(view) = self.routes.class(class) else {
            return nowhere;
        };
        let place = view.place(write.query.key);
        let unknown = self.unknown_owners(now_us, class);
        if may_wait && !unknown.is_empty() {
            return Target::Unreported(unknown);
        }
        let Some((version, service)) = place else {
            return nowhere;
        };
        let ranges = [write.range()];
        let deadline_us = write.query.deadline_us;
        match self
            .routes
            .pick(now_us, service, version, &ranges, &write.tried)
        {
            Pick::To(route) if now_us + route.expected_us <= deadline_us => Target::Send {
                route,
                service,
                version,
            },
            Pick::To(route) => Target::Nowhere {
                reason: AbsentReason::TooLate,
                retry_ms: retry_after_ms(now_us + route.expected_us - deadline_us),
            },
            Pick::BackedOff { until_us } if until_us < deadline_us => Target::Wait { until_us },
            Pick::BackedOff { until_us } => Target::Nowhere {
                reason: AbsentReason::TooLate,
                retry_ms: retry_after_ms(until_us - now_us),
            },
            Pick::Nowhere => nowhere,
        }
    }

    fn write_awaits(
        &mut self,
        now_us: u64,
        write: &mut OpenWrite,
        owners: &[NodeKey],
        actions: &mut Vec<QueryAction>,
    ) {
        for owner in owners {
            self.ask(now_us, *owner, actions);
        }
        self.wait_in(write.query.class, write.query.id);
        if write.stamp == 0 {
            self.counters.waits_reports += 1;
            self.write_timer(write, now_us + REPORT_WAIT_US);
        }
    }

    fn write_timer(&mut self, write: &mut OpenWrite, at_us: u64) {
        write.stamp = self.stamp();
        let id = write.query.id;
        let stamp = write.stamp;
        self.timers.set(at_us, Timer::Wait { id, stamp });
    }

    /// Sends a write whose claim this attempt holds, waits, or releases the claim.
    pub(crate) fn dispatch(
        &mut self,
        now_us: u64,
        write: &mut OpenWrite,
        may_wait: bool,
        last: AbsentReason,
        actions: &mut Vec<QueryAction>,
    ) -> Progress {
        write.stage = WriteStage::Holding;
        match self.target(now_us, write, may_wait) {
            Target::Nowhere { reason, .. } => {
                let reason = if write.sends > 0 { last } else { reason };
                self.release(write, reason, actions)
            }
            Target::Send {
                route,
                service,
                version,
            } => {
                let paid = write.sends < PART_SENDS
                    && self.pay(service, write.pay, &mut write.free_retries);
                if !paid {
                    return self.release(write, last, actions);
                }
                self.send_write(now_us, write, route, service, version, actions);
                Progress::Open
            }
            Target::Unreported(owners) => {
                self.write_awaits(now_us, write, &owners, actions);
                Progress::Open
            }
            Target::Wait { until_us } => {
                if write.waits >= PART_WAITS {
                    return self.release(write, last, actions);
                }
                write.waits += 1;
                self.counters.waits_backed_off += 1;
                self.write_timer(write, until_us);
                Progress::Open
            }
        }
    }

    fn send_write(
        &mut self,
        now_us: u64,
        write: &mut OpenWrite,
        route: Route,
        service: ServiceKey,
        version: IndexVersion,
        actions: &mut Vec<QueryAction>,
    ) {
        let query = &write.query;
        let sending = Sending {
            class: query.class,
            deadline_us: query.deadline_us,
            operation: Operation::Write {
                body: Arc::clone(&query.body),
                key: query.key,
                request_id: Arc::clone(&query.request_id),
            },
            parent: Parent::Write(query.id),
            route,
            service,
            start_within_us: None,
            version,
        };
        self.wait_out(query.class, query.id);
        write.attempt = Some(self.send(now_us, sending, actions));
        write.sends += 1;
        write.sent_version = Some(version);
        write.stage = WriteStage::Sent;
        write.tried.push(route.replica);
    }

    /// Takes the outcome of the sub-request of a write.
    pub(crate) fn write_reply(
        &mut self,
        now_us: u64,
        id: QueryId,
        attempt: Attempt,
        outcome: &SubOutcome,
        actions: &mut Vec<QueryAction>,
    ) {
        let Some(mut write) = self.take_write(id) else {
            return;
        };
        write.attempt = None;
        let progress = match outcome {
            SubOutcome::Answered { version, .. } => self.write_ran(&mut write, *version, actions),
            SubOutcome::Failed { reason } => {
                if !write.answered {
                    let answer = write.failure(*reason, RETRY_AFTER_MS);
                    self.answer(id, answer, actions);
                }
                Progress::Answered
            }
            SubOutcome::Refused {
                reason,
                retry_after_us,
            } => {
                write.retry_after_us = write.retry_after_us.max(*retry_after_us);
                write.pay = Pay::after(*reason);
                if *reason == RefusalReason::NotOwner && self.owner_changed(attempt) {
                    write.tried.retain(|replica| *replica != attempt.replica);
                }
                let reason = AbsentReason::Refused(*reason);
                self.write_not_run(now_us, &mut write, reason, actions)
            }
            SubOutcome::VersionGone => {
                if let Some(version) = write.sent_version {
                    self.routes.drop_version(attempt.replica, version);
                }
                write.pay = Pay::Budget;
                let reason = AbsentReason::VersionGone;
                self.write_not_run(now_us, &mut write, reason, actions)
            }
        };
        self.keep(write, progress);
    }

    fn write_not_run(
        &mut self,
        now_us: u64,
        write: &mut OpenWrite,
        reason: AbsentReason,
        actions: &mut Vec<QueryAction>,
    ) -> Progress {
        if write.answered {
            self.counters.claims_settled_late += 1;
            push_release(write, actions);
            return Progress::Answered;
        }
        self.dispatch(now_us, write, false, reason, actions)
    }

    /// Answers a write whose owner is lost, and keeps it for a late reply.
    pub(crate) fn write_owner_lost(
        &mut self,
        now_us: u64,
        id: QueryId,
        actions: &mut Vec<QueryAction>,
    ) {
        let Some(mut write) = self.take_write(id) else {
            return;
        };
        if !write.answered {
            let answer = write.failure(FailureReason::OwnerLost, RETRY_AFTER_MS);
            self.answer(id, answer, actions);
            self.settle_later(now_us, &mut write);
        }
        self.keep(write, Progress::Open);
    }

    pub(crate) fn write_deadline(
        &mut self,
        at_us: u64,
        id: QueryId,
        actions: &mut Vec<QueryAction>,
    ) {
        let Some(mut write) = self.take_write(id) else {
            return;
        };
        if write.answered || write.query.deadline_us != at_us {
            self.keep(write, Progress::Open);
            return;
        }
        self.counters.deadlines += 1;
        let verdict = write.verdict_unsent();
        let progress = match write.stage {
            WriteStage::Choosing => {
                let reason = AbsentReason::DeadlinePassed;
                let answer = write.refusal(reason, verdict, RETRY_AFTER_MS);
                self.answer(id, answer, actions);
                Progress::Answered
            }
            WriteStage::Claiming => {
                let answer = write.refusal(AbsentReason::StoreDown, verdict, RETRY_AFTER_MS);
                self.answer(id, answer, actions);
                self.settle_later(at_us, &mut write);
                Progress::Open
            }
            WriteStage::Holding => self.release(&mut write, AbsentReason::DeadlinePassed, actions),
            WriteStage::Sent => {
                let answer = write.failure(FailureReason::DeadlineExceeded, RETRY_AFTER_MS);
                self.answer(id, answer, actions);
                self.settle_later(at_us, &mut write);
                Progress::Open
            }
        };
        self.wait_out(write.query.class, id);
        self.keep(write, progress);
    }

    /// Ends a write whose caller is gone. A sub-request that was sent is not cancelled:
    /// its outcome settles the claim for a repeat of the request.
    pub(crate) fn write_gone(&mut self, now_us: u64, id: QueryId, actions: &mut Vec<QueryAction>) {
        let Some(mut write) = self.take_write(id) else {
            return;
        };
        if write.answered {
            self.keep(write, Progress::Open);
            return;
        }
        self.counters.callers_gone += 1;
        self.wait_out(write.query.class, id);
        let progress = match write.stage {
            WriteStage::Choosing => Progress::Answered,
            WriteStage::Claiming | WriteStage::Sent => {
                self.settle_later(now_us, &mut write);
                Progress::Open
            }
            WriteStage::Holding => {
                push_release(&mut write, actions);
                Progress::Answered
            }
        };
        self.keep(write, progress);
    }

    pub(crate) fn write_wait_due(
        &mut self,
        now_us: u64,
        id: QueryId,
        stamp: u64,
        actions: &mut Vec<QueryAction>,
    ) {
        if self.writes.get(&id).is_some_and(|it| it.stamp == stamp) {
            self.resume(now_us, id, false, actions);
        }
    }

    /// Looks again at a write that waits for reports.
    pub(crate) fn write_recheck(
        &mut self,
        now_us: u64,
        id: QueryId,
        actions: &mut Vec<QueryAction>,
    ) {
        self.resume(now_us, id, true, actions);
    }

    fn resume(&mut self, now_us: u64, id: QueryId, may_wait: bool, actions: &mut Vec<QueryAction>) {
        let Some(mut write) = self.take_write(id) else {
            return;
        };
        let progress = match write.stage {
            _ if write.answered => Progress::Open,
            WriteStage::Choosing => self.choose(now_us, &mut write, may_wait, actions),
            WriteStage::Holding => {
                let last = AbsentReason::NoReplica;
                self.dispatch(now_us, &mut write, may_wait, last, actions)
            }
            WriteStage::Claiming | WriteStage::Sent => Progress::Open,
        };
        self.keep(write, progress);
    }
}
