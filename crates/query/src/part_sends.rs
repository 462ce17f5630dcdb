//! Sends the parts of a read and sets their timers.

use crate::AbsentReason;
use crate::Coordinator;
use crate::QueryAction;
use crate::coordinator::OutgoingSubRequest;
use crate::limits::BUSY_REFUSALS_BEFORE_WAIT;
use crate::limits::FRESH_REPORT_MAX_AGE_US;
use crate::limits::FULL_WAIT_PERCENT;
use crate::limits::HEDGE_DELAY_FACTOR;
use crate::limits::HEDGE_DELAY_MIN_US;
use crate::limits::REFUSAL_TARGET_US;
use crate::limits::REMOTE_ROUND_TRIP_US;
use crate::limits::START_WITHIN_BASE_US;
use crate::open_read::OpenRead;
use crate::open_sub_request::Parent;
use crate::query_part::PartState;
use crate::routing_table::Pick;
use crate::routing_table::Route;
use crate::send_cost::SendCost;
use crate::timers::Timer;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::Operation;
use wigeonhall_types::RefusalReason;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::ServiceKey;

impl Coordinator {
    /// Charges a sub-request of a part and sends it. Returns `false` and sends nothing if the
    /// charge fails.
    pub(crate) fn charge_and_send(
        &mut self,
        now_us: u64,
        read: &mut OpenRead,
        index: usize,
        route: Route,
        actions: &mut Vec<QueryAction>,
    ) -> bool {
        let part = &mut read.parts[index];
        let charged = self.charge_send(part.service, part.next_send_cost, &mut part.free_retries);
        if charged {
            self.send_part(now_us, read, index, route, actions);
        }
        charged
    }

    /// Sends the first sub-request of a part, which earns credit.
    pub(crate) fn send_first_try(
        &mut self,
        now_us: u64,
        read: &mut OpenRead,
        index: usize,
        route: Route,
        actions: &mut Vec<QueryAction>,
    ) {
        read.parts[index].next_send_cost = SendCost::First;
        self.charge_and_send(now_us, read, index, route, actions);
    }

    /// Sends a sub-request of a part and sets the hedge timer.
    pub(crate) fn send_part(
        &mut self,
        now_us: u64,
        read: &mut OpenRead,
        index: usize,
        route: Route,
        actions: &mut Vec<QueryAction>,
    ) {
        let Some(version) = read.pinned_version else {
            return;
        };
        let id = read.query.id;
        let start_within_us = self.start_within_us(now_us, read, index, route);
        let part = &mut read.parts[index];
        let range = part.enclosing_range();
        let outgoing = OutgoingSubRequest {
            class: read.query.class,
            deadline_us: read.query.deadline_us,
            operation: Operation::Read { range },
            parent: Parent::Read { id, part: index },
            route,
            service: part.service,
            start_within_us,
            version,
        };
        let sequence = self.send(now_us, outgoing, actions);
        part.open_sequences.push(sequence);
        part.sends += 1;
        part.state = PartState::Open;
        part.tried.push(route.replica);
        let delay_us = self.hedge_delay_us(part.service, route);
        self.set_part_timer(read, index, now_us + delay_us);
    }

    /// Returns the longest wait for a slot at `route`; `None` means no limit.
    ///
    /// A hedge accepts only a slot that is free within `START_WITHIN_BASE_US`. Any other
    /// sub-request waits longer only by the lead of `route` over the next best replica, and moves
    /// on after that; it waits without limit if there is no such replica.
    fn start_within_us(
        &self,
        now_us: u64,
        read: &OpenRead,
        index: usize,
        route: Route,
    ) -> Option<u64> {
        let part = &read.parts[index];
        if !part.open_sequences.is_empty() {
            // The first sub-request may never be answered, so hedges wait without limit after
            // `BUSY_REFUSALS_BEFORE_WAIT` refusals.
            return (part.busy_hedges < BUSY_REFUSALS_BEFORE_WAIT).then_some(START_WITHIN_BASE_US);
        }
        let full = part.busy_refusals > 0 && part.retry_after_us > self.full_wait_us(read);
        if full
            || part.busy_refusals >= BUSY_REFUSALS_BEFORE_WAIT
            || part.last_busy_replica == Some(route.replica)
        {
            return None;
        }
        let mut tried = part.tried.clone();
        tried.push(route.replica);
        let other = self.routing.pick_replica(
            now_us,
            part.service,
            read.pinned_version?,
            &part.gaps,
            &tried,
        );
        let Pick::Route(other) = other else {
            return None;
        };
        let lead_us = other.expected_us.saturating_sub(route.expected_us);
        Some(START_WITHIN_BASE_US + lead_us)
    }

