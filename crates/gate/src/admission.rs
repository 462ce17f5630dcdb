//! Admission, order and start of the sub-requests that wait for one replica.

use crate::GateAction;
use crate::ranked_queue::RankKey;
use crate::ranked_queue::rank_key;
use crate::replica_gate::ReplicaGate;
use crate::running::Running;
use crate::turn::Place;
use crate::turn::Turn;
use wigeonhall_types::AttemptId;
use wigeonhall_types::ClassKey;
use wigeonhall_types::FailureReason;
use wigeonhall_types::RefusalReason;
use wigeonhall_types::SubOutcome;
use wigeonhall_types::SubRequest;

impl ReplicaGate {
    /// Takes a new sub-request: refuses it now or lets it wait. The next
    /// `settle` starts it if it need not wait.
    pub(crate) fn submit(&mut self, turn: &mut Turn<'_>, request: SubRequest) {
        let now_us = turn.now_us;
        if let Some((reason, retry_after_us)) = self.blocked(now_us, turn.has_lease()) {
            self.refuse(turn, request.attempt, reason, retry_after_us);
        } else if request.deadline_us <= now_us {
            self.refuse(turn, request.attempt, RefusalReason::DeadlinePassed, 0);
        } else if self.is_version_gone(now_us, request.version) {
            self.version_gone(turn, request.attempt);
        } else if let Some(late_us) = self.excess_us(turn, &request) {
            let retry_after_us = late_us.max(1);
            self.refuse(
                turn,
                request.attempt,
                self.overload_reason(),
                retry_after_us,
            );
        } else if let Some(wait_us) = self.long_wait_us(turn, &request) {
            self.refuse(turn, request.attempt, RefusalReason::Busy, wait_us);
        } else {
            let place = Place {
                class: request.class,
                deadline_us: request.deadline_us,
                replica: self.key,
            };
            turn.places.insert(request.attempt, place);
            let weight = turn.weight(request.class);
            self.waiting.insert(request, weight);
        }
        let waiting = self.waiting.len() as u64;
        turn.counters.waiting_high = turn.counters.waiting_high.max(waiting);
    }

    /// Drops a waiting sub-request, or asks the target to stop a running one.
    pub(crate) fn cancel(&mut self, turn: &mut Turn<'_>, attempt: AttemptId, place: Place) {
        let key = (place.deadline_us, attempt);
        if self.waiting.remove(place.class, key).is_some() {
            turn.places.remove(&attempt);
            self.refuse(turn, attempt, RefusalReason::Cancelled, 0);
        } else if let Some(running) = self.running.get_mut(&attempt)
            && !running.cancelled
        {
            running.cancelled = true;
            self.cancel_at_target(turn, attempt);
        }
    }

    /// Answers a running request at its deadline.
    pub(crate) fn give_up(&self, turn: &mut Turn<'_>, attempt: AttemptId, cancelled: bool) {
        if !cancelled {
            self.cancel_at_target(turn, attempt);
        }
        let outcome = SubOutcome::Failed {
            reason: FailureReason::DeadlineExceeded,
        };
        let report = self.report(turn.now_us, turn.has_lease());
        turn.respond(attempt, outcome, report);
    }

    /// Expected start of a sub-request that `ahead` others precede.
    pub(crate) fn expected_start_us(&self, now_us: u64, ahead: usize) -> u64 {
        let slot_us = self.slot_us(now_us, self.capacity(), ahead, None);
        slot_us.max(self.permit_us(now_us, ahead))
    }

    /// Time at which the rate of a cold start allows a start after `ahead` others.
    pub(crate) fn permit_us(&self, now_us: u64, ahead: usize) -> u64 {
        let rate = self.ramp.rate();
        rate.map_or(now_us, |rate| self.window.earliest_us(now_us, rate, ahead))
    }

    /// Remaining time below which a waiting sub-request is refused.
    pub(crate) fn retention_us(&self, now_us: u64) -> u64 {
        self.latency.retention_us(now_us).max(1)
    }

    pub(crate) fn refuse_waiting(
        &mut self,
        turn: &mut Turn<'_>,
        reason: RefusalReason,
        retry_after_us: u64,
    ) {
        while let Some(request) = self.waiting.pop_any() {
            turn.places.remove(&request.attempt);
            self.refuse(turn, request.attempt, reason, retry_after_us);
        }
    }

