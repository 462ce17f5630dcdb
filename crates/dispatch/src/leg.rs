use crate::ReplicaKey;
use crate::Reply;
use crate::ServiceKey;

/// What is known of one leg of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LegState {
    /// No further send can bring an answer.
    Dead(DeadReason),
    /// The attempt with this index succeeded.
    Done(usize),
    /// An answer may still come.
    Open,
}

/// Why a leg has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DeadReason {
    /// The last send ended like this.
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

/// The sends of a request to one service.
#[derive(Debug)]
pub(crate) struct Leg {
    pub(crate) attempts: Vec<Attempt>,
    /// Time until which the answer of a suspended replica is waited for; `None` for a leg
    /// that was sent to a sound one.
    pub(crate) doubtful_until_us: Option<u64>,
    /// Replica that another node uses if it takes the leg back; it counts as one of those
    /// that run the leg.
    pub(crate) fallback: Option<ReplicaKey>,
    /// Time of the next hedge; `None` when there is none to come.
    pub(crate) hedge_at_us: Option<u64>,
    pub(crate) service: ServiceKey,
    pub(crate) state: LegState,
}

impl Leg {
    pub(crate) const fn new(service: ServiceKey) -> Self {
        Self {
            attempts: Vec::new(),
            doubtful_until_us: None,
            fallback: None,
            hedge_at_us: None,
            service,
            state: LegState::Open,
        }
    }

    /// Sends that may have run, or that still may.
    pub(crate) fn runs(&self) -> u32 {
        let runs = self
            .attempts
            .iter()
            .filter(|attempt| attempt.reply.is_none_or(Reply::may_have_run));
        runs.count() as u32
    }

    /// Whether a replica other than the fallback may be sent to, where `max_runs` replicas
    /// may run the leg on all nodes together.
    pub(crate) fn may_leave_fallback(&self, max_runs: u32) -> bool {
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

    /// Whether an answer is likely enough to count on it.
    pub(crate) fn is_promising(&self) -> bool {
        self.is_open() && self.doubtful_until_us.is_none()
    }

    /// Whether an answer of this leg is worth waiting for.
    pub(crate) fn is_awaited(&self, now_us: u64) -> bool {
        self.is_open()
            && self
                .doubtful_until_us
                .is_none_or(|until_us| now_us < until_us)
    }
}
