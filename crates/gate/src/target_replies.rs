//! Updates a replica from the replies of its target.

use crate::GateAction;
use crate::context::EventContext;
use crate::ramp::RampChange;
use crate::replica_gate::Health;
use crate::replica_gate::ReplicaGate;
use crate::replica_gate::connections;
use crate::running_request::RunningRequest;
use wigeonhall_types::AttemptId;
use wigeonhall_types::FailureReason;
use wigeonhall_types::RefusalReason;
use wigeonhall_types::SubOutcome;
use wigeonhall_types::TargetOutcome;
use wigeonhall_types::TargetReply;

/// Consecutive probes without a usable reply that make a replica unreachable. A single one may
/// have used a connection that the target had closed for idleness. A connection that the target
/// refuses makes the replica unreachable at once.
const FAILED_PROBES_UNTIL_UNREACHABLE: u32 = 2;

/// Why a replica became cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ColdCause {
    ConnectionLost,
    /// The identity of the target process changed, or was not known after a drain.
    InstanceChanged,
    LatencyJump,
    ReturnedToService,
    Unreachable,
}

impl ReplicaGate {
    /// Handles the reply to a request: frees its slot, updates what is known of the target and
    /// responds to the entry node.
    pub(crate) fn target_reply(
        &mut self,
        cx: &mut EventContext<'_>,
        attempt: AttemptId,
        reply: TargetReply,
    ) {
        cx.open_requests.remove(&attempt);
        let Some(running) = self.running.remove(&attempt) else {
            return;
        };
        if self.owned && may_still_run(&reply) {
            cx.counters.ends_unproved += 1;
            // With no time remaining, the target is polled at once.
            self.unconfirmed.add(cx.now_us, attempt, 0);
        }
        if self.owned {
            let is_current = self.ramp.is_of_current_target_state(running.ramp_step);
            self.update_instance(cx, is_current, &reply);
            self.update_from_outcome(cx, &running, &reply);
        }
        if running.responded {
            cx.counters.replies_after_response += 1;
        } else {
            let retry_after_us = self.prober.retry_after_us(cx.now_us);
            let report = self.report(cx.now_us, cx.has_lease());
            cx.respond(attempt, sub_outcome(reply.outcome, retry_after_us), report);
        }
    }

    /// Handles the reply to a poll that asked whether a request still runs.
    pub(crate) fn poll_reply(
        &mut self,
        cx: &mut EventContext<'_>,
        attempt: AttemptId,
        outcome: &TargetOutcome,
    ) {
        match outcome {
            TargetOutcome::UnknownAttempt => {
                self.unconfirmed.confirm_ended(attempt);
            }
            // The target stops the request now, but it still runs.
            TargetOutcome::Cancelled => self.unconfirmed.confirm_running(cx.now_us, attempt),
            _ => {}
        }
    }

    /// Handles the reply to a probe. The reply to a probe that already counted as lost can
    /// still show that the target accepts no work.
    pub(crate) fn probe_reply(&mut self, cx: &mut EventContext<'_>, reply: &TargetReply) {
        let probe = self.prober.take_in_flight();
        cx.counters.unknown_replies += u64::from(probe.is_none());
        if !self.owned {
            return;
        }
        let previous = self.instance;
        let step = probe.and_then(|probe| probe.ramp_step);
        let is_current = step.is_some_and(|step| self.ramp.is_of_current_target_state(step));
        self.update_instance(cx, is_current, reply);
        match reply.outcome {
            TargetOutcome::Draining => {
                self.prober.record_success(cx.now_us);
                self.set_draining(cx);
            }
            TargetOutcome::Unreachable => self.record_unreachable(cx),
            TargetOutcome::BadReply
            | TargetOutcome::Cancelled
            | TargetOutcome::ConnectionLost
            | TargetOutcome::DeadlineExceeded => self.record_failed_probe(cx),
            _ if !is_current => self.prober.schedule_now(cx.now_us),
            _ => {
                self.prober.record_success(cx.now_us);
                self.set_usable(cx, previous.is_some() && reply.instance.is_some());
            }
        }
    }

    /// Records a probe without a usable reply.
    pub(crate) fn record_failed_probe(&mut self, cx: &mut EventContext<'_>) {
        cx.counters.probes_failed += 1;
        if self.prober.record_failure(cx.now_us) >= FAILED_PROBES_UNTIL_UNREACHABLE {
            self.set_unreachable(cx);
        }
    }

    /// Makes the replica cold: lowers its limits to the cold bound (those after a start) or below.
    pub(crate) fn set_cold(&mut self, cx: &mut EventContext<'_>, cause: ColdCause) {
        match cause {
            ColdCause::ConnectionLost | ColdCause::LatencyJump => self.ramp.restart_or_halve(),
            ColdCause::InstanceChanged | ColdCause::ReturnedToService | ColdCause::Unreachable => {
                self.ramp.reset();
            }
        }
        self.latency.require_new_samples();
        let counters = &mut *cx.counters;
        match cause {
            ColdCause::ConnectionLost => counters.cold_connection_lost += 1,
            ColdCause::InstanceChanged => counters.cold_instance += 1,
            ColdCause::LatencyJump => counters.cold_latency += 1,
            ColdCause::ReturnedToService => counters.cold_returned += 1,
            ColdCause::Unreachable => counters.cold_unreachable += 1,
        }
    }

    pub(crate) fn open_connections(&self, cx: &mut EventContext<'_>) {
        if let Some(spec) = self.spec {
            cx.actions.push(GateAction::OpenConnections {
                count: connections(&spec),
                replica: self.key,
            });
        }
    }