    /// Returns the wait above which a replica counts as full.
    fn full_wait_us(&self, read: &OpenRead) -> u64 {
        let class = self.routing.classes.get(&read.query.class);
        class.map_or(u64::MAX, |it| it.longest_wait_us / 100 * FULL_WAIT_PERCENT)
    }

    /// Returns the replica for a retry of a part that failed for `reason`.
    ///
    /// If the refusal of that retry would come too late for the caller, the retry goes only to
    /// a replica whose recent report shows that it is likely to accept. Returns `None` if
    /// there is no such replica.
    pub(crate) fn pick_retry_replica(
        &self,
        now_us: u64,
        read: &OpenRead,
        index: usize,
        version: IndexVersion,
        reason: AbsentReason,
    ) -> Option<Pick> {
        let part = &read.parts[index];
        let pick = |tried: &[ReplicaKey]| {
            self.routing
                .pick_replica(now_us, part.service, version, &part.gaps, tried)
        };
        let full_wait_us = self.full_wait_us(read);
        let full = match reason {
            AbsentReason::Refused(RefusalReason::Busy) => part.retry_after_us > full_wait_us,
            AbsentReason::Refused(RefusalReason::Overloaded) => true,
            _ => false,
        };
        if !full || now_us + REMOTE_ROUND_TRIP_US <= read.received_us + REFUSAL_TARGET_US {
            return Some(pick(&part.tried));
        }
        if now_us > read.received_us + REFUSAL_TARGET_US {
            return None;
        }
        let mut tried = part.tried.clone();
        loop {
            match pick(&tried) {
                Pick::Route(route)
                    if route.age_us > FRESH_REPORT_MAX_AGE_US || route.wait_us > full_wait_us =>
                {
                    tried.push(route.replica);
                }
                Pick::Route(route) => return Some(Pick::Route(route)),
                Pick::BackedOff { .. } | Pick::NoReplica => return None,
            }
        }
    }

    /// Returns the time after which a sub-request to `service` is overdue and may be hedged.
    pub(crate) fn hedge_delay_us(&self, service: ServiceKey, route: Route) -> u64 {
        let observed = self.routing.services[service.index()].latency.delay_us();
        let delay_us = observed.unwrap_or(route.expected_us * HEDGE_DELAY_FACTOR);
        delay_us.max(route.expected_us).max(HEDGE_DELAY_MIN_US)
    }

    /// Sets the timer of a part, replacing the previous one.
    pub(crate) fn set_part_timer(&mut self, read: &mut OpenRead, index: usize, at_us: u64) {
        let timer_id = self.next_timer_id();
        read.parts[index].timer_id = timer_id;
        if at_us < read.query.deadline_us {
            let id = read.query.id;
            let part = index as u32;
            self.timers.set(at_us, Timer::Part { id, part, timer_id });
        }
    }

    /// Puts a part without a sub-request in flight into the waiting state until `until_us`.
    pub(crate) fn wait_part(
        &mut self,
        read: &mut OpenRead,
        index: usize,
        until_us: u64,
        reason: AbsentReason,
    ) {
        self.counters.waits_backed_off += 1;
        read.parts[index].waits += 1;
        read.parts[index].state = PartState::Waiting(reason);
        self.set_part_timer(read, index, until_us);
    }
}
