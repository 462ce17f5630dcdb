use std::rc::Rc;

use crate::Arrival;
use crate::DeadReason;
use crate::LegState;
use crate::Outcome;
use crate::Pool;
use crate::ReplicaKey;
use crate::Reply;
use crate::Route;
use crate::RouteProfile;
use crate::TenantClaim;
use crate::UnknownCause;
use crate::leg::Leg;

/// Divisor of the target latency that gives the shortest time for which a gather waits for
/// its parts.
const MIN_WAIT_DIVISOR: u64 = 3;

/// The state of one caller's request, from its arrival to its answer.
///
/// The request consists of legs, one for each service that it is sent to; the response of a
/// replica to a leg of a gather is a part of the answer.
///
/// Takes replies and times as input, and decides which sub-requests to send and how to answer.
#[derive(Debug)]
pub struct Exchange {
    /// Whether this node answers the caller; false for legs that another node assigned to it.
    pub(crate) answers_caller: bool,
    /// Claim to capacity; `None` where the configuration names no tenants.
    pub(crate) claim: Option<TenantClaim>,
    /// Number of replicas that crashed under the request.
    pub(crate) crashes: usize,
    /// The caller's deadline or the end of the route's timeout, whichever is earlier.
    pub(crate) deadline_us: u64,
    /// Delay after which a sub-request without a response is hedged.
    pub(crate) hedge_delay_us: u64,
    /// Number of times that hedges were postponed because too many legs were late at once.
    pub(crate) hedge_postponements: u32,
    pub(crate) legs: Vec<Leg>,
    /// Maximum number of replicas that may run one leg, each in one sub-request.
    pub(crate) max_runs: u32,
    /// Minimum number of parts in a success; `None` if the request is not a gather, so that the
    /// response of one replica is forwarded.
    pub(crate) min_parts: Option<usize>,
    /// Number of hedges and retries sent so far.
    pub(crate) extra_sends: u32,
    /// Whether the load of its shards was observed, which happens once.
    pub(crate) observed: bool,
    /// Latency of a part above which its replica queued the request; `None` if it is unknown.
    pub(crate) queueing_us: Option<u64>,
    /// Typical responses of the replicas on the route.
    pub(crate) profile: RouteProfile,
    pub(crate) route: Rc<Route>,
    /// Time from which the request is answered as soon as it has `min_parts`.
    pub(crate) soft_deadline_us: u64,
}

/// One request sent to one replica for a leg: the first attempt, a hedge or a retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SubRequest {
    /// Index of the attempt within the leg.
    pub attempt: usize,
    /// Index of the leg.
    pub leg: usize,
    /// Replica that the request is sent to.
    pub replica: ReplicaKey,
}

impl Exchange {
    /// Creates the state of a request that is given up at `deadline_us`.
    #[must_use]
    pub fn new(arrival: Arrival, deadline_us: u64, hedge_delay_us: u64, route: Rc<Route>) -> Self {
        let selection = route.select();
        let target_us = route.spec.target_latency_ms.saturating_mul(1_000);
        let min_wait_us = target_us / MIN_WAIT_DIVISOR;
        Self {
            answers_caller: true,
            claim: None,
            crashes: 0,
            deadline_us,
            extra_sends: 0,
            hedge_delay_us,
            hedge_postponements: 0,
            legs: selection.services.into_iter().map(Leg::new).collect(),
            max_runs: route.spec.max_attempts,
            min_parts: selection.min_parts,
            observed: false,
            queueing_us: None,
            profile: RouteProfile::default(),
            route,
            soft_deadline_us: arrival.arrived_us.saturating_add(
                target_us
                    .saturating_sub(arrival.margin_us())
                    .max(min_wait_us),
            ),
        }
    }

    /// Creates the state of those legs of a shared gather, one whose legs are divided among nodes,
    /// that are assigned to this node.
    ///
    /// The gather ends when all of these legs have ended, or at `soft_deadline_us` with the parts
    /// received by then. At most `max_runs` replicas may run one leg.
    #[must_use]
    pub fn for_legs(
        route: Rc<Route>,
        legs: &[usize],
        max_runs: u32,
        soft_deadline_us: u64,
        deadline_us: u64,
        hedge_delay_us: u64,
    ) -> Self {
        let services = route.select().services;
        let legs = legs.iter().filter_map(|index| services.get(*index));
        Self {
            answers_caller: false,
            claim: None,
            crashes: 0,
            deadline_us,
            extra_sends: 0,
            hedge_delay_us,
            hedge_postponements: 0,
            legs: legs.copied().map(Leg::new).collect(),
            max_runs,
            min_parts: Some(0),
            observed: false,
            queueing_us: None,
            profile: RouteProfile::default(),
            route,
            soft_deadline_us,
        }
    }