    /// Takes the instance identity and versions from a reply. A reply is current if its request
    /// was sent since the replica last became cold. Any other may come from an earlier process
    /// and counts only if it states an identity not seen before.
    fn update_instance(
        &mut self,
        cx: &mut EventContext<'_>,
        is_current: bool,
        reply: &TargetReply,
    ) {
        let changed = reply
            .instance
            .is_some_and(|it| self.instance.is_some_and(|known| known != it));
        if !is_current && (!changed || reply.instance == self.previous_instance) {
            return;
        }
        if changed {
            self.previous_instance = self.instance;
            self.set_cold(cx, ColdCause::InstanceChanged);
        }
        self.instance = reply.instance.or(self.instance);
        if !reply.served.is_empty() {
            self.served.clone_from(&reply.served);
            self.served_at_us = Some(cx.now_us);
        }
    }

    fn update_from_outcome(
        &mut self,
        cx: &mut EventContext<'_>,
        running: &RunningRequest,
        reply: &TargetReply,
    ) {
        let now_us = cx.now_us;
        let elapsed_us = now_us.saturating_sub(running.started_us);
        let is_current = self.ramp.is_of_current_target_state(running.ramp_step);
        if self.health == Health::Usable && is_from_target(&reply.outcome) {
            self.prober.postpone_idle_probe(now_us);
        }
        match &reply.outcome {
            TargetOutcome::Draining if is_current || reply.instance == self.instance => {
                self.set_draining(cx);
            }
            TargetOutcome::Draining => self.request_probe(now_us),
            TargetOutcome::ConnectionLost | TargetOutcome::Unreachable if !is_current => {
                self.request_probe(now_us);
            }
            _ if !is_current => {}
            TargetOutcome::Answered { .. } => {
                if self.latency.observe(now_us, elapsed_us) {
                    self.set_cold(cx, ColdCause::LatencyJump);
                }
                let change = self.ramp.record_success(
                    now_us,
                    running.ramp_step,
                    self.slots(),
                    self.full_rate_per_s(),
                );
                count_ramp_change(cx, change);
            }
            TargetOutcome::BadReply
            | TargetOutcome::Shed { .. }
            | TargetOutcome::UnknownAttempt => {
                let change = self.ramp.record_failure(running.ramp_step, self.slots());
                count_ramp_change(cx, change);
            }
            TargetOutcome::Cancelled | TargetOutcome::DeadlineExceeded => {
                if self.latency.observe_unfinished(now_us, elapsed_us) {
                    self.set_cold(cx, ColdCause::LatencyJump);
                }
            }
            TargetOutcome::ConnectionLost => {
                self.set_cold(cx, ColdCause::ConnectionLost);
                self.request_probe(now_us);
            }
            TargetOutcome::Unreachable => self.record_unreachable(cx),
            TargetOutcome::VersionGone => {}
        }
    }

    /// Schedules a probe now, but keeps the backoff of a replica that accepts no work.
    fn request_probe(&mut self, now_us: u64) {
        if self.health == Health::Usable {
            self.prober.schedule_now(now_us);
        }
    }

    /// Records that the target drains.
    fn set_draining(&mut self, cx: &mut EventContext<'_>) {
        if self.health != Health::Draining {
            cx.counters.became_leaving += 1;
            self.health = Health::Draining;
            self.prober.invalidate_in_flight();
        }
    }

    /// Records that the target did not accept a connection.
    fn record_unreachable(&mut self, cx: &mut EventContext<'_>) {
        self.prober.record_failure(cx.now_us);
        self.set_unreachable(cx);
    }

    fn set_unreachable(&mut self, cx: &mut EventContext<'_>) {
        if self.health != Health::Unreachable {
            cx.counters.became_unreachable += 1;
            self.health = Health::Unreachable;
            self.set_cold(cx, ColdCause::Unreachable);
        }
    }

    /// Makes the replica usable after the probe reply of a target that does not drain. If the
    /// identity is not known, a target that drained before may have restarted unnoticed, so the
    /// replica becomes cold.
    fn set_usable(&mut self, cx: &mut EventContext<'_>, known_identity: bool) {
        let previous = self.health;
        self.health = Health::Usable;
        if previous == Health::Draining && !known_identity {
            self.set_cold(cx, ColdCause::InstanceChanged);
        }
        if previous != Health::Usable {
            self.open_connections(cx);
        }
    }
}

/// Returns whether the target may still run a request although it ended here with `reply`: it
/// may have been sent, and the target itself did not reply.
const fn may_still_run(reply: &TargetReply) -> bool {
    reply.instance.is_none()
        && matches!(
            reply.outcome,
            TargetOutcome::BadReply
                | TargetOutcome::ConnectionLost
                | TargetOutcome::DeadlineExceeded
        )
}

/// Returns whether the target itself sent the reply.
const fn is_from_target(outcome: &TargetOutcome) -> bool {
    !matches!(
        outcome,
        TargetOutcome::BadReply
            | TargetOutcome::ConnectionLost
            | TargetOutcome::DeadlineExceeded
            | TargetOutcome::Unreachable
    )
}

fn count_ramp_change(cx: &mut EventContext<'_>, change: RampChange) {
    match change {
        RampChange::Doubled => cx.counters.ramp_doubled += 1,
        RampChange::Full => cx.counters.became_warm += 1,
        RampChange::Halved => cx.counters.ramp_halved += 1,
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