    /// Refuses waiting sub-requests whose remaining time is no longer enough.
    pub(crate) fn refuse_late(&mut self, turn: &mut Turn<'_>) {
        let latest_us = turn.now_us + self.retention_us(turn.now_us);
        let is_late = |(_, (deadline_us, _)): &(ClassKey, RankKey)| *deadline_us < latest_us;
        loop {
            let late = self.waiting.heads().find(is_late);
            let Some((class, key)) = late else {
                return;
            };
            let reason = if key.0 <= turn.now_us {
                RefusalReason::DeadlinePassed
            } else {
                self.overload_reason()
            };
            self.drop_waiting(turn, class, key, reason);
        }
    }

    /// Starts waiting sub-requests while the limits allow it.
    pub(crate) fn start(&mut self, turn: &mut Turn<'_>) {
        let now_us = turn.now_us;
        while self.taken() < self.capacity() && self.permit_us(now_us, 0) <= now_us {
            let Some(request) = self.pop(turn) else {
                return;
            };
            if self.is_version_gone(now_us, request.version) {
                turn.places.remove(&request.attempt);
                self.version_gone(turn, request.attempt);
            } else {
                self.send(turn, request);
            }
        }
    }

    /// Refuses the last waiting sub-requests that the present capacity cannot
    /// serve in time, for example after a ramp was halved.
    /// Returns whether it refused any.
    pub(crate) fn refuse_excess(&mut self, turn: &mut Turn<'_>) -> bool {
        let needed_us = self.retention_us(turn.now_us);
        let mut refused = false;
        loop {
            let excess = self.waiting.tails().find(|(class, key)| {
                let rank = self.waiting.rank_of(*class, *key);
                let start_us = self.class_start_us(turn, *class, rank);
                start_us.saturating_add(needed_us) > key.0
            });
            let Some((class, key)) = excess else {
                return refused;
            };
            self.drop_waiting(turn, class, key, self.overload_reason());
            refused = true;
        }
    }

    /// Time until `request` would fit, if it does not fit now.
    fn excess_us(&self, turn: &Turn<'_>, request: &SubRequest) -> Option<u64> {
        let now_us = turn.now_us;
        let start_us = self.class_start_us(turn, request.class, self.waiting.rank(request));
        let end_us = start_us.saturating_add(self.latency.admission_us(now_us).max(1));
        let longest_us = turn.longest_wait_us(request.class);
        let late_us = end_us.saturating_sub(request.deadline_us);
        let long_us = (start_us - now_us).saturating_sub(longest_us);
        if late_us > 0 || long_us > 0 {
            return Some(late_us.max(long_us));
        }
        let last = self.waiting.last(request.class)?;
        if last < rank_key(request) {
            return None;
        }
        // The newcomer must not push out the last one, which has waited longer.
        let rank = self.waiting.rank_of(request.class, last) + 1;
        let start_us = self.class_start_us(turn, request.class, rank);
        let end_us = start_us.saturating_add(self.retention_us(now_us));
        (end_us > last.0).then(|| end_us - last.0)
    }

    /// Expected wait of `request` for a slot, if it is longer than the sender wants.
    fn long_wait_us(&self, turn: &Turn<'_>, request: &SubRequest) -> Option<u64> {
        let within_us = request.start_within_us?;
        let rank = self.waiting.rank(request);
        let wait_us = self.class_start_us(turn, request.class, rank) - turn.now_us;
        (wait_us > within_us).then_some(wait_us)
    }

    /// Expected start of a sub-request of `class` that `rank` others of the
    /// class precede.
    fn class_start_us(&self, turn: &Turn<'_>, class: ClassKey, rank: usize) -> u64 {
        let now_us = turn.now_us;
        let ahead = self.waiting.ahead(class, turn.weight(class), rank);
        let start_us = self.expected_start_us(now_us, ahead);
        if !self.waiting.others_wait(class) {
            return start_us;
        }
        let share = turn.class_slots(class, self.slots()).min(self.capacity());
        start_us.max(self.slot_us(now_us, share, rank, Some(class)))
    }

