//! A leg is the share of a request that one shard service answers. Each leg is sent to one or
//! more replicas of the service, in one sub-request each: the first attempt, hedges and retries.
//! A gather is a request with a leg for each shard; its answer is merged from the parts, the
//! responses of the replicas.

use crate::NotRunCause;
use crate::ReplicaKey;
use crate::Reply;
use crate::ServiceKey;

/// State of one leg of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LegState {
    /// The leg has no part, and no further sub-request is possible.
    Dead(DeadReason),
    /// The sub-request with this index succeeded.
    Done(usize),
    /// The leg may still receive a part.
    Open,
}

/// Why a leg has no part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DeadReason {
    /// The last sub-request ended with this reply.
    LastReply(Reply),
    /// No replica is available.
    NoReplica,
}

/// A sub-request of a leg, with its reply.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) replica: ReplicaKey,
    /// Time of the reply, if there is one.
    pub(crate) replied_us: u64,
    pub(crate) reply: Option<Reply>,
    pub(crate) sent_us: u64,
}

/// A leg with all of its sub-requests.
#[derive(Debug)]
pub(crate) struct Leg {
    pub(crate) attempts: Vec<Attempt>,
    /// Time until which the gather waits for a suspended replica that the leg was sent to because
    /// no other was available; `None` unless all sub-requests of the leg went to suspended
    /// replicas.
    pub(crate) last_resort_until_us: Option<u64>,
    /// Fallback replica of a leg that another node assigned to this one: the replica that the
    /// other node uses if it takes the leg back. It counts toward the replicas that run the leg.
    /// `None` if the leg belongs to a request of this node, or if the other node had no replica
    /// to choose.
    pub(crate) fallback: Option<ReplicaKey>,
    /// Time of the next hedge; `None` if no hedge is scheduled.
    pub(crate) hedge_at_us: Option<u64>,
    pub(crate) service: ServiceKey,
    pub(crate) state: LegState,
}

impl Leg {
    pub(crate) const fn new(service: ServiceKey) -> Self {
        Self {
            attempts: Vec::new(),
            last_resort_until_us: None,
            fallback: None,
            hedge_at_us: None,
            service,
            state: LegState::Open,
        }
    }

    /// Number of sub-requests that a replica may have run or may still run.
    pub(crate) fn runs(&self) -> u32 {
        let runs = self
            .attempts
            .iter()
            .filter(|attempt| attempt.reply.is_none_or(Reply::may_have_run));
        runs.count() as u32
    }

    /// Whether the leg may be sent to a replica other than its fallback, given that
    /// `max_runs` replicas may run it on all nodes together.
    pub(crate) fn may_choose_any_replica(&self, max_runs: u32) -> bool {
        let Some(fallback) = self.fallback else {
            return true;
        };
        let elsewhere = self
            .attempts
            .iter()
            .filter(|attempt| attempt.replica != fallback)
            .filter(|attempt| attempt.reply.is_none_or(Reply::may_have_run));
        elsewhere.count() + 1 < max_runs as usize
    }

    pub(crate) fn in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.reply.is_none())
    }

    pub(crate) fn tried(&self) -> Vec<ReplicaKey> {
        self.attempts
            .iter()
            .map(|attempt| attempt.replica)
            .collect()
    }

    pub(crate) fn is_open(&self) -> bool {
        self.state == LegState::Open
    }

    /// Whether the leg is open and likely to receive a part: not all of its sub-requests went
    /// to suspended replicas.
    pub(crate) fn is_likely(&self) -> bool {
        self.is_open() && self.last_resort_until_us.is_none()
    }

    /// Whether the replicas of the leg queued it: its part took longer than `queueing_us`, or it
    /// waits longer already, or they had no room for it.
    pub(crate) fn was_queued(&self, now_us: u64, queueing_us: u64) -> bool {
        match self.state {
            LegState::Dead(DeadReason::LastReply(reply)) => {
                reply == Reply::NotRun(NotRunCause::Busy)
            }
            LegState::Dead(DeadReason::NoReplica) => false,
            LegState::Done(attempt) => {
                let attempt = &self.attempts[attempt];
                attempt.replied_us - attempt.sent_us > queueing_us
            }
            LegState::Open => {
                let first = self.attempts.first();
                first.is_some_and(|attempt| now_us - attempt.sent_us > queueing_us)
            }
        }
    }

    /// Whether the gather still waits for the part of this leg.
    pub(crate) fn is_awaited(&self, now_us: u64) -> bool {
        self.is_open()
            && self
                .last_resort_until_us
                .is_none_or(|until_us| now_us < until_us)
    }
}
