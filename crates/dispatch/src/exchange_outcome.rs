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

/// Retry-After time of a request that was refused for overload.
const OVERLOAD_RETRY_AFTER_MS: u64 = 300;

/// Divisor of the time that a caller has left; it is told to wait no longer than the quotient
/// because of earlier refusals.
const RETRY_LEFT_DIVISOR: u64 = 3;

/// Crashes of replicas under one request after which it is given up.
const CRASHES_MAX: usize = 2;

/// Decides when and how a request is answered.
impl Exchange {
    /// Returns whether so many replicas crashed under the request that it must not run on others:
    /// it is sent to no further one, and what is in flight is cancelled.
    #[must_use]
    pub const fn crashes_replicas(&self) -> bool {
        self.crashes >= CRASHES_MAX
    }

    /// Returns the number of legs, the request's shares for one service each, that succeeded.
    pub(crate) fn done_legs(&self) -> usize {
        let done = |leg: &&Leg| matches!(leg.state, LegState::Done(_));
        self.legs.iter().filter(done).count()
    }

    /// Returns the number of open legs that are likely to receive a part: not all of their
    /// sub-requests went to replicas that are suspended after failures.
    pub(crate) fn likely_legs(&self) -> usize {
        self.legs.iter().filter(|leg| leg.is_likely()).count()
    }

    /// Whether the legs that succeeded or are likely to are too few for the request to succeed.
    pub(crate) fn cannot_succeed(&self) -> bool {
        self.done_legs() + self.likely_legs() < self.min_parts.unwrap_or(1)
    }

    /// Refuses a gather that is not admitted because its shards are overloaded.
    pub fn refuse_overload(&self, pool: &mut Pool, now_us: u64) -> Option<Outcome> {
        if self.min_parts.is_none() || !self.answers_caller {
            return None;
        }
        let reason = pool.refuse_gather(now_us, &self.route, self.claim.as_ref())?;
        Some(Outcome::Refuse {
            reason,
            retry_after_ms: OVERLOAD_RETRY_AFTER_MS,
        })
    }

    /// Records once, when the answer of a gather is due or it has failed, how many of its legs were
    /// queued and whether it has enough parts.
    pub(crate) fn observe_gather(&mut self, pool: &mut Pool, now_us: u64) {
        let Some(min_parts) = self.min_parts.filter(|_| !self.observed) else {
            return;
        };
        let ended = self.legs.iter().all(|leg| !leg.is_open());
        let due = ended || now_us >= self.soft_deadline_us;
        if !due && !self.cannot_succeed() {
            return;
        }
        self.observed = true;
        // Of a gather that fails before its answer is due, it is not known how long the open legs
        // will take.
        if let Some(queueing_us) = self.queueing_us.filter(|_| due) {
            let queued = |leg: &&Leg| leg.was_queued(now_us, queueing_us);
            let queued = self.legs.iter().filter(queued).count();
            let share = queued as f64 / self.legs.len().max(1) as f64;
            pool.observe_legs(self.route.legs_key, share);
        }
        if self.answers_caller {
            pool.observe_gather(self.route.legs_key, self.done_legs() >= min_parts);
        }
    }

    /// Returns the outcome of the request if it is due.
    pub(crate) fn outcome(&mut self, pool: &Pool, now_us: u64) -> Option<Outcome> {
        let too_few = self.done_legs() < self.min_parts.unwrap_or(1);
        if self.cannot_succeed() || (self.crashes_replicas() && too_few) {
            return Some(self.give_up(pool, now_us, false));
        }
        let done = self.done_legs();
        let Some(min_parts) = self.min_parts else {
            return match self.legs[0].state {
                LegState::Done(attempt) => Some(Outcome::Forward { attempt }),
                LegState::Dead(_) | LegState::Open => None,
            };
        };
        // An open leg is no longer awaited once a suspended replica, its last resort, is late.
        let any_awaited = self.legs.iter().any(|leg| leg.is_awaited(now_us));
        let due = !any_awaited || now_us >= self.soft_deadline_us || self.crashes_replicas();
        (done >= min_parts && due).then(|| Outcome::Gather {
            missing: self.legs.len() - done,
        })
    }

    /// Returns the outcome of a request that can no longer succeed.
    pub(crate) fn give_up(&self, pool: &Pool, now_us: u64, deadline_passed: bool) -> Outcome {
        if !self.may_have_run() {
            let reason = self.refusal_reason(deadline_passed);
            return self.refuse(pool, now_us, reason);
        }
        if self.min_parts.is_none()
            && let Some((attempt, reply)) = self.failed_attempt()
        {
            return if reply.resembles_refusal() && !self.may_repeat() {
                Outcome::GiveUp(GiveUpReason::FalseRefusal)
            } else {
                Outcome::Forward { attempt }
            };
        }
        Outcome::GiveUp(if deadline_passed {
            GiveUpReason::DeadlinePassed
        } else if self.min_parts.is_some() {
            GiveUpReason::TooFewParts
        } else {
            GiveUpReason::NoAnswer
        })
    }

    /// Returns the latest sub-request that a replica ran and answered with a failure.
    fn failed_attempt(&self) -> Option<(usize, Reply)> {
        let failed = |(index, attempt): (usize, &Attempt)| {
            let reply = attempt.reply?;
            matches!(reply, Reply::Failed { .. }).then_some((index, reply))
        };
        let attempts = self.legs[0].attempts.iter();
        attempts.enumerate().rev().find_map(failed)
    }

    /// Returns the reason for a refusal before any replica ran the request.
    pub(crate) fn refusal_reason(&self, deadline_passed: bool) -> RefuseReason {
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

    /// Returns a refusal; `retry_after_ms` is the time until each dead leg may have an available
    /// replica again.
    ///
    /// Replicas that stay out of reach or full are taken to need as long again as they have needed
    /// so far, within a part of the time that the caller has left.
    pub(crate) fn refuse(&self, pool: &Pool, now_us: u64, reason: RefuseReason) -> Outcome {
        let left_ms = self.deadline_us.saturating_sub(now_us) / 1_000;
        let dead = |leg: &&Leg| matches!(leg.state, LegState::Dead(_));
        let wait_ms = |leg: &Leg| {
            let refusing_ms = pool.record_refusal(now_us, leg.service);
            let longest_ms = left_ms / RETRY_LEFT_DIVISOR;
            let available_ms = pool.retry_after_ms(now_us, leg.service);
            if pool.policy().prolonged_retries {
                available_ms.max(refusing_ms.min(longest_ms))
            } else {
                available_ms
            }
        };
        let dead_legs = self.legs.iter().filter(dead);
        Outcome::Refuse {
            reason,
            retry_after_ms: dead_legs.map(wait_ms).max().unwrap_or(0),
        }
    }
}
