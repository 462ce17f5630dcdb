//! Handles a write from arrival to answer.
//!
//! A claim is a stored record that gives one attempt the right to run a write; it is settled
//! when its outcome is stored.

use std::sync::Arc;

use crate::AbsentReason;
use crate::Coordinator;
use crate::QueryAction;
use crate::QueryId;
use crate::WriteQuery;
use crate::coordinator::OutgoingSubRequest;
use crate::limits::CLAIM_RETENTION_MS;
use crate::limits::MAX_CLOCK_LEAD_MS;
use crate::limits::MAX_SUB_REQUESTS_PER_LEG;
use crate::limits::MAX_WAITS_PER_LEG;
use crate::limits::REPORT_TIMEOUT_US;
use crate::limits::RETRY_AFTER_DEFAULT_MS;
use crate::open_sub_request::Parent;
use crate::open_write::OpenWrite;
use crate::open_write::WriteStage;
use crate::reads::Progress;
use crate::reads::retry_after_ms;
use crate::routing_table::Pick;
use crate::routing_table::Route;
use crate::timers::Timer;
use wigeonhall_types::ClassKind;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::NodeKey;
use wigeonhall_types::Operation;
use wigeonhall_types::ServiceKey;
use wigeonhall_types::Verdict;

/// Next step of a write that holds its claim or is about to create it.
enum WriteStep {
    /// No replica can accept the write in time.
    Refuse { reason: AbsentReason, retry_ms: u64 },
    /// The write can be sent.
    Send {
        route: Route,
        service: ServiceKey,
        version: IndexVersion,
    },
    /// These owners have not reported yet.
    AwaitReports(Vec<NodeKey>),
    /// Every eligible replica is in backoff; the earliest backoff ends at this local time.
    Wait { until_us: u64 },
}