    /// Time at which one of `capacity` slots is free for a sub-request that
    /// `ahead` others precede; counts only the running ones of `class`, if given.
    fn slot_us(&self, now_us: u64, capacity: u32, ahead: usize, class: Option<ClassKey>) -> u64 {
        let capacity = capacity.max(1) as usize;
        let typical_us = self.latency.typical_us().max(1);
        let running = self.running.values();
        let mut ends_us = running
            .filter(|running| class.is_none_or(|class| running.class == class))
            .map(|it| (it.started_us + typical_us).max(now_us + typical_us / 4))
            .collect::<Vec<_>>();
        if class.is_none() {
            let unproved = self.unproved.asks_us();
            ends_us.extend(unproved.map(|it| it.max(now_us + typical_us / 4)));
        }
        ends_us.sort_unstable();
        let free = capacity.saturating_sub(ends_us.len());
        let surplus = ends_us.len().saturating_sub(capacity);
        let first_us = (ahead % capacity)
            .checked_sub(free)
            .map_or(now_us, |index| ends_us[surplus + index]);
        first_us.saturating_add((ahead / capacity) as u64 * typical_us)
    }

    /// Takes the sub-request that starts next. While several classes wait, a
    /// class at its share of the slots is passed over.
    fn pop(&mut self, turn: &Turn<'_>) -> Option<SubRequest> {
        let slots = self.slots();
        let running = &self.running;
        let open = self
            .waiting
            .heads()
            .map(|(class, _)| class)
            .filter(|class| {
                let taken = running.values().filter(|it| it.class == *class).count();
                !self.waiting.others_wait(*class)
                    || (taken as u32) < turn.class_slots(*class, slots)
            })
            .collect::<Vec<_>>();
        self.waiting.pop(|class| open.contains(&class))
    }

    fn send(&mut self, turn: &mut Turn<'_>, request: SubRequest) {
        let now_us = turn.now_us;
        let running = Running {
            cancelled: false,
            class: request.class,
            deadline_us: request.deadline_us,
            responded: false,
            started_us: now_us,
            step: self.ramp.step(),
        };
        self.running.insert(request.attempt, running);
        let rate = self.ramp.rate().unwrap_or(0);
        let kept = rate.max(self.bound().requests_per_s).max(1);
        self.window.record(now_us, kept);
        turn.counters.started += 1;
        self.count_limits(turn, request.deadline_us);
        turn.actions.push(GateAction::Send(request));
    }

    /// Records how close a start came to each limit.
    fn count_limits(&self, turn: &mut Turn<'_>, deadline_us: u64) {
        let has_lease = turn.has_lease();
        let taken = u64::from(self.taken());
        let recent = self.window.recent(turn.now_us) as u64;
        let counters = &mut *turn.counters;
        counters.running_high = counters.running_high.max(taken);
        let over = taken.saturating_sub(u64::from(self.slots()));
        counters.slots_exceeded_high = counters.slots_exceeded_high.max(over);
        if let Some(rate) = self.ramp.rate() {
            let over = taken.saturating_sub(u64::from(self.capacity()));
            counters.cold_running_high = counters.cold_running_high.max(taken);
            counters.cold_slots_exceeded_high = counters.cold_slots_exceeded_high.max(over);
            let over = recent.saturating_sub(u64::from(rate));
            counters.cold_rate_high = counters.cold_rate_high.max(recent);
            counters.cold_rate_exceeded_high = counters.cold_rate_exceeded_high.max(over);
        }
        let forbidden = self.blocked(turn.now_us, has_lease).is_some();
        counters.started_forbidden += u64::from(forbidden || deadline_us <= turn.now_us);
    }

    fn drop_waiting(
        &mut self,
        turn: &mut Turn<'_>,
        class: ClassKey,
        key: RankKey,
        reason: RefusalReason,
    ) {
        self.waiting.remove(class, key);
        turn.places.remove(&key.1);
        let start_us = self.expected_start_us(turn.now_us, self.waiting.len());
        let retry_after_us = start_us - turn.now_us;
        self.refuse(turn, key.1, reason, retry_after_us);
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
        turn: &mut Turn<'_>,
        attempt: AttemptId,
        reason: RefusalReason,
        retry_after_us: u64,
    ) {
        let report = self.report(turn.now_us, turn.has_lease());
        turn.refuse(attempt, reason, retry_after_us, report);
    }

    fn version_gone(&self, turn: &mut Turn<'_>, attempt: AttemptId) {
        turn.counters.version_gone_unasked += 1;
        let report = self.report(turn.now_us, turn.has_lease());
        turn.respond(attempt, SubOutcome::VersionGone, report);
    }

    fn cancel_at_target(&self, turn: &mut Turn<'_>, attempt: AttemptId) {
        turn.counters.cancelled_at_target += 1;
        turn.actions.push(GateAction::CancelAtTarget {
            attempt,
            replica: self.key,
        });
    }
}
