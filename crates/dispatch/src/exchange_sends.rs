use crate::DeadReason;
use crate::Exchange;
use crate::ExtraReason;
use crate::LegState;
use crate::Pool;
use crate::ReplicaKey;
use crate::Reply;
use crate::RouteKind;
use crate::Send;
use crate::leg::Attempt;
use crate::leg::Leg;

/// Part of the legs of a gather that is many to be late at once.
const MANY_LATE_DIVISOR: usize = 4;

/// Late legs that are never many.
const MANY_LATE_MIN: usize = 2;

/// Sends of one leg, whatever they came to.
const SENDS_MAX: usize = 4;

/// What is sent, where, and when it is sent again.
impl Exchange {
    pub(crate) fn send(
        &mut self,
        pool: &mut Pool,
        now_us: u64,
        index: usize,
        replica: ReplicaKey,
        sends: &mut Vec<Send>,
    ) {
        let may_repeat = self.may_repeat();
        let leg = &mut self.legs[index];
        let attempt = leg.attempts.len();
        leg.attempts.push(Attempt {
            replica,
            reply: None,
            sent_us: now_us,
        });
        let may_hedge = may_repeat && leg.runs() < self.max_runs;
        leg.hedge_at_us = may_hedge.then_some(now_us + self.hedge_delay_us);
        pool.started(now_us, replica);
        sends.push(Send {
            attempt,
            leg: index,
            replica,
        });
    }

    /// Tries a suspended replica for a leg of a gather that has no other one. The answer is
    /// not counted on, and waited for no longer than a hedge would be sent.
    pub(crate) fn try_last_resort(
        &mut self,
        pool: &mut Pool,
        now_us: u64,
        index: usize,
        sends: &mut Vec<Send>,
    ) {
        let leg = &self.legs[index];
        let allowed = self.min_parts.is_some() && leg.may_leave_fallback(self.max_runs);
        let suspended = pool.last_resort(now_us, leg.service);
        if let Some(replica) = suspended.filter(|_| allowed) {
            self.legs[index].doubtful_until_us = Some(now_us + self.hedge_delay_us);
            self.send(pool, now_us, index, replica, sends);
        } else {
            self.legs[index].state = LegState::Dead(DeadReason::NoReplica);
        }
    }

    /// The replica for the next send of a leg.
    pub(crate) fn choose(&self, pool: &mut Pool, now_us: u64, index: usize) -> Option<ReplicaKey> {
        let leg = &self.legs[index];
        let tried = leg.tried();
        if leg.may_leave_fallback(self.max_runs) {
            return pool.choose(now_us, leg.service, &tried);
        }
        let fallback = leg.fallback.filter(|key| !tried.contains(key))?;
        pool.is_usable(now_us, fallback).then_some(fallback)
    }

    /// Sends once more, if the route, the budget and the replicas allow it.
    pub(crate) fn extra(
        &mut self,
        pool: &mut Pool,
        now_us: u64,
        index: usize,
        reason: ExtraReason,
        sends: &mut Vec<Send>,
    ) -> bool {
        let leg = &self.legs[index];
        let allowed = leg.is_open()
            && leg.attempts.len() < SENDS_MAX
            && leg.runs() < self.max_runs
            && now_us < self.deadline_us;
        if !allowed {
            return false;
        }
        let service = leg.service;
        let Some(replica) = self.choose(pool, now_us, index) else {
            return false;
        };
        if !pool.take_extra(now_us, service, reason) {
            return false;
        }
        self.extra_sends += 1;
        self.legs[index].doubtful_until_us = None;
        self.send(pool, now_us, index, replica, sends);
        true
    }

    pub(crate) fn after_failure(
        &mut self,
        pool: &mut Pool,
        now_us: u64,
        index: usize,
        reply: Reply,
        sends: &mut Vec<Send>,
    ) {
        let repeatable = match reply {
            // The request itself is at fault; another replica would say the same.
            Reply::Failed { status } => self.may_repeat() && status >= 500,
            Reply::NotRun(_) => true,
            Reply::Unknown(_) => self.may_repeat(),
            Reply::Success => false,
        };
        if repeatable && self.extra(pool, now_us, index, ExtraReason::Retry, sends) {
            return;
        }
        if !self.legs[index].in_flight() {
            self.legs[index].state = LegState::Dead(DeadReason::LastReply(reply));
        }
    }

    pub(crate) fn may_repeat(&self) -> bool {
        self.route.spec.kind == RouteKind::Idempotent
    }

    /// Hedges the legs that are late.
    ///
    /// When many are late at once, the node or the network is, and hedges would add to
    /// it; they are put off once.
    pub(crate) fn hedge(&mut self, pool: &mut Pool, now_us: u64, sends: &mut Vec<Send>) {
        let due = |leg: &Leg| leg.is_open() && leg.hedge_at_us.is_some_and(|at| at <= now_us);
        let late: Vec<usize> = (0..self.legs.len())
            .filter(|index| due(&self.legs[*index]))
            .collect();
        let many = (self.legs.len() / MANY_LATE_DIVISOR).max(MANY_LATE_MIN);
        let put_off = late.len() > many && !self.hedges_put_off;
        self.hedges_put_off |= put_off;
        for index in late {
            if put_off {
                self.legs[index].hedge_at_us = Some(now_us + self.hedge_delay_us);
            } else {
                self.legs[index].hedge_at_us = None;
                self.extra(pool, now_us, index, ExtraReason::Hedge, sends);
            }
        }
    }
}
