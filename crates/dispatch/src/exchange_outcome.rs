use crate::DeadReason;
use crate::Exchange;
use crate::GiveUpReason;
use crate::LegState;
use crate::NotRunCause;
use crate::Outcome;
use crate::Pool;
use crate::RefuseReason;
use crate::Reply;
use crate::leg::Attempt;
use crate::leg::Leg;

/// How a request is answered, and when.
impl Exchange {
    pub(crate) fn done(&self) -> usize {
        let done = |leg: &&Leg| matches!(leg.state, LegState::Done(_));
        self.legs.iter().filter(done).count()
    }

    pub(crate) fn promising(&self) -> usize {
        self.legs.iter().filter(|leg| leg.is_promising()).count()
    }

    /// Whether so many legs are dead that no success can come of the rest.
    pub(crate) fn out_of_reach(&self) -> bool {
        self.done() + self.promising() < self.min_parts.unwrap_or(1)
    }

    pub(crate) fn outcome(&mut self, pool: &Pool, now_us: u64) -> Option<Outcome> {
        if self.out_of_reach() {
            return Some(self.give_up(pool, now_us, false));
        }
        let done = self.done();
        let Some(min_parts) = self.min_parts else {
            return match self.legs[0].state {
                LegState::Done(attempt) => Some(Outcome::Forward { attempt }),
                LegState::Dead(_) | LegState::Open => None,
            };
        };
        let awaited = self.legs.iter().any(|leg| leg.is_awaited(now_us));
        let in_time = !awaited || now_us >= self.soft_deadline_us;
        (done >= min_parts && in_time).then(|| Outcome::Gather {
            missing: self.legs.len() - done,
        })
    }

    /// The answer to a request that cannot succeed any more.
    pub(crate) fn give_up(&self, pool: &Pool, now_us: u64, deadline_passed: bool) -> Outcome {
        let may_have_run = self.legs.iter().any(|leg| leg.runs() > 0);
        if !may_have_run {
            let reason = self.refusal(deadline_passed);
            return self.refuse(pool, now_us, reason);
        }
        if self.min_parts.is_none()
            && let Some(attempt) = self.failed_attempt()
        {
            return Outcome::Forward { attempt };
        }
        Outcome::GiveUp(if deadline_passed {
            GiveUpReason::DeadlinePassed
        } else if self.min_parts.is_some() {
            GiveUpReason::TooFewParts
        } else {
            GiveUpReason::NoAnswer
        })
    }

    /// The attempt whose failure is passed on to the caller.
    fn failed_attempt(&self) -> Option<usize> {
        let failed = |attempt: &Attempt| matches!(attempt.reply, Some(Reply::Failed { .. }));
        self.legs[0].attempts.iter().rposition(failed)
    }

    pub(crate) fn refusal(&self, deadline_passed: bool) -> RefuseReason {
        if deadline_passed {
            return RefuseReason::DeadlinePassed;
        }
        let busy = |leg: &Leg| {
            leg.state == LegState::Dead(DeadReason::LastReply(Reply::NotRun(NotRunCause::Busy)))
        };
        if self.legs.iter().any(busy) {
            RefuseReason::Busy
        } else if self.min_parts.is_some() {
            RefuseReason::TooFewShards
        } else {
            RefuseReason::NoReplica
        }
    }

    pub(crate) fn refuse(&self, pool: &Pool, now_us: u64, reason: RefuseReason) -> Outcome {
        let retry_after_ms = self
            .legs
            .iter()
            .filter(|leg| matches!(leg.state, LegState::Dead(_)))
            .map(|leg| pool.retry_after_ms(now_us, leg.service))
            .max()
            .unwrap_or(0);
        Outcome::Refuse {
            reason,
            retry_after_ms,
        }
    }
}
