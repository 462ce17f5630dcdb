//! Sends the sub-requests of the legs of a read and sets their timers. A leg is the share of the
//! read that one shard service answers.

use crate::AbsentReason;
use crate::Coordinator;
use crate::QueryAction;
use crate::coordinator::OutgoingSubRequest;
use crate::limits::AT_LIMIT_PERCENT;
use crate::limits::BUSY_REFUSALS_BEFORE_WAIT;
use crate::limits::FRESH_REPORT_MAX_AGE_US;
use crate::limits::HEDGE_DELAY_FACTOR;
use crate::limits::HEDGE_DELAY_MIN_US;
use crate::limits::REFUSAL_TARGET_US;
use crate::limits::REMOTE_ROUND_TRIP_US;
use crate::limits::START_WITHIN_BASE_US;
use crate::open_read::OpenRead;
use crate::open_sub_request::Parent;
use crate::query_leg::LegState;
use crate::routing_table::Pick;
use crate::routing_table::Route;
use crate::sub_request_cost::SubRequestCost;
use crate::timers::Timer;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::Operation;
use wigeonhall_types::RefusalReason;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::ServiceKey;

impl Coordinator {
    /// Charges a sub-request of a leg and sends it. Returns `false` and sends nothing if the
    /// charge fails.
    pub(crate) fn charge_and_send(
        &mut self,
        now_us: u64,
        read: &mut OpenRead,
        leg_index: usize,
        route: Route,
        actions: &mut Vec<QueryAction>,
    ) -> bool {
        let leg = &mut read.legs[leg_index];
        let charged = self.charge_sub_request(
            leg.service,
            leg.next_sub_request_cost,
            &mut leg.free_retries,
        );
        if charged {
            self.send_sub_request(now_us, read, leg_index, route, actions);
        }
        charged
    }

    /// Sends the first sub-request of a leg. It is not charged to the budget of the service, but
    /// adds credit to it.
    pub(crate) fn start_leg(
        &mut self,
        now_us: u64,
        read: &mut OpenRead,
        leg_index: usize,
        route: Route,
        actions: &mut Vec<QueryAction>,
    ) {
        read.legs[leg_index].next_sub_request_cost = SubRequestCost::First;
        self.charge_and_send(now_us, read, leg_index, route, actions);
    }

    /// Sends a sub-request of a leg and sets the timer after which it is hedged.
    pub(crate) fn send_sub_request(
        &mut self,
        now_us: u64,
        read: &mut OpenRead,
        leg_index: usize,
        route: Route,
        actions: &mut Vec<QueryAction>,
    ) {
        let Some(version) = read.pinned_version else {
            return;
        };
        let id = read.query.id;
        let start_within_us = self.start_within_us(now_us, read, leg_index, route);
        let leg = &mut read.legs[leg_index];
        let range = leg.enclosing_range();
        let outgoing = OutgoingSubRequest {
            class: read.query.class,
            deadline_us: read.query.deadline_us,
            operation: Operation::Read { range },
            parent: Parent::Read { id, leg: leg_index },
            route,
            service: leg.service,
            start_within_us,
            version,
        };
        let sequence = self.send(now_us, outgoing, actions);
        leg.open_sequences.push(sequence);
        leg.sub_requests_sent += 1;
        leg.state = LegState::Open;
        leg.tried.push(route.replica);
        let delay_us = self.hedge_delay_us(leg.service, route);
        self.set_leg_timer(read, leg_index, now_us + delay_us);
    }

    /// Returns the longest wait for a slot at `route`; `None` means no limit.
    ///
    /// A hedge accepts only a slot that is free within `START_WITHIN_BASE_US`, but waits without
    /// limit after `BUSY_REFUSALS_BEFORE_WAIT` refused hedges, because the first sub-request may
    /// never get a reply. Any other sub-request accepts in addition the time by which `route` is
    /// expected to reply earlier than the next best replica; it waits without limit if there is no
    /// other replica, or after enough refusals.
    fn start_within_us(
        &self,
        now_us: u64,
        read: &OpenRead,
        leg_index: usize,
        route: Route,
    ) -> Option<u64> {
        let leg = &read.legs[leg_index];
        if !leg.open_sequences.is_empty() {
            return (leg.busy_hedges < BUSY_REFUSALS_BEFORE_WAIT).then_some(START_WITHIN_BASE_US);
        }
        let at_limit = leg.busy_refusals > 0 && leg.retry_after_us > self.at_limit_wait_us(read);
        if at_limit
            || leg.busy_refusals >= BUSY_REFUSALS_BEFORE_WAIT
            || leg.last_busy_replica == Some(route.replica)
        {
            return None;
        }
        let mut tried = leg.tried.clone();
        tried.push(route.replica);
        let other = self.routing.pick_replica(
            now_us,
            leg.service,
            read.pinned_version?,
            &leg.unread,
            &tried,
        );
        let Pick::Route(other) = other else {
            return None;
        };
        let lead_us = other.expected_us.saturating_sub(route.expected_us);
        Some(START_WITHIN_BASE_US + lead_us)
    }

