use crate::ChoiceContext;
use crate::DeadReason;
use crate::Exchange;
use crate::ExtraReason;
use crate::LegState;
use crate::Pool;
use crate::ReplicaKey;
use crate::Reply;
use crate::RouteKind;
use crate::SubRequest;
use crate::leg::Attempt;
use crate::leg::Leg;
use crate::locality;

/// Hedges, second sub-requests for legs that are late, are postponed if more than one leg in this
/// many is late at once.
const LATE_LEGS_DIVISOR: usize = 4;

/// Number of late legs up to which hedges are never postponed.
const LATE_LEGS_MIN: usize = 2;

/// Legs of a gather that are hedged at once while no leg has a part and many are late: the request
/// itself may be the cause, and what it does to a replica it would do to another one of each shard.
const PROBING_HEDGES: usize = 1;

/// Maximum number of sub-requests for one leg, whatever their results.
const SUB_REQUESTS_PER_LEG_MAX: usize = 4;

/// Decides which sub-requests are sent, to which replicas, and when they are retried or hedged.
impl Exchange {
    /// Sends a leg to a replica and schedules its hedge.
    pub(crate) fn send(
        &mut self,
        pool: &mut Pool,
        now_us: u64,
        leg_index: usize,
        replica: ReplicaKey,
        sub_requests: &mut Vec<SubRequest>,
    ) {
        let may_repeat = self.may_repeat();
        let leg = &mut self.legs[leg_index];
        let attempt = leg.attempts.len();
        leg.attempts.push(Attempt {
            replica,
            replied_us: 0,
            reply: None,
            sent_us: now_us,
        });
        let may_hedge = pool.policy().hedging && may_repeat && leg.runs() < self.max_runs;
        leg.hedge_at_us = may_hedge.then_some(now_us + self.hedge_delay_us);
        pool.request_started(now_us, replica);
        sub_requests.push(SubRequest {
            attempt,
            leg: leg_index,
            replica,
        });
    }

    /// Sends a leg of a gather to a suspended replica if no other replica is available.
    ///
    /// The leg does not count as one that can still succeed, and the gather waits for its part
    /// no longer than the hedge delay.
    pub(crate) fn try_last_resort(
        &mut self,
        pool: &mut Pool,
        now_us: u64,
        leg_index: usize,
        sub_requests: &mut Vec<SubRequest>,
    ) {
        let leg = &self.legs[leg_index];
        let allowed = pool.policy().last_resort
            && self.min_parts.is_some()
            && leg.may_choose_any_replica(self.max_runs);
        let suspended_replica = pool.last_resort(now_us, leg.service);
        if let Some(replica) = suspended_replica.filter(|_| allowed) {
            self.legs[leg_index].last_resort_until_us = Some(now_us + self.hedge_delay_us);
            self.send(pool, now_us, leg_index, replica, sub_requests);
        } else {
            self.legs[leg_index].state = LegState::Dead(DeadReason::NoReplica);
        }
    }

    /// Chooses the replica for the next sub-request of a leg; only its fallback replica (the one
    /// that another node uses if it takes the leg back), once other replicas may have run the leg
    /// as often as allowed.
    pub(crate) fn choose(
        &self,
        pool: &mut Pool,
        now_us: u64,
        leg_index: usize,
    ) -> Option<ReplicaKey> {
        let leg = &self.legs[leg_index];
        let tried = leg.tried();
        if leg.may_choose_any_replica(self.max_runs) {
            let context = ChoiceContext {
                left_us: Some(self.soft_deadline_us.saturating_sub(now_us)),
                profile: self.profile,
            };
            return pool.choose_in_context(now_us, leg.service, &tried, context);
        }
        let fallback = leg.fallback.filter(|key| !tried.contains(key))?;
        pool.is_usable(now_us, fallback).then_some(fallback)
    }