    /// Sets the latency above which a replica queued a request; without it, the queues of the
    /// replicas are not observed.
    #[must_use]
    pub const fn with_queueing_latency(mut self, queueing_us: Option<u64>) -> Self {
        self.queueing_us = queueing_us;
        self
    }

    /// Sets the typical responses on the route; without them, the choice between data centres does
    /// not follow the time that is left.
    #[must_use]
    pub const fn with_profile(mut self, profile: RouteProfile) -> Self {
        self.profile = profile;
        self
    }

    /// Sets the claim to capacity; `None` where the configuration names no tenants.
    #[must_use]
    pub fn with_claim(mut self, claim: Option<TenantClaim>) -> Self {
        self.claim = claim;
        self
    }

    /// Sets the fallback replica of each leg, which another node uses if it takes the leg back.
    ///
    /// The fallback counts toward the replicas that may run the leg, so that both nodes
    /// together do not exceed the limit.
    #[must_use]
    pub fn with_fallbacks(mut self, fallbacks: &[Option<ReplicaKey>]) -> Self {
        for (leg, fallback) in self.legs.iter_mut().zip(fallbacks) {
            leg.fallback = *fallback;
        }
        self
    }

    /// Limits the number of replicas that may run each leg.
    pub fn limit_runs(&mut self, max_runs: u32) {
        self.max_runs = self.max_runs.min(max_runs);
    }

    /// Moves the deadline of the request to `deadline_us` if it is later.
    pub fn limit_deadline(&mut self, deadline_us: u64) {
        self.deadline_us = self.deadline_us.min(deadline_us);
    }

    /// Raises the minimum number of parts to one more than have been received; returns false
    /// if no further part can be received.
    pub fn require_one_more_part(&mut self) -> bool {
        self.min_parts = Some(self.done_legs() + 1);
        !self.cannot_succeed()
    }

    /// Refuses a request if its deadline has passed, or if too few of its services have a
    /// replica in service; the result does not depend on which node sends the legs.
    pub fn refuse_unservable(&mut self, pool: &Pool, now_us: u64) -> Option<Outcome> {
        if now_us >= self.deadline_us {
            return Some(self.refuse(pool, now_us, self.refusal_reason(true)));
        }
        for leg in &mut self.legs {
            if !pool.has_replica_in_service(now_us, leg.service) {
                leg.state = LegState::Dead(DeadReason::NoReplica);
            }
        }
        self.cannot_succeed()
            .then(|| self.refuse(pool, now_us, self.refusal_reason(false)))
    }

    /// Sends the first request of each leg.
    pub fn start(
        &mut self,
        pool: &mut Pool,
        now_us: u64,
        sub_requests: &mut Vec<SubRequest>,
    ) -> Option<Outcome> {
        if now_us >= self.deadline_us {
            // The request waited in the node's queue until after its deadline.
            return Some(self.refuse(pool, now_us, self.refusal_reason(true)));
        }
        if let Some(refusal) = self.refuse_overload(pool, now_us) {
            return Some(refusal);
        }
        let replicas = self.choose_first(pool, now_us);
        let available = replicas.iter().flatten().count();
        if available < self.min_parts.unwrap_or(1) && pool.policy().early_refusal {
            return Some(self.refuse_unavailable(pool, now_us, &replicas));
        }
        for (index, replica) in replicas.into_iter().enumerate() {
            match replica {
                Some(replica) => self.send(pool, now_us, index, replica, sub_requests),
                None => self.try_last_resort(pool, now_us, index, sub_requests),
            }
        }
        self.outcome(pool, now_us)
    }

    /// Chooses the replica for the first request of each leg; nothing counts as sent yet.
    fn choose_first(&self, pool: &mut Pool, now_us: u64) -> Vec<Option<ReplicaKey>> {
        let mut replicas = Vec::with_capacity(self.legs.len());
        for (index, leg) in self.legs.iter().enumerate() {
            pool.earn(leg.service);
            replicas.push(self.choose(pool, now_us, index));
        }
        replicas
    }

