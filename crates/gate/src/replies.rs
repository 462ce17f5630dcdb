//! What the replies of a target change in the record of its replica.

use crate::GateAction;
use crate::ramp::RampChange;
use crate::replica_gate::Condition;
use crate::replica_gate::ReplicaGate;
use crate::replica_gate::connections;
use crate::running::Running;
use crate::turn::Turn;
use wigeonhall_types::AttemptId;
use wigeonhall_types::FailureReason;
use wigeonhall_types::RefusalReason;
use wigeonhall_types::SubOutcome;
use wigeonhall_types::TargetOutcome;
use wigeonhall_types::TargetReply;

/// Probes without an answer in a row that make a replica unreachable, if the
/// target accepted the connection. One can be a connection that the target
/// closed for idleness.
const FAILED_PROBES: u32 = 2;

/// Why a replica became cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ColdCause {
    ConnectionLost,
    Instance,
    Latency,
    Returned,
    Unreachable,
}

impl ReplicaGate {
    /// Takes the end of a request: frees its slot, learns, answers.
    pub(crate) fn target_reply(
        &mut self,
        turn: &mut Turn<'_>,
        attempt: AttemptId,
        reply: TargetReply,
    ) {
        turn.places.remove(&attempt);
        let Some(running) = self.running.remove(&attempt) else {
            return;
        };
        if self.owned && may_still_run(&reply) {
            turn.counters.ends_unproved += 1;
            self.unproved.add(turn.now_us, attempt, 0);
        }
        if self.owned {
            let is_current = self.ramp.is_current(running.step);
            self.learn_identity(turn, is_current, &reply);
            self.learn_outcome(turn, &running, &reply);
        }
        if running.responded {
            turn.counters.replies_after_response += 1;
        } else {
            let retry_after_us = self.prober.wait_us(turn.now_us);
            let report = self.report(turn.now_us, turn.has_lease());
            turn.respond(attempt, sub_outcome(reply.outcome, retry_after_us), report);
        }
    }

    /// Takes the answer to a question whether a request still runs.
    pub(crate) fn end_reply(
        &mut self,
        turn: &mut Turn<'_>,
        attempt: AttemptId,
        outcome: &TargetOutcome,
    ) {
        match outcome {
            TargetOutcome::UnknownAttempt => {
                self.unproved.ended(attempt);
            }
            TargetOutcome::Cancelled => self.unproved.runs(turn.now_us, attempt),
            _ => {}
        }
    }

    /// Takes the end of a probe. One that was given up as lost can still show that
    /// the target takes no work.
    pub(crate) fn probe_reply(&mut self, turn: &mut Turn<'_>, reply: &TargetReply) {
        let sent = self.prober.take();
        turn.counters.unknown_replies += u64::from(sent.is_none());
        if !self.owned {
            return;
        }
        let was = self.instance;
        let step = sent.and_then(|sent| sent.step);
        let is_current = step.is_some_and(|step| self.ramp.is_current(step));
        self.learn_identity(turn, is_current, reply);
        match reply.outcome {
            TargetOutcome::Draining => {
                self.prober.succeed(turn.now_us);
                self.leave(turn);
            }
            TargetOutcome::Unreachable => self.unreachable(turn),
            TargetOutcome::BadReply
            | TargetOutcome::Cancelled
            | TargetOutcome::ConnectionLost
            | TargetOutcome::DeadlineExceeded => self.probe_failed(turn),
            _ if !is_current => self.prober.request(turn.now_us),
            _ => {
                self.prober.succeed(turn.now_us);
                self.recover(turn, was.is_some() && reply.instance.is_some());
            }
        }
    }

    /// Records a probe that brought no usable reply.
    pub(crate) fn probe_failed(&mut self, turn: &mut Turn<'_>) {
        turn.counters.probes_failed += 1;
        if self.prober.fail(turn.now_us) >= FAILED_PROBES {
            self.set_unreachable(turn);
        }
    }

    /// Returns to the cold bound.
    pub(crate) fn turn_cold(&mut self, turn: &mut Turn<'_>, cause: ColdCause) {
        match cause {
            ColdCause::ConnectionLost | ColdCause::Latency => self.ramp.restart(),
            ColdCause::Instance | ColdCause::Returned | ColdCause::Unreachable => {
                self.ramp.reset();
            }
        }
        self.latency.restart();
        let counters = &mut *turn.counters;
        match cause {
            ColdCause::ConnectionLost => counters.cold_connection_lost += 1,
            ColdCause::Instance => counters.cold_instance += 1,
            ColdCause::Latency => counters.cold_latency += 1,
            ColdCause::Returned => counters.cold_returned += 1,
            ColdCause::Unreachable => counters.cold_unreachable += 1,
        }
    }

    pub(crate) fn open_connections(&self, turn: &mut Turn<'_>) {
        if let Some(spec) = self.spec {
            turn.actions.push(GateAction::OpenConnections {
                count: connections(&spec),
                replica: self.key,
            });
        }
    }

    /// Takes identity and versions from a reply. One that is not current may come
    /// from an earlier process; it counts only if it names one not seen before.
    fn learn_identity(&mut self, turn: &mut Turn<'_>, is_current: bool, reply: &TargetReply) {
        let changed = reply
            .instance
            .is_some_and(|it| self.instance.is_some_and(|known| known != it));
        if !is_current && (!changed || reply.instance == self.replaced) {
            return;
        }
        if changed {
            self.replaced = self.instance;
            self.turn_cold(turn, ColdCause::Instance);
        }
        self.instance = reply.instance.or(self.instance);
        if !reply.served.is_empty() {
            self.served.clone_from(&reply.served);
            self.served_us = Some(turn.now_us);
        }
    }

