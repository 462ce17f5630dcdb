//! Handles a read from arrival to answer. A read is split into legs, each the share of it that one
//! shard service answers, and all legs read at the same index version, to which the read is pinned.

use crate::AbsentReason;
use crate::Answer;
use crate::Coordinator;
use crate::QueryAction;
use crate::QueryId;
use crate::ReadQuery;
use crate::limits::REPORT_TIMEOUT_US;
use crate::limits::RETRY_AFTER_DEFAULT_MS;
use crate::limits::RETRY_AFTER_MAX_MS;
use crate::open_read::OpenRead;
use crate::open_sub_request::OpenSubRequest;
use crate::query_leg::LegState;
use crate::query_leg::QueryLeg;
use crate::routing_table::Pick;
use crate::routing_table::Route;
use crate::sub_request_cost::SubRequestCost;
use crate::timers::Timer;
use wigeonhall_types::ClassKey;
use wigeonhall_types::ClassKind;
use wigeonhall_types::FailureReason;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::KeyRange;
use wigeonhall_types::NodeKey;
use wigeonhall_types::Row;
use wigeonhall_types::SubOutcome;

/// Whether a request is still open.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Progress {
    /// Ended, with nothing left to wait for.
    Finished,
    /// Waits for further events.
    Open,
}

/// First step of a leg, decided before any sub-request is sent.
#[derive(Clone, Copy, Debug)]
pub(crate) enum LegStart {
    /// The leg cannot be read, for this reason.
    Absent { reason: AbsentReason, retry_ms: u64 },
    /// The first sub-request of the leg is sent to this replica.
    Send(Route),
    /// The leg waits until a backoff ends.
    Wait { until_us: u64 },
}

impl Coordinator {
    /// Starts a read, or refuses it on arrival.
    pub(crate) fn read(&mut self, now_us: u64, query: ReadQuery, actions: &mut Vec<QueryAction>) {
        self.counters.requests += 1;
        let id = query.id;
        if self.reads.contains_key(&id) || self.writes.contains_key(&id) {
            self.counters.duplicate_requests += 1;
            return;
        }
        let kind = self.routing.classes.get(&query.class).map(|it| it.kind);
        let deadline_us = query.deadline_us;
        let mut read = OpenRead::new(now_us, query);
        let refused = if deadline_us <= now_us {
            self.counters.deadlines += 1;
            Some(AbsentReason::DeadlinePassed)
        } else if !self.routing.ready() {
            Some(AbsentReason::NotReady)
        } else if kind != Some(ClassKind::Read) {
            Some(AbsentReason::UnknownClass)
        } else {
            None
        };
        if let Some(reason) = refused {
            let answer = read.refusal(reason, RETRY_AFTER_DEFAULT_MS);
            self.answer(id, answer, actions);
            return;
        }
        self.timers.set(deadline_us, Timer::Deadline(id));
        if self.pin_and_send(now_us, &mut read, true, actions) == Progress::Open {
            self.reads.insert(id, read);
        }
    }

    /// Runs `update` on an open read and removes the read if it is finished.
    fn update_read(
        &mut self,
        id: QueryId,
        update: impl FnOnce(&mut Self, &mut OpenRead) -> Progress,
    ) {
        let Some(mut read) = self.reads.remove(&id) else {
            return;
        };
        if update(self, &mut read) == Progress::Open {
            self.reads.insert(id, read);
        }
    }

    /// Chooses the index version that all legs read, and sends the sub-requests of the legs; or
    /// waits for reports of owners, or refuses the read.
    fn pin_and_send(
        &mut self,
        now_us: u64,
        read: &mut OpenRead,
        may_wait: bool,
        actions: &mut Vec<QueryAction>,
    ) -> Progress {
        let range = read.query.range;
        let class = read.query.class;
        let Some(view) = self.routing.class(class) else {
            return self.answer_absent(
                read,
                AbsentReason::UnknownClass,
                RETRY_AFTER_DEFAULT_MS,
                actions,
            );
        };
        // The plan fixes the index version: if possible one that covers the whole range, of these
        // the one that most replicas hold.
        let plan = view.choose_plan(range);
        let whole_range = plan.is_some_and(|plan| plan.covered.covers(range));
        let plan = plan.map(|plan| (plan.version, OpenRead::split_into_legs(plan, range)));
        if !whole_range && may_wait {
            let unreported = self.owners_to_wait_for(now_us, class);
            if !unreported.is_empty() {
                self.wait_for_reports(now_us, read, &unreported, actions);
                return Progress::Open;
            }
        }
        self.remove_waiting(class, read.query.id);
        match plan {
            Some((version, legs)) if whole_range || !read.requires_full_coverage() => {
                match self.send_legs(now_us, read, version, legs, actions) {
                    Ok(()) => self.answer_if_finished(read, actions),
                    Err((reason, retry_ms)) => self.answer_absent(read, reason, retry_ms, actions),
                }
            }
            _ => self.answer_absent(
                read,
                AbsentReason::NoReplica,
                RETRY_AFTER_DEFAULT_MS,
                actions,
            ),
        }
    }

