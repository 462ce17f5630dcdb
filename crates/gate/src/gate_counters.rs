use serde::Serialize;

use wigeonhall_types::FailureReason;
use wigeonhall_types::RefusalReason;
use wigeonhall_types::SubOutcome;

/// Counters of decisions since the start of the process.
///
/// Fields named `*_high` are the largest value seen. A replica is cold after its target
/// restarted, or may have, until a ramp has raised its limits to all slots. "Leaving" means that
/// the target drains. A grant makes this node the owner of a replica; its lease is the right to
/// start requests to replicas that it owns.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct GateCounters {
    /// Sub-requests answered with rows.
    pub answered: u64,
    /// Targets that began to drain.
    pub became_leaving: u64,
    /// Targets that stopped accepting connections or replying.
    pub became_unreachable: u64,
    /// Replicas whose ramp reached all slots.
    pub became_warm: u64,
    /// Running requests that a target was asked to stop.
    pub cancelled_at_target: u64,
    /// Replicas that became cold because a connection broke.
    pub cold_connection_lost: u64,
    /// Replicas that became cold because the identity of the target process changed, or was not
    /// known after a drain.
    pub cold_instance: u64,
    /// Replicas that became cold because the latency jumped.
    pub cold_latency: u64,
    /// Largest number of starts beyond the rate limit of a cold replica within one second; must
    /// stay 0.
    pub cold_rate_exceeded_high: u64,
    /// Largest number of starts at one cold replica within one second.
    pub cold_rate_high: u64,
    /// Replicas that became cold because operators returned them to service.
    pub cold_returned: u64,
    /// Largest number of requests running at one cold replica when a request starts.
    pub cold_running_high: u64,
    /// Replicas that became cold because they were unreachable.
    pub cold_unreachable: u64,
    /// Largest number of requests beyond the concurrency limit of a cold replica when a request
    /// starts; must stay 0.
    pub cold_slots_exceeded_high: u64,
    /// Submissions with the attempt id of an earlier one; ignored.
    pub duplicate_submits: u64,
    /// Polls that ask a target whether a request still runs.
    pub ends_asked: u64,
    /// Slots freed after a timeout, without a confirmation that the request ended.
    pub ends_given_up: u64,
    /// Requests that the target did not reply to and may still run.
    pub ends_unproved: u64,
    /// Sub-requests that failed because the reply could not be read.
    pub failed_bad_reply: u64,
    /// Sub-requests that failed because they were cancelled while running.
    pub failed_cancelled: u64,
    /// Sub-requests that failed because the connection broke.
    pub failed_connection_lost: u64,
    /// Sub-requests that failed because no reply arrived before the deadline.
    pub failed_deadline_exceeded: u64,
    /// Replicas granted without the state of a previous owner.
    pub granted_cold: u64,
    /// Replicas granted with the state of a previous owner.
    pub granted_handed_over: u64,
    /// Hand-overs sent.
    pub handed_over: u64,
    /// Probes sent.
    pub probes: u64,
    /// Probes without a usable reply.
    pub probes_failed: u64,
    /// Probes without any reply before their timeout; also in `probes_failed`.
    pub probes_lost: u64,
    /// Rounds of successful replies, each of which doubled the limits of a replica in its ramp.
    pub ramp_doubled: u64,
    /// Shed requests or errors that halved the limits of a replica.
    pub ramp_halved: u64,
    /// Refusals because no slot would be free within the entry node's limit on the wait.
    pub refused_busy: u64,
    /// Refusals because the sub-request was cancelled while waiting.
    pub refused_cancelled: u64,
    /// Refusals because a cold replica would not serve the sub-request in time within its limits.
    pub refused_cold_start: u64,
    /// Refusals because the deadline had passed.
    pub refused_deadline_passed: u64,
    /// Refusals because the target drains.
    pub refused_leaving: u64,
    /// Refusals because the lease was not valid.
    pub refused_no_lease: u64,
    /// Refusals because this node does not own the replica.
    pub refused_not_owner: u64,
    /// Refusals because operators took the replica out of service.
    pub refused_out: u64,
    /// Refusals because the expected end was past the deadline, or the expected wait too long
    /// for the class.
    pub refused_overloaded: u64,
    /// Refusals because the target shed the request.
    pub refused_shed: u64,
    /// Refusals because the deployment lacks the replica.
    pub refused_unknown_replica: u64,
    /// Refusals because the target accepts no connection.
    pub refused_unreachable: u64,
    /// Target replies that arrived after the deadline, when the entry node already had a
    /// response.
    pub replies_after_response: u64,
    /// Replicas that were revoked.
    pub revoked: u64,
    /// Largest number of requests running at one replica when a request starts, including those
    /// of the previous owner.
    pub running_high: u64,
    /// Largest number of requests beyond the slots of a replica when a request starts; must
    /// stay 0.
    pub slots_exceeded_high: u64,
    /// Deployments of an older generation; ignored.
    pub stale_deployments: u64,
    /// Grants and revocations of an older epoch or without effect; ignored.
    pub stale_ownership: u64,
    /// Sub-requests sent to a target.
    pub started: u64,
    /// Starts without ownership or lease, past the deadline, or at a replica that is out of
    /// service, draining or unreachable; must stay 0.
    pub started_forbidden: u64,
    /// Sub-requests received.
    pub submitted: u64,
    /// Cancellations of sub-requests that neither wait nor run; ignored.
    pub unknown_cancels: u64,
    /// Replies to requests or probes that are not in flight. Those to requests are ignored.
    pub unknown_replies: u64,
    /// Sub-requests for a version that the target no longer serves.
    pub version_gone: u64,
    /// Sub-requests counted in `version_gone` that were never sent to the target.
    pub version_gone_unasked: u64,
    /// Largest number of sub-requests waiting for one replica.
    pub waiting_high: u64,
}

impl GateCounters {
    pub(crate) const fn count_outcome(&mut self, outcome: &SubOutcome) {
        match outcome {
            SubOutcome::Answered { .. } => self.answered += 1,
            SubOutcome::Failed { reason } => self.count_failure(*reason),
            SubOutcome::Refused { reason, .. } => self.count_refusal(*reason),
            SubOutcome::VersionGone => self.version_gone += 1,
        }
    }

    const fn count_failure(&mut self, reason: FailureReason) {
        match reason {
            FailureReason::BadReply => self.failed_bad_reply += 1,
            FailureReason::Cancelled => self.failed_cancelled += 1,
            FailureReason::ConnectionLost => self.failed_connection_lost += 1,
            FailureReason::DeadlineExceeded => self.failed_deadline_exceeded += 1,
            // Only entry nodes give this reason.
            FailureReason::OwnerLost => {}
        }
    }

    const fn count_refusal(&mut self, reason: RefusalReason) {
        let counter = match reason {
            RefusalReason::Cancelled => &mut self.refused_cancelled,
            RefusalReason::ColdStart => &mut self.refused_cold_start,
            RefusalReason::DeadlinePassed => &mut self.refused_deadline_passed,
            RefusalReason::Leaving => &mut self.refused_leaving,
            RefusalReason::NoLease => &mut self.refused_no_lease,
            RefusalReason::NotOwner => &mut self.refused_not_owner,
            RefusalReason::Out => &mut self.refused_out,
            RefusalReason::Busy => &mut self.refused_busy,
            RefusalReason::Overloaded => &mut self.refused_overloaded,
            RefusalReason::Shed => &mut self.refused_shed,
            RefusalReason::UnknownReplica => &mut self.refused_unknown_replica,
            RefusalReason::Unreachable => &mut self.refused_unreachable,
        };
        *counter += 1;
    }
}
