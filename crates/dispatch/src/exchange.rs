use std::rc::Rc;

use crate::DeadReason;
use crate::LegState;
use crate::Outcome;
use crate::Pool;
use crate::ReplicaKey;
use crate::Reply;
use crate::Route;
use crate::leg::Leg;

/// Time kept free before the target latency for the ways of a caller: a new connection
/// and its first request take two round trips.
const CALLER_TRIPS_US: u64 = 12_000;

/// Least part of the target latency that a gather waits for its parts.
const SOFT_MIN_DIVISOR: u64 = 3;

/// One request, from its arrival to its final answer.
///
/// Takes replies and times, and says what to send and how to answer.
#[derive(Debug)]
pub struct Exchange {
    /// The caller's deadline or the route's timeout, whichever is first.
    pub(crate) deadline_us: u64,
    /// Time after which a send without an answer is hedged.
    pub(crate) hedge_delay_us: u64,
    /// Whether hedges were put off, as too many legs were late at once.
    pub(crate) hedges_put_off: bool,
    pub(crate) legs: Vec<Leg>,
    /// Replicas that may run one leg.
    pub(crate) max_runs: u32,
    /// Fewest parts in a success; `None` where one answer is passed on.
    pub(crate) min_parts: Option<usize>,
    /// Hedges and retries that were sent.
    pub(crate) extra_sends: u32,
    pub(crate) route: Rc<Route>,
    /// Time from which an answer goes out as soon as it has `min_parts`.
    pub(crate) soft_deadline_us: u64,
}

/// A request to send to a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Send {
    /// Index of the attempt within the leg.
    pub attempt: usize,
    /// Index of the leg.
    pub leg: usize,
    /// Where to send it.
    pub replica: ReplicaKey,
}

impl Exchange {
    /// A request that arrived at `arrived_us` and is given up at `deadline_us`.
    ///
    /// `answer_lag_us` is how long the node itself takes to answer once it is due.
    #[must_use]
    pub fn new(
        arrived_us: u64,
        deadline_us: u64,
        hedge_delay_us: u64,
        answer_lag_us: u64,
        route: Rc<Route>,
    ) -> Self {
        let selection = route.select();
        let target_us = route.spec.target_latency_ms.saturating_mul(1_000);
        let margin_us = CALLER_TRIPS_US + answer_lag_us;
        let soft_min_us = target_us / SOFT_MIN_DIVISOR;
        Self {
            deadline_us,
            extra_sends: 0,
            hedge_delay_us,
            hedges_put_off: false,
            legs: selection.services.into_iter().map(Leg::new).collect(),
            max_runs: route.spec.max_attempts,
            min_parts: selection.min_parts,
            route,
            soft_deadline_us: arrived_us
                .saturating_add(target_us.saturating_sub(margin_us).max(soft_min_us)),
        }
    }