    /// Returns the owners that have not reported yet and whose reports are not overdue.
    pub(crate) fn owners_to_wait_for(&mut self, now_us: u64, class: ClassKey) -> Vec<NodeKey> {
        let Some(view) = self.routing.classes.get(&class) else {
            return Vec::new();
        };
        let nodes = &self.routing.nodes;
        let may_report = |node: &&NodeKey| nodes.get(*node).is_some_and(|it| !it.is_late(now_us));
        view.unreported_owners
            .iter()
            .filter(may_report)
            .copied()
            .collect()
    }

    /// Asks `owners` for reports and keeps the read waiting for them.
    fn wait_for_reports(
        &mut self,
        now_us: u64,
        read: &mut OpenRead,
        owners: &[NodeKey],
        actions: &mut Vec<QueryAction>,
    ) {
        for owner in owners {
            self.ask_for_reports(now_us, *owner, actions);
        }
        if read.wait_timer_id != 0 {
            return;
        }
        self.counters.waits_reports += 1;
        let id = read.query.id;
        self.add_waiting(read.query.class, id);
        read.wait_timer_id = self.next_timer_id();
        let timer_id = read.wait_timer_id;
        let until_us = (now_us + REPORT_TIMEOUT_US).min(read.query.deadline_us);
        self.timers.set(until_us, Timer::Wait { id, timer_id });
    }

    /// Replaces the legs of a read by `legs` at `version` and sends their sub-requests. Returns
    /// an error and leaves the read unchanged if it cannot be answered with the coverage that
    /// the caller requires.
    pub(crate) fn send_legs(
        &mut self,
        now_us: u64,
        read: &mut OpenRead,
        version: IndexVersion,
        legs: Vec<QueryLeg>,
        actions: &mut Vec<QueryAction>,
    ) -> Result<(), (AbsentReason, u64)> {
        let deadline_us = read.query.deadline_us;
        let class = self.routing.classes.get(&read.query.class);
        let longest_wait_us = class.map_or(u64::MAX, |it| it.longest_wait_us);
        let starts: Vec<LegStart> = legs
            .iter()
            .map(|leg| self.plan_leg_start(now_us, deadline_us, longest_wait_us, version, leg))
            .collect();
        let mut absent = starts.iter().filter_map(|start| match start {
            LegStart::Absent { reason, retry_ms } => Some((*reason, *retry_ms)),
            LegStart::Send(_) | LegStart::Wait { .. } => None,
        });
        let refuse = read.requires_full_coverage() || absent.clone().count() == starts.len();
        if refuse && let Some(worst) = absent.by_ref().max_by_key(|(_, retry_ms)| *retry_ms) {
            return Err(worst);
        }
        self.cancel_all(read, actions);
        read.unfinished_legs = legs.len();
        read.legs = legs;
        read.pinned_version = Some(version);
        for (index, start) in starts.into_iter().enumerate() {
            match start {
                LegStart::Absent { reason, .. } => read.end_leg(index, LegState::Failed(reason)),
                LegStart::Send(route) => self.start_leg(now_us, read, index, route, actions),
                LegStart::Wait { until_us } => {
                    let reason = AbsentReason::TooLate;
                    self.wait_leg(read, index, until_us, reason);
                }
            }
        }
        Ok(())
    }