    /// Returns the wait for a slot above which a replica counts as at its limit.
    fn at_limit_wait_us(&self, read: &OpenRead) -> u64 {
        let class = self.routing.classes.get(&read.query.class);
        class.map_or(u64::MAX, |it| it.longest_wait_us / 100 * AT_LIMIT_PERCENT)
    }

    /// Returns the replica for a retry of a leg that failed for `reason`.
    ///
    /// If the refusal of that retry would come too late for the caller, the retry goes only to
    /// a replica whose recent report shows that it is likely to accept. Returns `None` if
    /// there is no such replica.
    pub(crate) fn pick_retry_replica(
        &self,
        now_us: u64,
        read: &OpenRead,
        leg_index: usize,
        version: IndexVersion,
        reason: AbsentReason,
    ) -> Option<Pick> {
        let leg = &read.legs[leg_index];
        let pick = |tried: &[ReplicaKey]| {
            self.routing
                .pick_replica(now_us, leg.service, version, &leg.unread, tried)
        };
        let at_limit_wait_us = self.at_limit_wait_us(read);
        let at_limit = match reason {
            AbsentReason::Refused(RefusalReason::Busy) => leg.retry_after_us > at_limit_wait_us,
            AbsentReason::Refused(RefusalReason::Overloaded) => true,
            _ => false,
        };
        if !at_limit || now_us + REMOTE_ROUND_TRIP_US <= read.received_us + REFUSAL_TARGET_US {
            return Some(pick(&leg.tried));
        }
        if now_us > read.received_us + REFUSAL_TARGET_US {
            return None;
        }
        let mut tried = leg.tried.clone();
        loop {
            match pick(&tried) {
                Pick::Route(route)
                    if route.report_age_us > FRESH_REPORT_MAX_AGE_US
                        || route.wait_us > at_limit_wait_us =>
                {
                    tried.push(route.replica);
                }
                Pick::Route(route) => return Some(Pick::Route(route)),
                Pick::BackedOff { .. } | Pick::NoReplica => return None,
            }
        }
    }

    /// Returns the time after sending at which a sub-request to `service` is overdue and may be
    /// hedged.
    pub(crate) fn hedge_delay_us(&self, service: ServiceKey, route: Route) -> u64 {
        let observed = self.routing.services[service.index()].latency.delay_us();
        let delay_us = observed.unwrap_or(route.expected_us * HEDGE_DELAY_FACTOR);
        delay_us.max(route.expected_us).max(HEDGE_DELAY_MIN_US)
    }

    /// Sets the timer of a leg, replacing the previous one.
    pub(crate) fn set_leg_timer(&mut self, read: &mut OpenRead, leg_index: usize, at_us: u64) {
        let timer_id = self.next_timer_id();
        read.legs[leg_index].timer_id = timer_id;
        if at_us < read.query.deadline_us {
            let id = read.query.id;
            let leg = leg_index as u32;
            self.timers.set(at_us, Timer::Leg { id, leg, timer_id });
        }
    }

    /// Makes a leg without sub-requests in flight wait until `until_us`, the end of a backoff.
    pub(crate) fn wait_leg(
        &mut self,
        read: &mut OpenRead,
        leg_index: usize,
        until_us: u64,
        reason: AbsentReason,
    ) {
        self.counters.waits_backed_off += 1;
        read.legs[leg_index].waits += 1;
        read.legs[leg_index].state = LegState::Waiting(reason);
        self.set_leg_timer(read, leg_index, until_us);
    }
}