    /// Refuses a request of which too few legs have an available replica.
    fn refuse_unavailable(
        &mut self,
        pool: &Pool,
        now_us: u64,
        replicas: &[Option<ReplicaKey>],
    ) -> Outcome {
        for (leg, replica) in self.legs.iter_mut().zip(replicas) {
            if replica.is_none() {
                leg.state = LegState::Dead(DeadReason::NoReplica);
            }
        }
        self.refuse(pool, now_us, self.refusal_reason(false))
    }

    /// Handles the reply to a sub-request.
    pub fn reply(
        &mut self,
        pool: &mut Pool,
        now_us: u64,
        sub_request: SubRequest,
        reply: Reply,
        sub_requests: &mut Vec<SubRequest>,
    ) -> Option<Outcome> {
        let attempt = &mut self.legs[sub_request.leg].attempts[sub_request.attempt];
        attempt.replied_us = now_us;
        attempt.reply = Some(reply);
        if reply == Reply::Unknown(UnknownCause::Crashed) {
            self.crashes += 1;
        }
        if self.legs[sub_request.leg].is_open() {
            if reply == Reply::Success {
                self.legs[sub_request.leg].state = LegState::Done(sub_request.attempt);
            } else {
                self.handle_failure(pool, now_us, sub_request.leg, reply, sub_requests);
            }
        }
        self.observe_gather(pool, now_us);
        self.outcome(pool, now_us)
    }

    /// Sends the hedges that are due; returns an outcome if the deadline has passed.
    pub fn timer(
        &mut self,
        pool: &mut Pool,
        now_us: u64,
        sub_requests: &mut Vec<SubRequest>,
    ) -> Option<Outcome> {
        if now_us >= self.deadline_us {
            return Some(self.give_up(pool, now_us, true));
        }
        self.hedge_late_legs(pool, now_us, sub_requests);
        self.observe_gather(pool, now_us);
        self.outcome(pool, now_us)
    }

    /// Returns the next time at which [`Exchange::timer`] must be called.
    #[must_use]
    pub fn next_timer_us(&self, now_us: u64) -> u64 {
        let hedge_us = self
            .legs
            .iter()
            .filter(|leg| leg.is_open())
            .filter_map(|leg| leg.hedge_at_us)
            .min();
        let last_resort_us = self
            .legs
            .iter()
            .filter(|leg| leg.is_awaited(now_us))
            .filter_map(|leg| leg.last_resort_until_us)
            .min();
        let soft_deadline_us = (self.min_parts.is_some() && now_us < self.soft_deadline_us)
            .then_some(self.soft_deadline_us);
        [
            hedge_us,
            last_resort_us,
            soft_deadline_us,
            Some(self.deadline_us),
        ]
        .into_iter()
        .flatten()
        .min()
        .unwrap_or(self.deadline_us)
    }

    /// Returns the time from which a gather is answered with the parts received so far.
    #[must_use]
    pub const fn soft_deadline_us(&self) -> u64 {
        self.soft_deadline_us
    }

    /// Returns the deadline of the whole request.
    #[must_use]
    pub const fn deadline_us(&self) -> u64 {
        self.deadline_us
    }

    /// Returns the number of hedges and retries sent so far.
    #[must_use]
    pub const fn extra_sends(&self) -> u32 {
        self.extra_sends
    }

    /// Returns the state of each leg, in the order of the route's services.
    pub fn legs(&self) -> impl Iterator<Item = LegState> + '_ {
        self.legs.iter().map(|leg| leg.state)
    }

    /// Returns whether a leg may still receive a part.
    #[must_use]
    pub fn is_open(&self, leg: usize) -> bool {
        self.legs[leg].is_open()
    }

    /// Returns the replicas that a leg was sent to, in the order of its sub-requests.
    pub fn replicas(&self, leg: usize) -> impl Iterator<Item = ReplicaKey> + '_ {
        self.legs[leg]
            .attempts
            .iter()
            .map(|attempt| attempt.replica)
    }

    /// Returns the minimum number of parts in a successful gather.
    #[must_use]
    pub const fn min_parts(&self) -> Option<usize> {
        self.min_parts
    }

    /// Returns the service of a leg.
    #[must_use]
    pub fn service(&self, leg: usize) -> crate::ServiceKey {
        self.legs[leg].service
    }

    /// Returns the route of the request.
    #[must_use]
    pub const fn route(&self) -> &Rc<Route> {
        &self.route
    }

    /// Returns the time at which a sub-request was sent.
    #[must_use]
    pub fn sent_us(&self, sub_request: SubRequest) -> u64 {
        self.legs[sub_request.leg].attempts[sub_request.attempt].sent_us
    }
}