    /// Decides the first step of a leg; sends nothing.
    fn plan_leg_start(
        &self,
        now_us: u64,
        deadline_us: u64,
        longest_wait_us: u64,
        version: IndexVersion,
        leg: &QueryLeg,
    ) -> LegStart {
        match self
            .routing
            .pick_replica(now_us, leg.service, version, &leg.unread, &leg.tried)
        {
            Pick::Route(route) => {
                let end_us = now_us + route.expected_us;
                let late_us = end_us.saturating_sub(deadline_us);
                let excess_wait_us = route.wait_us.saturating_sub(longest_wait_us);
                match late_us.max(excess_wait_us) {
                    0 => LegStart::Send(route),
                    excess_us => LegStart::Absent {
                        reason: AbsentReason::TooLate,
                        retry_ms: retry_after_ms(excess_us),
                    },
                }
            }
            Pick::BackedOff { until_us } if until_us < deadline_us => LegStart::Wait { until_us },
            Pick::BackedOff { until_us } => LegStart::Absent {
                reason: AbsentReason::TooLate,
                retry_ms: retry_after_ms(until_us - now_us),
            },
            Pick::NoReplica => LegStart::Absent {
                reason: AbsentReason::NoReplica,
                retry_ms: RETRY_AFTER_DEFAULT_MS,
            },
        }
    }