impl Coordinator {
    /// Starts a write, or refuses it on arrival.
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
                _ => write.verdict_before_sending(),
            };
            let answer = write.refusal(reason, verdict, RETRY_AFTER_DEFAULT_MS);
            self.answer(id, answer, actions);
            return;
        }
        self.timers.set(deadline_us, Timer::Deadline(id));
        // A repeated request creates its claim first: an existing claim may contain the answer
        // even if no replica can accept the write now.
        let progress = if first {
            self.route_before_claim(now_us, &mut write, true, actions)
        } else {
            self.create_claim(&mut write, actions)
        };
        self.keep_unless_finished(write, progress);
    }

    fn refusal_on_arrival(&mut self, now_us: u64, query: &WriteQuery) -> Option<AbsentReason> {
        let kind = self.routing.classes.get(&query.class).map(|it| it.kind);
        if query.received_unix_ms.saturating_sub(query.issued_unix_ms) > CLAIM_RETENTION_MS {
            Some(AbsentReason::ClaimTooOld)
        } else if query.issued_unix_ms > query.received_unix_ms.saturating_add(MAX_CLOCK_LEAD_MS) {
            self.counters.future_writes += 1;
            Some(AbsentReason::IssuedInFuture)
        } else if query.deadline_us <= now_us {
            self.counters.deadlines += 1;
            Some(AbsentReason::DeadlinePassed)
        } else if !self.routing.ready() {
            Some(AbsentReason::NotReady)
        } else if kind != Some(ClassKind::Write) {
            Some(AbsentReason::UnknownClass)
        } else {
            None
        }
    }

    /// Stores a write again after a step, unless it is finished.
    pub(crate) fn keep_unless_finished(&mut self, write: OpenWrite, progress: Progress) {
        if progress == Progress::Open {
            self.writes_answered += usize::from(write.answered);
            self.writes.insert(write.query.id, write);
        } else if let Some(sequence) = write.open_sequence {
            self.forget_sub_request(sequence);
        }
    }

    /// Removes a write for a step; `keep_unless_finished` stores it again.
    pub(crate) fn take_write(&mut self, id: QueryId) -> Option<OpenWrite> {
        let write = self.writes.remove(&id)?;
        self.writes_answered -= usize::from(write.answered);
        Some(write)
    }

    fn forget_sub_request(&mut self, sequence: u64) {
        if let Some(sub) = self.sub_requests.remove(&sequence)
            && sub.counted_in_flight
        {
            self.routing.count_ended(sub.replica);
        }
    }

    /// Looks for a replica before creating the claim, so that a refusal causes no calls to the
    /// store.
    fn route_before_claim(
        &mut self,
        now_us: u64,
        write: &mut OpenWrite,
        may_wait: bool,
        actions: &mut Vec<QueryAction>,
    ) -> Progress {
        match self.next_step(now_us, write, may_wait) {
            WriteStep::Refuse { reason, retry_ms } => {
                let answer = write.refusal(reason, write.verdict_before_sending(), retry_ms);
                self.remove_waiting(write.query.class, write.query.id);
                self.answer(write.query.id, answer, actions);
                Progress::Finished
            }
            WriteStep::Send { .. } | WriteStep::Wait { .. } => self.create_claim(write, actions),
            WriteStep::AwaitReports(owners) => {
                self.await_write_reports(now_us, write, &owners, actions);
                Progress::Open
            }
        }
    }

    fn next_step(&mut self, now_us: u64, write: &OpenWrite, may_wait: bool) -> WriteStep {
        let refusal = WriteStep::Refuse {
            reason: AbsentReason::NoReplica,
            retry_ms: RETRY_AFTER_DEFAULT_MS,
        };
        let class = write.query.class;
        let Some(view) = self.routing.class(class) else {
            return refusal;
        };
        let destination = view.place_write(write.query.key);
        let unreported = self.owners_to_wait_for(now_us, class);
        if may_wait && !unreported.is_empty() {
            return WriteStep::AwaitReports(unreported);
        }
        let Some((version, service)) = destination else {
            return refusal;
        };
        let ranges = [write.range()];
        let deadline_us = write.query.deadline_us;
        match self
            .routing
            .pick_replica(now_us, service, version, &ranges, &write.tried)
        {
            Pick::Route(route) if now_us + route.expected_us <= deadline_us => WriteStep::Send {
                route,
                service,
                version,
            },
            Pick::Route(route) => WriteStep::Refuse {
                reason: AbsentReason::TooLate,
                retry_ms: retry_after_ms(now_us + route.expected_us - deadline_us),
            },
            Pick::BackedOff { until_us } if until_us < deadline_us => WriteStep::Wait { until_us },
            Pick::BackedOff { until_us } => WriteStep::Refuse {
                reason: AbsentReason::TooLate,
                retry_ms: retry_after_ms(until_us - now_us),
            },
            Pick::NoReplica => refusal,
        }
    }

    /// Asks `owners` for reports and keeps the write waiting for them.
    fn await_write_reports(
        &mut self,
        now_us: u64,
        write: &mut OpenWrite,
        owners: &[NodeKey],
        actions: &mut Vec<QueryAction>,
    ) {
        for owner in owners {
            self.ask_for_reports(now_us, *owner, actions);
        }
        self.add_waiting(write.query.class, write.query.id);
        if write.timer_id == 0 {
            self.counters.waits_reports += 1;
            self.set_write_timer(write, now_us + REPORT_TIMEOUT_US);
        }
    }

    fn set_write_timer(&mut self, write: &mut OpenWrite, at_us: u64) {
        write.timer_id = self.next_timer_id();
        let id = write.query.id;
        let timer_id = write.timer_id;
        self.timers.set(at_us, Timer::Wait { id, timer_id });
    }

    /// Sends a write whose claim this attempt holds, waits, or releases the claim.
    pub(crate) fn send_or_release(
        &mut self,
        now_us: u64,
        write: &mut OpenWrite,
        may_wait: bool,
        last_reason: AbsentReason,
        actions: &mut Vec<QueryAction>,
    ) -> Progress {
        write.stage = WriteStage::Claimed;
        match self.next_step(now_us, write, may_wait) {
            WriteStep::Refuse { reason, .. } => {
                let reason = if write.sub_requests_sent > 0 {
                    last_reason
                } else {
                    reason
                };
                self.release(write, reason, actions)
            }
            WriteStep::Send {
                route,
                service,
                version,
            } => {
                let charged = write.sub_requests_sent < MAX_SUB_REQUESTS_PER_LEG
                    && self.charge_sub_request(
                        service,
                        write.next_sub_request_cost,
                        &mut write.free_retries,
                    );
                if !charged {
                    return self.release(write, last_reason, actions);
                }
                self.send_write(now_us, write, route, service, version, actions);
                Progress::Open
            }
            WriteStep::AwaitReports(owners) => {
                self.await_write_reports(now_us, write, &owners, actions);
                Progress::Open
            }
            WriteStep::Wait { until_us } => {
                if write.waits >= MAX_WAITS_PER_LEG {
                    return self.release(write, last_reason, actions);
                }
                write.waits += 1;
                self.counters.waits_backed_off += 1;
                self.set_write_timer(write, until_us);
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
        let outgoing = OutgoingSubRequest {
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
        self.remove_waiting(query.class, query.id);
        write.open_sequence = Some(self.send(now_us, outgoing, actions));
        write.sub_requests_sent += 1;
        write.sent_version = Some(version);
        write.stage = WriteStage::Sent;
        write.tried.push(route.replica);
    }

    pub(crate) fn write_wait_due(
        &mut self,
        now_us: u64,
        id: QueryId,
        timer_id: u64,
        actions: &mut Vec<QueryAction>,
    ) {
        if self
            .writes
            .get(&id)
            .is_some_and(|it| it.timer_id == timer_id)
        {
            self.resume_write(now_us, id, false, actions);
        }
    }

    /// Re-evaluates a write that waits for reports.
    pub(crate) fn write_recheck(
        &mut self,
        now_us: u64,
        id: QueryId,
        actions: &mut Vec<QueryAction>,
    ) {
        self.resume_write(now_us, id, true, actions);
    }

    /// Continues a write that waits for a replica or for reports.
    fn resume_write(
        &mut self,
        now_us: u64,
        id: QueryId,
        may_wait: bool,
        actions: &mut Vec<QueryAction>,
    ) {
        let Some(mut write) = self.take_write(id) else {
            return;
        };
        let progress = match write.stage {
            _ if write.answered => Progress::Open,
            WriteStage::Routing => self.route_before_claim(now_us, &mut write, may_wait, actions),
            WriteStage::Claimed => {
                let last_reason = AbsentReason::NoReplica;
                self.send_or_release(now_us, &mut write, may_wait, last_reason, actions)
            }
            WriteStage::Claiming | WriteStage::Sent => Progress::Open,
        };
        self.keep_unless_finished(write, progress);
    }
}
