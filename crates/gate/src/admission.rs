//! Admits, orders, starts and refuses the sub-requests that wait for one replica.
//!
//! A slot is room for one concurrent request at the replica. The allowance is the number of slots
//! that may be occupied now; it is lower while the replica is cold, which means that it may have
//! started recently, and after failures.

use crate::GateAction;
use crate::context::EventContext;
use crate::context::OpenRequest;
use crate::deadline_queue::QueueKey;
use crate::deadline_queue::queue_key;
use crate::replica_gate::ReplicaGate;
use crate::running_request::RunningRequest;
use wigeonhall_types::AttemptId;
use wigeonhall_types::ClassKey;
use wigeonhall_types::FailureReason;
use wigeonhall_types::RefusalReason;
use wigeonhall_types::SubOutcome;
use wigeonhall_types::SubRequest;

impl ReplicaGate {
    /// Refuses a new sub-request or adds it to the queue. If it need not wait, the next
    /// `ReplicaGate::advance` starts it.
    pub(crate) fn submit(&mut self, cx: &mut EventContext<'_>, request: SubRequest) {
        let now_us = cx.now_us;
        if let Some((reason, retry_after_us)) = self.blocking_refusal(now_us, cx.has_lease()) {
            self.refuse(cx, request.attempt, reason, retry_after_us);
        } else if request.deadline_us <= now_us {
            self.refuse(cx, request.attempt, RefusalReason::DeadlinePassed, 0);
        } else if self.is_version_gone(now_us, request.version) {
            self.respond_version_gone(cx, request.attempt);
        } else if let Some(delay_us) = self.admission_delay_us(cx, &request) {
            let retry_after_us = delay_us.max(1);
            self.refuse(cx, request.attempt, self.overload_reason(), retry_after_us);
        } else if let Some(wait_us) = self.excessive_wait_us(cx, &request) {
            self.refuse(cx, request.attempt, RefusalReason::Busy, wait_us);
        } else {
            let open_request = OpenRequest {
                class: request.class,
                deadline_us: request.deadline_us,
                replica: self.key,
            };
            cx.open_requests.insert(request.attempt, open_request);
            let weight = cx.weight(request.class);
            self.waiting.insert(request, weight);
        }
        let waiting = self.waiting.len() as u64;
        cx.counters.waiting_high = cx.counters.waiting_high.max(waiting);
    }

    /// Removes a waiting sub-request, or asks the target to stop a running one.
    pub(crate) fn cancel(
        &mut self,
        cx: &mut EventContext<'_>,
        attempt: AttemptId,
        open_request: OpenRequest,
    ) {
        let key = (open_request.deadline_us, attempt);
        if self.waiting.remove(open_request.class, key).is_some() {
            cx.open_requests.remove(&attempt);
            self.refuse(cx, attempt, RefusalReason::Cancelled, 0);
        } else if let Some(running) = self.running.get_mut(&attempt)
            && !running.cancelled
        {
            running.cancelled = true;
            self.cancel_at_target(cx, attempt);
        }
    }

    /// Responds to the entry node at the deadline of a running request, and asks the target to
    /// stop the request unless that was done before.
    pub(crate) fn respond_deadline_exceeded(
        &self,
        cx: &mut EventContext<'_>,
        attempt: AttemptId,
        cancelled: bool,
    ) {
        if !cancelled {
            self.cancel_at_target(cx, attempt);
        }
        let outcome = SubOutcome::Failed {
            reason: FailureReason::DeadlineExceeded,
        };
        let report = self.report(cx.now_us, cx.has_lease());
        cx.respond(attempt, outcome, report);
    }

    /// Returns the expected start of a sub-request with `ahead` others before it.
    pub(crate) fn expected_start_us(&self, now_us: u64, ahead: usize) -> u64 {
        let free_slot_us = self.free_slot_us(now_us, self.allowance(), ahead, None);
        free_slot_us.max(self.rate_limit_start_us(now_us, ahead))
    }

    /// Returns the time at which the rate limit of a cold replica allows a start after `ahead`
    /// others; now if the replica is not cold.
    pub(crate) fn rate_limit_start_us(&self, now_us: u64, ahead: usize) -> u64 {
        let rate = self.ramp.rate();
        rate.map_or(now_us, |rate| self.starts.earliest_us(now_us, rate, ahead))
    }

    /// Returns the time that must remain before the deadline of a waiting sub-request; with
    /// less, it is refused.
    pub(crate) fn required_while_waiting_us(&self, now_us: u64) -> u64 {
        self.latency.required_while_waiting_us(now_us).max(1)
    }

    pub(crate) fn refuse_all_waiting(
        &mut self,
        cx: &mut EventContext<'_>,
        reason: RefusalReason,
        retry_after_us: u64,
    ) {
        while let Some(request) = self.waiting.pop_any() {
            cx.open_requests.remove(&request.attempt);
            self.refuse(cx, request.attempt, reason, retry_after_us);
        }
    }