    /// Processes the outcome of a sub-request of leg `leg_index`.
    #[expect(
        clippy::too_many_arguments,
        reason = "every part of the event is needed"
    )]
    pub(crate) fn leg_reply(
        &mut self,
        now_us: u64,
        id: QueryId,
        leg_index: usize,
        sequence: u64,
        sub: OpenSubRequest,
        outcome: SubOutcome,
        actions: &mut Vec<QueryAction>,
    ) {
        self.update_read(id, |this, read| {
            read.legs[leg_index]
                .open_sequences
                .retain(|it| *it != sequence);
            match outcome {
                SubOutcome::Answered {
                    ranges,
                    rows,
                    version,
                } => {
                    read.may_have_run = true;
                    if Some(version) == read.pinned_version {
                        // If a sub-request that was sent earlier is still open, this reply is
                        // that of a hedge.
                        let mut others = read.legs[leg_index].open_sequences.iter();
                        this.counters.hedges_won += u64::from(others.any(|it| *it < sequence));
                        return this.merge_reply(now_us, read, leg_index, &ranges, rows, actions);
                    }
                    // The replica serves another version in place of the pinned one.
                    this.counters.replies_wrong_version += 1;
                    this.version_gone(now_us, read, leg_index, sub, actions)
                }
                SubOutcome::Failed { reason } => {
                    read.may_have_run = true;
                    // A lost owner leaves at most as many sub-requests as it has slots, so
                    // their retries are free. Otherwise reads would fail with it whenever
                    // hedges have used up the budget.
                    read.legs[leg_index].next_sub_request_cost = match reason {
                        FailureReason::OwnerLost => SubRequestCost::Free,
                        _ => SubRequestCost::ChargedToBudget,
                    };
                    let reason = AbsentReason::Failed(reason);
                    this.retry_leg(now_us, read, leg_index, reason, actions)
                }
                SubOutcome::Refused {
                    reason,
                    retry_after_us,
                } => {
                    let leg = &mut read.legs[leg_index];
                    leg.retry_after_us = leg.retry_after_us.max(retry_after_us);
                    this.leg_refused(now_us, read, leg_index, sub, reason, actions)
                }
                SubOutcome::VersionGone => this.version_gone(now_us, read, leg_index, sub, actions),
            }
        });
    }

    /// Merges a reply at the pinned version; retries the keys that it leaves unread.
    fn merge_reply(
        &mut self,
        now_us: u64,
        read: &mut OpenRead,
        leg_index: usize,
        ranges: &[KeyRange],
        rows: Vec<Row>,
        actions: &mut Vec<QueryAction>,
    ) -> Progress {
        let leg = &mut read.legs[leg_index];
        self.counters.rows_dropped += leg.merge(ranges, rows);
        if !leg.unread.is_empty() {
            self.counters.replies_short += 1;
            leg.next_sub_request_cost = SubRequestCost::ChargedToBudget;
            return self.retry_leg(now_us, read, leg_index, AbsentReason::NoReplica, actions);
        }
        for sequence in std::mem::take(&mut leg.open_sequences) {
            // Lowers the rank of the slower replica, whose reply will not show how slow it is.
            if let Some(slower) = self.sub_requests.get(&sequence) {
                let lateness_us = slower.lateness_us(now_us);
                let replica = self.routing.replica_mut(slower.replica);
                replica.raise_lateness(lateness_us);
            }
            self.cancel(sequence, actions);
        }
        read.end_leg(leg_index, LegState::Done);
        self.answer_if_finished(read, actions)
    }

    /// Answers the read if every leg is done or failed, or if a leg failed and the caller
    /// requires full coverage.
    pub(crate) fn answer_if_finished(
        &mut self,
        read: &mut OpenRead,
        actions: &mut Vec<QueryAction>,
    ) -> Progress {
        if read.requires_full_coverage()
            && let Some((reason, retry_after_us)) = read.first_failure()
        {
            let retry_ms = retry_after_refusal_ms(retry_after_us);
            return self.answer_absent(read, reason, retry_ms, actions);
        }
        if read.unfinished_legs > 0 {
            return Progress::Open;
        }
        let deadline_passed = AbsentReason::DeadlinePassed;
        let answer = read.answer(
            deadline_passed,
            AbsentReason::NoReplica,
            RETRY_AFTER_DEFAULT_MS,
        );
        self.finish(read, answer, actions)
    }

    /// Answers the read with a refusal or failure: all its keys are absent, for one reason.
    pub(crate) fn answer_absent(
        &mut self,
        read: &mut OpenRead,
        reason: AbsentReason,
        retry_ms: u64,
        actions: &mut Vec<QueryAction>,
    ) -> Progress {
        let answer = read.refusal(reason, retry_ms);
        self.finish(read, answer, actions)
    }

    fn finish(
        &mut self,
        read: &mut OpenRead,
        answer: Answer,
        actions: &mut Vec<QueryAction>,
    ) -> Progress {
        self.cancel_all(read, actions);
        self.remove_waiting(read.query.class, read.query.id);
        self.answer(read.query.id, answer, actions);
        Progress::Finished
    }

    /// Cancels every sub-request of the read that is in flight.
    pub(crate) fn cancel_all(&mut self, read: &mut OpenRead, actions: &mut Vec<QueryAction>) {
        for leg in &mut read.legs {
            for sequence in std::mem::take(&mut leg.open_sequences) {
                read.may_have_run = true;
                self.cancel(sequence, actions);
            }
        }
    }

    pub(crate) fn read_deadline(
        &mut self,
        at_us: u64,
        id: QueryId,
        actions: &mut Vec<QueryAction>,
    ) {
        self.update_read(id, |this, read| {
            if read.query.deadline_us != at_us {
                return Progress::Open;
            }
            this.counters.deadlines += 1;
            let deadline_passed = AbsentReason::DeadlinePassed;
            if read.requires_full_coverage() {
                return this.answer_absent(read, deadline_passed, RETRY_AFTER_DEFAULT_MS, actions);
            }
            let answer = read.answer(
                deadline_passed,
                AbsentReason::NoReplica,
                RETRY_AFTER_DEFAULT_MS,
            );
            this.finish(read, answer, actions)
        });
    }

    pub(crate) fn read_caller_disconnected(&mut self, id: QueryId, actions: &mut Vec<QueryAction>) {
        self.update_read(id, |this, read| {
            this.counters.callers_gone += 1;
            this.cancel_all(read, actions);
            this.remove_waiting(read.query.class, id);
            Progress::Finished
        });
    }

    pub(crate) fn read_wait_due(
        &mut self,
        now_us: u64,
        id: QueryId,
        timer_id: u64,
        actions: &mut Vec<QueryAction>,
    ) {
        self.update_read(id, |this, read| {
            if read.wait_timer_id != timer_id || read.pinned_version.is_some() {
                return Progress::Open;
            }
            this.pin_and_send(now_us, read, false, actions)
        });
    }

    /// Re-evaluates a read that waits for reports.
    pub(crate) fn read_recheck(
        &mut self,
        now_us: u64,
        id: QueryId,
        actions: &mut Vec<QueryAction>,
    ) {
        self.update_read(id, |this, read| {
            if read.pinned_version.is_none() {
                return this.pin_and_send(now_us, read, true, actions);
            }
            // The read waits for a version that is newer than its pinned one, which is gone.
            this.restart_if_possible(now_us, read, actions);
            this.answer_if_finished(read, actions)
        });
    }
}

/// Returns the retry-after time of a request that owners refused, in milliseconds.
pub(crate) fn retry_after_refusal_ms(retry_after_us: u64) -> u64 {
    match retry_after_us {
        0 => RETRY_AFTER_DEFAULT_MS,
        stated_us => retry_after_ms(stated_us),
    }
}

/// Converts an expected wait to a retry-after time in milliseconds.
pub(crate) fn retry_after_ms(wait_us: u64) -> u64 {
    wait_us.div_ceil(1_000).clamp(1, RETRY_AFTER_MAX_MS)
}
