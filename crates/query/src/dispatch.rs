//! Sends, waits and timers of the parts of a read.

use crate::AbsentReason;
use crate::Coordinator;
use crate::QueryAction;
use crate::attempt::Parent;
use crate::coordinator::Sending;
use crate::limits::BUSY_TRIES;
use crate::limits::HEDGE_FACTOR;
use crate::limits::HEDGE_SHORTEST_US;
use crate::limits::START_WITHIN_US;
use crate::open_read::OpenRead;
use crate::part::PartState;
use crate::pay::Pay;
use crate::routes::Pick;
use crate::routes::Route;
use crate::timers::Timer;
use wigeonhall_types::Operation;
use wigeonhall_types::ServiceKey;

impl Coordinator {
    /// Pays for a sub-request of a part, if it can, and sends it.
    pub(crate) fn pay_and_send(
        &mut self,
        now_us: u64,
        read: &mut OpenRead,
        index: usize,
        route: Route,
        actions: &mut Vec<QueryAction>,
    ) -> bool {
        let part = &mut read.parts[index];
        let paid = self.pay(part.service, part.pay, &mut part.free_retries);
        if paid {
            self.dispatch_part(now_us, read, index, route, actions);
        }
        paid
    }

    pub(crate) fn send_part(
        &mut self,
        now_us: u64,
        read: &mut OpenRead,
        index: usize,
        route: Route,
        actions: &mut Vec<QueryAction>,
    ) {
        read.parts[index].pay = Pay::First;
        self.pay_and_send(now_us, read, index, route, actions);
    }

    /// Sends a sub-request of a part and sets the time of its hedge.
    pub(crate) fn dispatch_part(
        &mut self,
        now_us: u64,
        read: &mut OpenRead,
        index: usize,
        route: Route,
        actions: &mut Vec<QueryAction>,
    ) {
        let Some(version) = read.pin else {
            return;
        };
        let id = read.query.id;
        let start_within_us = self.start_within_us(now_us, read, index, route);
        let part = &mut read.parts[index];
        let range = part.hull();
        let sending = Sending {
            class: read.query.class,
            deadline_us: read.query.deadline_us,
            operation: Operation::Read { range },
            parent: Parent::Read { id, part: index },
            route,
            service: part.service,
            start_within_us,
            version,
        };
        let sequence = self.send(now_us, sending, actions);
        part.attempts.push(sequence);
        part.sends += 1;
        part.state = PartState::Open;
        part.tried.push(route.replica);
        let delay_us = self.hedge_delay_us(part.service, route);
        self.part_timer(read, index, now_us + delay_us);
    }

    /// Longest wait for a slot at `route`. A hedge takes only a slot that is free; a first
    /// try moves on while another replica may answer sooner.
    fn start_within_us(
        &self,
        now_us: u64,
        read: &OpenRead,
        index: usize,
        route: Route,
    ) -> Option<u64> {
        let part = &read.parts[index];
        if !part.attempts.is_empty() {
            // The first sub-request may never be answered, so the hedges do not stay
            // without a wait for ever.
            return (part.hedges_busy < BUSY_TRIES).then_some(START_WITHIN_US);
        }
        if part.busy >= BUSY_TRIES || part.busy_at == Some(route.replica) {
            return None;
        }
        let mut tried = part.tried.clone();
        tried.push(route.replica);
        let other = self
            .routes
            .pick(now_us, part.service, read.pin?, &part.gaps, &tried);
        let Pick::To(other) = other else {
            return None;
        };
        let lead_us = other.expected_us.saturating_sub(route.expected_us);
        Some(START_WITHIN_US + lead_us)
    }

    /// Time after which a sub-request of `service` is late.
    pub(crate) fn hedge_delay_us(&self, service: ServiceKey, route: Route) -> u64 {
        let observed = self.routes.services[service.index()].latency.delay_us();
        let delay_us = observed.unwrap_or(route.expected_us * HEDGE_FACTOR);
        delay_us.max(route.expected_us).max(HEDGE_SHORTEST_US)
    }

    /// Sets the timer of a part, in place of the one before.
    pub(crate) fn part_timer(&mut self, read: &mut OpenRead, index: usize, at_us: u64) {
        let stamp = self.stamp();
        read.parts[index].stamp = stamp;
        if at_us < read.query.deadline_us {
            let id = read.query.id;
            let part = index as u32;
            self.timers.set(at_us, Timer::Part { id, part, stamp });
        }
    }

    /// Lets a part without an open sub-request wait.
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
        self.part_timer(read, index, until_us);
    }
}
