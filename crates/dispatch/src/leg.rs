use crate::ReplicaKey;
use crate::Reply;
use crate::ServiceKey;

/// State of one leg of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LegState {
    /// The leg has no answer, and no further send is possible.
    Dead(DeadReason),
    /// The attempt with this index succeeded.
    Done(usize),
    /// The leg may still receive an answer.
    Open,
}

/// Why a leg has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DeadReason {
    /// The last send ended with this reply.
    LastReply(Reply),
    /// No replica is available.
    NoReplica,
}

/// One send of a leg.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) replica: ReplicaKey,
    pub(crate) reply: Option<Reply>,
    pub(crate) sent_us: u64,
}

/// The part of a request that goes to one service, with all of its sends.
#[derive(Debug)]
pub(crate) struct Leg {
    pub(crate) attempts: Vec<Attempt>,
    /// Time until which the gather waits for a suspended replica that the leg was sent to;
    /// `None` unless all sends of the leg went to suspended replicas.
    pub(crate) probe_until_us: Option<u64>,
    /// Replica that another node uses if it takes the leg back; it counts toward the replicas
    /// that run the leg.
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
            probe_until_us: None,
            fallback: None,
            hedge_at_us: None,
            service,
            state: LegState::Open,
        }
    }

    /// Number of sends that a replica may have run or may still run.
    pub(crate) fn runs(&self) -> u32 {
        let runs = self
            .attempts
            .iter()
            .filter(|attempt| attempt.reply.is_none_or(Reply::may_have_run));
        runs.count() as u32
    }

    /// Whether the leg may be sent to a replica other than the fallback, given that
    /// `max_runs` replicas may run it on all nodes together.
    pub(crate) fn may_use_non_fallback(&self, max_runs: u32) -> bool {
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

    /// Whether the leg is open and was not sent to a suspended replica, so that its answer is
    /// likely.
    pub(crate) fn is_likely(&self) -> bool {
        self.is_open() && self.probe_until_us.is_none()
    }

    /// Whether the gather still waits for an answer of this leg.
    pub(crate) fn is_awaited(&self, now_us: u64) -> bool {
        self.is_open() && self.probe_until_us.is_none_or(|until_us| now_us < until_us)
    }
}