    /// Some legs of a gather that several nodes share.
    ///
    /// It is over when all legs are, or at `soft_deadline_us` with what is in; at most `max_runs`
    /// replicas may run one leg.
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
            deadline_us,
            extra_sends: 0,
            hedge_delay_us,
            hedges_put_off: false,
            legs: legs.copied().map(Leg::new).collect(),
            max_runs,
            min_parts: Some(0),
            route,
            soft_deadline_us,
        }
    }

    /// Sets the replica of each leg that another node uses if it takes the leg back.
    ///
    /// It counts as one of those that may run the leg, so that no more than these run it
    /// on both nodes together.
    #[must_use]
    pub fn with_fallbacks(mut self, fallbacks: &[Option<ReplicaKey>]) -> Self {
        for (leg, fallback) in self.legs.iter_mut().zip(fallbacks) {
            leg.fallback = *fallback;
        }
        self
    }

    /// Waits for one more part than are in; false if none can come.
    pub fn require_one_more_part(&mut self) -> bool {
        self.min_parts = Some(self.done() + 1);
        !self.out_of_reach()
    }

    /// The refusal of a request that too few services can serve, whichever node sends it.
    pub fn refuse_unservable(&mut self, pool: &Pool, now_us: u64) -> Option<Outcome> {
        if now_us >= self.deadline_us {
            return Some(self.refuse(pool, now_us, self.refusal(true)));
        }
        for leg in &mut self.legs {
            if !pool.is_open(now_us, leg.service) {
                leg.state = LegState::Dead(DeadReason::NoReplica);
            }
        }
        self.out_of_reach()
            .then(|| self.refuse(pool, now_us, self.refusal(false)))
    }

    /// Sends the first request of each leg.
    pub fn start(
        &mut self,
        pool: &mut Pool,
        now_us: u64,
        sends: &mut Vec<Send>,
    ) -> Option<Outcome> {
        if now_us >= self.deadline_us {
            // It waited too long in a node that was busy.
            return Some(self.refuse(pool, now_us, self.refusal(true)));
        }
        for index in 0..self.legs.len() {
            pool.earn(self.legs[index].service);
            match self.choose(pool, now_us, index) {
                Some(replica) => self.send(pool, now_us, index, replica, sends),
                None => self.try_last_resort(pool, now_us, index, sends),
            }
        }
        if self.out_of_reach() {
            // Nothing was sent yet, so nothing runs.
            for send in sends.drain(..) {
                pool.abandoned(send.replica);
            }
            return Some(self.refuse(pool, now_us, self.refusal(false)));
        }
        self.outcome(pool, now_us)
    }

    /// Takes in what came of a send.
    pub fn reply(
        &mut self,
        pool: &mut Pool,
        now_us: u64,
        send: Send,
        reply: Reply,
        sends: &mut Vec<Send>,
    ) -> Option<Outcome> {
        self.legs[send.leg].attempts[send.attempt].reply = Some(reply);
        if self.legs[send.leg].is_open() {
            if reply == Reply::Success {
                self.legs[send.leg].state = LegState::Done(send.attempt);
            } else {
                self.after_failure(pool, now_us, send.leg, reply, sends);
            }
        }
        self.outcome(pool, now_us)
    }

    /// Sends hedges whose time has come; answers when the deadline has passed.
    pub fn timer(
        &mut self,
        pool: &mut Pool,
        now_us: u64,
        sends: &mut Vec<Send>,
    ) -> Option<Outcome> {
        if now_us >= self.deadline_us {
            return Some(self.give_up(pool, now_us, true));
        }
        self.hedge(pool, now_us, sends);
        self.outcome(pool, now_us)
    }

    /// Time at which [`Exchange::timer`] has something to do.
    #[must_use]
    pub fn next_timer_us(&self, now_us: u64) -> u64 {
        let hedge_us = self
            .legs
            .iter()
            .filter(|leg| leg.is_open())
            .filter_map(|leg| leg.hedge_at_us)
            .min();
        let doubtful_us = self
            .legs
            .iter()
            .filter(|leg| leg.is_awaited(now_us))
            .filter_map(|leg| leg.doubtful_until_us)
            .min();
        let soft_deadline_us = (self.min_parts.is_some() && now_us < self.soft_deadline_us)
            .then_some(self.soft_deadline_us);
        [
            hedge_us,
            doubtful_us,
            soft_deadline_us,
            Some(self.deadline_us),
        ]
        .into_iter()
        .flatten()
        .min()
        .unwrap_or(self.deadline_us)
    }

    /// Time from which a gather is answered with the parts that are in.
    #[must_use]
    pub const fn soft_deadline_us(&self) -> u64 {
        self.soft_deadline_us
    }

    /// Deadline of the whole request.
    #[must_use]
    pub const fn deadline_us(&self) -> u64 {
        self.deadline_us
    }

    /// Hedges and retries that were sent.
    #[must_use]
    pub const fn extra_sends(&self) -> u32 {
        self.extra_sends
    }

    /// State of each leg, in the order of the route's services.
    pub fn legs(&self) -> impl Iterator<Item = LegState> + '_ {
        self.legs.iter().map(|leg| leg.state)
    }

    /// Whether an answer of a leg may still come.
    #[must_use]
    pub fn is_open(&self, leg: usize) -> bool {
        self.legs[leg].is_open()
    }

    /// Replicas that a leg was sent to, in their order.
    pub fn replicas(&self, leg: usize) -> impl Iterator<Item = ReplicaKey> + '_ {
        self.legs[leg]
            .attempts
            .iter()
            .map(|attempt| attempt.replica)
    }

    /// Fewest parts in a success of a gather.
    #[must_use]
    pub const fn min_parts(&self) -> Option<usize> {
        self.min_parts
    }

    /// Service of a leg.
    #[must_use]
    pub fn service(&self, leg: usize) -> crate::ServiceKey {
        self.legs[leg].service
    }

    /// The route of the request.
    #[must_use]
    pub const fn route(&self) -> &Rc<Route> {
        &self.route
    }

    /// Time at which a send went out.
    #[must_use]
    pub fn sent_us(&self, send: Send) -> u64 {
        self.legs[send.leg].attempts[send.attempt].sent_us
    }
}