    /// Sends a hedge or retry if the route, the budget and the replicas allow it; returns
    /// whether it did.
    pub(crate) fn send_extra(
        &mut self,
        pool: &mut Pool,
        now_us: u64,
        leg_index: usize,
        reason: ExtraReason,
        sub_requests: &mut Vec<SubRequest>,
    ) -> bool {
        let leg = &self.legs[leg_index];
        let allowed = leg.is_open()
            && leg.attempts.len() < SUB_REQUESTS_PER_LEG_MAX
            && leg.runs() < self.max_runs
            && !self.crashes_replicas()
            && now_us < self.deadline_us;
        if !allowed {
            return false;
        }
        let service = leg.service;
        let Some(replica) = self.choose(pool, now_us, leg_index) else {
            return false;
        };
        if reason == ExtraReason::Hedge && !pool.has_room_for_hedge(now_us, replica, self.profile) {
            return false;
        }
        if reason == ExtraReason::Hedge
            && let Some(at_us) = self.later_hedge_us(pool, now_us, replica)
        {
            self.legs[leg_index].hedge_at_us = Some(at_us);
            return false;
        }
        if reason == ExtraReason::Hedge && !pool.allows_hedges(self.route.legs_key) {
            return false;
        }
        if !pool.try_charge_extra(now_us, service, reason) {
            return false;
        }
        self.extra_sends += 1;
        self.legs[leg_index].last_resort_until_us = None;
        self.send(pool, now_us, leg_index, replica, sub_requests);
        true
    }

    /// Returns when a hedge is sent whose replica is in another data centre; `None` if it is due.
    fn later_hedge_us(&self, pool: &Pool, now_us: u64, replica: ReplicaKey) -> Option<u64> {
        let wanted = pool.policy().later_remote_hedges;
        let extra_us = pool.distance_us(replica).filter(|_| wanted)?;
        let lead_us = locality::remote_hedge_lead_us(self.profile, extra_us);
        let at_us = self.soft_deadline_us.saturating_sub(lead_us);
        (now_us < at_us).then_some(at_us)
    }

    /// Returns whether a replica may have run the request.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.legs.iter().any(|leg| leg.runs() > 0)
    }

    /// Retries a failed sub-request if possible; otherwise the leg is dead once nothing is in
    /// flight.
    pub(crate) fn handle_failure(
        &mut self,
        pool: &mut Pool,
        now_us: u64,
        leg_index: usize,
        reply: Reply,
        sub_requests: &mut Vec<SubRequest>,
    ) {
        let may_retry = match reply {
            // A status below 500 is caused by the request itself; another replica would
            // return it too.
            Reply::Failed { status } => self.may_repeat() && status >= 500,
            Reply::NotRun(_) => true,
            Reply::Unknown(_) => self.may_repeat(),
            Reply::Success => false,
        };
        if may_retry && self.send_extra(pool, now_us, leg_index, ExtraReason::Retry, sub_requests) {
            return;
        }
        if !self.legs[leg_index].in_flight() {
            self.legs[leg_index].state = LegState::Dead(DeadReason::LastReply(reply));
        }
    }

    /// Whether the route allows a request to run more than once.
    pub(crate) fn may_repeat(&self) -> bool {
        self.route.spec.kind == RouteKind::Idempotent
    }

    /// Hedges the legs that are late.
    ///
    /// If many legs are late at once, the cause is probably the node or the network, and
    /// hedges would add to the load; they are postponed once, and all but a few a second time if no
    /// part has arrived by then.
    pub(crate) fn hedge_late_legs(
        &mut self,
        pool: &mut Pool,
        now_us: u64,
        sub_requests: &mut Vec<SubRequest>,
    ) {
        let due = |leg: &Leg| leg.is_open() && leg.hedge_at_us.is_some_and(|at| at <= now_us);
        let late: Vec<usize> = (0..self.legs.len())
            .filter(|leg_index| due(&self.legs[*leg_index]))
            .collect();
        let late_legs_max = (self.legs.len() / LATE_LEGS_DIVISOR).max(LATE_LEGS_MIN);
        let many_late = pool.policy().postponement && late.len() > late_legs_max;
        let hedges_max = match self.hedge_postponements {
            0 if many_late => 0,
            1 if many_late && self.done_legs() == 0 => PROBING_HEDGES,
            _ => usize::MAX,
        };
        self.hedge_postponements += u32::from(hedges_max < late.len());
        for (number, leg_index) in late.into_iter().enumerate() {
            if number >= hedges_max {
                self.legs[leg_index].hedge_at_us = Some(now_us + self.hedge_delay_us);
            } else {
                self.legs[leg_index].hedge_at_us = None;
                self.send_extra(pool, now_us, leg_index, ExtraReason::Hedge, sub_requests);
            }
        }
    }
}