    /// Refuses waiting sub-requests that can no longer finish before their deadline.
    pub(crate) fn refuse_late(&mut self, cx: &mut EventContext<'_>) {
        let earliest_deadline_us = cx.now_us + self.required_while_waiting_us(cx.now_us);
        let is_late =
            |(_, (deadline_us, _)): &(ClassKey, QueueKey)| *deadline_us < earliest_deadline_us;
        loop {
            let late = self.waiting.first_per_class().find(is_late);
            let Some((class, key)) = late else {
                return;
            };
            let reason = if key.0 <= cx.now_us {
                RefusalReason::DeadlinePassed
            } else {
                self.overload_reason()
            };
            self.refuse_one_waiting(cx, class, key, reason);
        }
    }

    /// Starts waiting sub-requests as far as the limits allow.
    pub(crate) fn start(&mut self, cx: &mut EventContext<'_>) {
        let now_us = cx.now_us;
        while self.occupied_slots() < self.allowance()
            && self.rate_limit_start_us(now_us, 0) <= now_us
        {
            let Some(request) = self.pop_next(cx) else {
                return;
            };
            if self.is_version_gone(now_us, request.version) {
                cx.open_requests.remove(&request.attempt);
                self.respond_version_gone(cx, request.attempt);
            } else {
                self.send(cx, request);
            }
        }
    }

    /// Refuses the waiting sub-requests with the latest deadlines that cannot be served in time
    /// within the concurrency limit in force, for example after a failure halved it. Returns
    /// whether it refused any.
    pub(crate) fn refuse_over_capacity(&mut self, cx: &mut EventContext<'_>) -> bool {
        let needed_us = self.required_while_waiting_us(cx.now_us);
        let mut refused = false;
        loop {
            let excess = self.waiting.last_per_class().find(|(class, key)| {
                let rank = self.waiting.rank_of(*class, *key);
                let start_us = self.class_start_us(cx, *class, rank);
                start_us.saturating_add(needed_us) > key.0
            });
            let Some((class, key)) = excess else {
                return refused;
            };
            self.refuse_one_waiting(cx, class, key, self.overload_reason());
            refused = true;
        }
    }

    /// Returns the time until `request` would be admitted; `None` if it is admitted now.
    fn admission_delay_us(&self, cx: &EventContext<'_>, request: &SubRequest) -> Option<u64> {
        let now_us = cx.now_us;
        let start_us = self.class_start_us(cx, request.class, self.waiting.rank(request));
        let end_us = start_us.saturating_add(self.latency.required_on_admission_us(now_us).max(1));
        let longest_us = cx.longest_wait_us(request.class);
        let late_us = end_us.saturating_sub(request.deadline_us);
        let excess_wait_us = (start_us - now_us).saturating_sub(longest_us);
        if late_us > 0 || excess_wait_us > 0 {
            return Some(late_us.max(excess_wait_us));
        }
        let last = self.waiting.last_of(request.class)?;
        if last < queue_key(request) {
            return None;
        }
        // A new sub-request must not displace the last one of its class, which has waited
        // longer.
        let rank = self.waiting.rank_of(request.class, last) + 1;
        let start_us = self.class_start_us(cx, request.class, rank);
        let end_us = start_us.saturating_add(self.required_while_waiting_us(now_us));
        (end_us > last.0).then(|| end_us - last.0)
    }

    /// Returns the expected wait of `request` for a slot if it exceeds the limit that
    /// the entry node set.
    fn excessive_wait_us(&self, cx: &EventContext<'_>, request: &SubRequest) -> Option<u64> {
        let within_us = request.start_within_us?;
        let rank = self.waiting.rank(request);
        let wait_us = self.class_start_us(cx, request.class, rank) - cx.now_us;
        (wait_us > within_us).then_some(wait_us)
    }

    /// Returns the expected start of a sub-request of `class` with `rank` others of its class
    /// before it.
    fn class_start_us(&self, cx: &EventContext<'_>, class: ClassKey, rank: usize) -> u64 {
        let now_us = cx.now_us;
        let ahead = self
            .waiting
            .expected_starts_before(class, cx.weight(class), rank);
        let start_us = self.expected_start_us(now_us, ahead);
        if !self.waiting.other_classes_wait(class) {
            return start_us;
        }
        let class_limit = cx
            .class_slot_limit(class, self.slots())
            .min(self.allowance());
        start_us.max(self.free_slot_us(now_us, class_limit, rank, Some(class)))
    }