    fn learn_outcome(&mut self, turn: &mut Turn<'_>, running: &Running, reply: &TargetReply) {
        let now_us = turn.now_us;
        let elapsed_us = now_us.saturating_sub(running.started_us);
        let is_current = self.ramp.is_current(running.step);
        if self.condition == Condition::Usable && is_from_target(&reply.outcome) {
            self.prober.heard(now_us);
        }
        match &reply.outcome {
            TargetOutcome::Draining if is_current || reply.instance == self.instance => {
                self.leave(turn);
            }
            TargetOutcome::Draining => self.request_probe(now_us),
            TargetOutcome::ConnectionLost | TargetOutcome::Unreachable if !is_current => {
                self.request_probe(now_us);
            }
            _ if !is_current => {}
            TargetOutcome::Answered { .. } => {
                if self.latency.observe(now_us, elapsed_us) {
                    self.turn_cold(turn, ColdCause::Latency);
                }
                let change =
                    self.ramp
                        .succeed(now_us, running.step, self.slots(), self.full_rate());
                count_ramp(turn, change);
            }
            TargetOutcome::BadReply
            | TargetOutcome::Shed { .. }
            | TargetOutcome::UnknownAttempt => {
                let change = self.ramp.fail(running.step, self.slots());
                count_ramp(turn, change);
            }
            TargetOutcome::Cancelled | TargetOutcome::DeadlineExceeded => {
                if self.latency.observe_unfinished(now_us, elapsed_us) {
                    self.turn_cold(turn, ColdCause::Latency);
                }
            }
            TargetOutcome::ConnectionLost => {
                self.turn_cold(turn, ColdCause::ConnectionLost);
                self.request_probe(now_us);
            }
            TargetOutcome::Unreachable => self.unreachable(turn),
            TargetOutcome::VersionGone => {}
        }
    }

    /// Asks for a probe now, but keeps the back-off of a replica that takes no work.
    fn request_probe(&mut self, now_us: u64) {
        if self.condition == Condition::Usable {
            self.prober.request(now_us);
        }
    }

    /// The target drains.
    fn leave(&mut self, turn: &mut Turn<'_>) {
        if self.condition != Condition::Leaving {
            turn.counters.became_leaving += 1;
            self.condition = Condition::Leaving;
            self.prober.distrust();
        }
    }

    /// A connection was not accepted.
    fn unreachable(&mut self, turn: &mut Turn<'_>) {
        self.prober.fail(turn.now_us);
        self.set_unreachable(turn);
    }

    fn set_unreachable(&mut self, turn: &mut Turn<'_>) {
        if self.condition != Condition::Unreachable {
            turn.counters.became_unreachable += 1;
            self.condition = Condition::Unreachable;
            self.turn_cold(turn, ColdCause::Unreachable);
        }
    }

    /// A probe was answered by a target that does not drain. With a known
    /// identity a restart was already noticed.
    fn recover(&mut self, turn: &mut Turn<'_>, known_identity: bool) {
        let was = self.condition;
        self.condition = Condition::Usable;
        if was == Condition::Leaving && !known_identity {
            self.turn_cold(turn, ColdCause::Instance);
        }
        if was != Condition::Usable {
            self.open_connections(turn);
        }
    }
}

/// Whether a request that ended so may still take a slot of the target: it may have been
/// sent, and the target itself did not reply.
const fn may_still_run(reply: &TargetReply) -> bool {
    reply.instance.is_none()
        && matches!(
            reply.outcome,
            TargetOutcome::BadReply
                | TargetOutcome::ConnectionLost
                | TargetOutcome::DeadlineExceeded
        )
}

/// Whether the target itself sent the reply.
const fn is_from_target(outcome: &TargetOutcome) -> bool {
    !matches!(
        outcome,
        TargetOutcome::BadReply
            | TargetOutcome::ConnectionLost
            | TargetOutcome::DeadlineExceeded
            | TargetOutcome::Unreachable
    )
}

fn count_ramp(turn: &mut Turn<'_>, change: RampChange) {
    match change {
        RampChange::Doubled => turn.counters.ramp_doubled += 1,
        RampChange::Full => turn.counters.became_warm += 1,
        RampChange::Halved => turn.counters.ramp_halved += 1,
        RampChange::None => {}
    }
}

fn sub_outcome(outcome: TargetOutcome, probe_wait_us: u64) -> SubOutcome {
    let failed = |reason| SubOutcome::Failed { reason };
    let refused = |reason, retry_after_us| SubOutcome::Refused {
        reason,
        retry_after_us,
    };
    match outcome {
        TargetOutcome::Answered {
            ranges,
            rows,
            version,
        } => SubOutcome::Answered {
            ranges,
            rows,
            version,
        },
        TargetOutcome::BadReply | TargetOutcome::UnknownAttempt => failed(FailureReason::BadReply),
        TargetOutcome::Cancelled => failed(FailureReason::Cancelled),
        TargetOutcome::ConnectionLost => failed(FailureReason::ConnectionLost),
        TargetOutcome::DeadlineExceeded => failed(FailureReason::DeadlineExceeded),
        TargetOutcome::Draining => refused(RefusalReason::Leaving, probe_wait_us),
        TargetOutcome::Shed { retry_after_us } => refused(RefusalReason::Shed, retry_after_us),
        TargetOutcome::Unreachable => refused(RefusalReason::Unreachable, probe_wait_us),
        TargetOutcome::VersionGone => SubOutcome::VersionGone,
    }
}