    /// Returns the time at which one of `allowance` slots is free for a sub-request
    /// with `ahead` others before it. With `class`, counts only running requests of that class.
    ///
    /// A request is expected to take the typical time. One that already took longer is expected
    /// to end after another quarter of it.
    fn free_slot_us(
        &self,
        now_us: u64,
        allowance: u32,
        ahead: usize,
        class: Option<ClassKey>,
    ) -> u64 {
        let allowance = allowance.max(1) as usize;
        let typical_us = self.latency.typical_us().max(1);
        let running = self.running.values();
        let mut ends_us = running
            .filter(|running| class.is_none_or(|class| running.class == class))
            .map(|it| (it.started_us + typical_us).max(now_us + typical_us / 4))
            .collect::<Vec<_>>();
        if class.is_none() {
            // A request that may still run at the target ends at its next poll at the earliest.
            let unconfirmed = self.unconfirmed.poll_times_us();
            ends_us.extend(unconfirmed.map(|it| it.max(now_us + typical_us / 4)));
        }
        ends_us.sort_unstable();
        let free = allowance.saturating_sub(ends_us.len());
        let surplus = ends_us.len().saturating_sub(allowance);
        let first_us = (ahead % allowance)
            .checked_sub(free)
            .map_or(now_us, |index| ends_us[surplus + index]);
        first_us.saturating_add((ahead / allowance) as u64 * typical_us)
    }

    /// Removes the sub-request that starts next. While several classes wait, a class that
    /// occupies its share of the slots is skipped.
    fn pop_next(&mut self, cx: &EventContext<'_>) -> Option<SubRequest> {
        let slots = self.slots();
        let running = &self.running;
        let startable = self
            .waiting
            .first_per_class()
            .map(|(class, _)| class)
            .filter(|class| {
                let occupied_slots = running.values().filter(|it| it.class == *class).count();
                !self.waiting.other_classes_wait(*class)
                    || (occupied_slots as u32) < cx.class_slot_limit(*class, slots)
            })
            .collect::<Vec<_>>();
        self.waiting.pop(|class| startable.contains(&class))
    }

    fn send(&mut self, cx: &mut EventContext<'_>, request: SubRequest) {
        let now_us = cx.now_us;
        let running = RunningRequest {
            cancelled: false,
            class: request.class,
            deadline_us: request.deadline_us,
            responded: false,
            started_us: now_us,
            ramp_step: self.ramp.step(),
        };
        self.running.insert(request.attempt, running);
        let rate = self.ramp.rate().unwrap_or(0);
        // A replica that is warm now may become cold, so as many starts are kept as the cold
        // bound needs.
        let kept = rate.max(self.cold_bound().requests_per_s).max(1);
        self.starts.record(now_us, kept);
        cx.counters.started += 1;
        self.record_limit_use(cx, request.deadline_us);
        cx.actions.push(GateAction::Send(request));
    }

    /// Records in the counters the highest use of each limit, and by how much it was exceeded.
    fn record_limit_use(&self, cx: &mut EventContext<'_>, deadline_us: u64) {
        let has_lease = cx.has_lease();
        let occupied_slots = u64::from(self.occupied_slots());
        let recent = self.starts.recent_starts(cx.now_us) as u64;
        let counters = &mut *cx.counters;
        counters.running_high = counters.running_high.max(occupied_slots);
        let over = occupied_slots.saturating_sub(u64::from(self.slots()));
        counters.slots_exceeded_high = counters.slots_exceeded_high.max(over);
        if let Some(rate) = self.ramp.rate() {
            let over = occupied_slots.saturating_sub(u64::from(self.allowance()));
            counters.cold_running_high = counters.cold_running_high.max(occupied_slots);
            counters.cold_slots_exceeded_high = counters.cold_slots_exceeded_high.max(over);
            let over = recent.saturating_sub(u64::from(rate));
            counters.cold_rate_high = counters.cold_rate_high.max(recent);
            counters.cold_rate_exceeded_high = counters.cold_rate_exceeded_high.max(over);
        }
        let forbidden = self.blocking_refusal(cx.now_us, has_lease).is_some();
        counters.started_forbidden += u64::from(forbidden || deadline_us <= cx.now_us);
    }

    fn refuse_one_waiting(
        &mut self,
        cx: &mut EventContext<'_>,
        class: ClassKey,
        key: QueueKey,
        reason: RefusalReason,
    ) {
        self.waiting.remove(class, key);
        cx.open_requests.remove(&key.1);
        let start_us = self.expected_start_us(cx.now_us, self.waiting.len());
        let retry_after_us = start_us - cx.now_us;
        self.refuse(cx, key.1, reason, retry_after_us);
    }

    const fn overload_reason(&self) -> RefusalReason {
        if self.ramp.is_cold() {
            RefusalReason::ColdStart
        } else {
            RefusalReason::Overloaded
        }
    }

    fn refuse(
        &self,
        cx: &mut EventContext<'_>,
        attempt: AttemptId,
        reason: RefusalReason,
        retry_after_us: u64,
    ) {
        let report = self.report(cx.now_us, cx.has_lease());
        cx.refuse(attempt, reason, retry_after_us, report);
    }

    fn respond_version_gone(&self, cx: &mut EventContext<'_>, attempt: AttemptId) {
        cx.counters.version_gone_unasked += 1;
        let report = self.report(cx.now_us, cx.has_lease());
        cx.respond(attempt, SubOutcome::VersionGone, report);
    }

    fn cancel_at_target(&self, cx: &mut EventContext<'_>, attempt: AttemptId) {
        cx.counters.cancelled_at_target += 1;
        cx.actions.push(GateAction::CancelAtTarget {
            attempt,
            replica: self.key,
        });
    }
}
