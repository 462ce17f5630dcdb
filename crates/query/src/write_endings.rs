//! Ends a write: by the outcome of its sub-request, its deadline, the loss of an owner or the
//! disconnect of its caller.
//!
//! A claim is a stored record that gives one attempt the right to run a write; it is settled
//! when its outcome is stored.

use crate::AbsentReason;
use crate::Coordinator;
use crate::QueryAction;
use crate::QueryId;
use crate::limits::RETRY_AFTER_DEFAULT_MS;
use crate::open_sub_request::OpenSubRequest;
use crate::open_write::OpenWrite;
use crate::open_write::WriteStage;
use crate::reads::Progress;
use crate::sub_request_cost::SubRequestCost;
use crate::write_claims::push_claim_release;
use wigeonhall_types::FailureReason;
use wigeonhall_types::RefusalReason;
use wigeonhall_types::SubOutcome;

impl Coordinator {
    /// Processes the outcome of the sub-request of a write.
    pub(crate) fn write_reply(
        &mut self,
        now_us: u64,
        id: QueryId,
        sub: OpenSubRequest,
        outcome: &SubOutcome,
        actions: &mut Vec<QueryAction>,
    ) {
        let Some(mut write) = self.take_write(id) else {
            return;
        };
        write.open_sequence = None;
        let progress = match outcome {
            SubOutcome::Answered { version, .. } => self.write_ran(&mut write, *version, actions),
            SubOutcome::Failed { reason } => {
                if !write.answered {
                    let answer = write.failure(*reason, RETRY_AFTER_DEFAULT_MS);
                    self.answer(id, answer, actions);
                }
                Progress::Finished
            }
            SubOutcome::Refused {
                reason,
                retry_after_us,
            } => {
                write.retry_after_us = write.retry_after_us.max(*retry_after_us);
                write.next_sub_request_cost = SubRequestCost::of_retry_after(*reason);
                if *reason == RefusalReason::NotOwner && self.owner_changed(sub) {
                    write.tried.retain(|replica| *replica != sub.replica);
                }
                let reason = AbsentReason::Refused(*reason);
                self.write_not_run(now_us, &mut write, reason, actions)
            }
            SubOutcome::VersionGone => {
                if let Some(version) = write.sent_version {
                    self.routing.drop_version(sub.replica, version);
                }
                write.next_sub_request_cost = SubRequestCost::ChargedToBudget;
                let reason = AbsentReason::VersionGone;
                self.write_not_run(now_us, &mut write, reason, actions)
            }
        };
        self.keep_unless_finished(write, progress);
    }

    /// Retries a write whose last sub-request proved not to have run, or releases its claim if
    /// the caller was already answered.
    fn write_not_run(
        &mut self,
        now_us: u64,
        write: &mut OpenWrite,
        reason: AbsentReason,
        actions: &mut Vec<QueryAction>,
    ) -> Progress {
        if write.answered {
            self.counters.claims_settled_late += 1;
            push_claim_release(write, actions);
            return Progress::Finished;
        }
        self.send_or_release(now_us, write, false, reason, actions)
    }

    /// Answers a write whose owner is lost, and keeps it for a late reply that settles the
    /// claim.
    pub(crate) fn write_owner_lost(
        &mut self,
        now_us: u64,
        id: QueryId,
        actions: &mut Vec<QueryAction>,
    ) {
        let Some(mut write) = self.take_write(id) else {
            return;
        };
        if !write.answered {
            let answer = write.failure(FailureReason::OwnerLost, RETRY_AFTER_DEFAULT_MS);
            self.answer(id, answer, actions);
            self.await_late_outcome(now_us, &mut write);
        }
        self.keep_unless_finished(write, Progress::Open);
    }

    pub(crate) fn write_deadline(
        &mut self,
        at_us: u64,
        id: QueryId,
        actions: &mut Vec<QueryAction>,
    ) {
        let Some(mut write) = self.take_write(id) else {
            return;
        };
        if write.answered || write.query.deadline_us != at_us {
            self.keep_unless_finished(write, Progress::Open);
            return;
        }
        self.counters.deadlines += 1;
        let verdict = write.verdict_before_sending();
        let progress = match write.stage {
            WriteStage::Routing => {
                let reason = AbsentReason::DeadlinePassed;
                let answer = write.refusal(reason, verdict, RETRY_AFTER_DEFAULT_MS);
                self.answer(id, answer, actions);
                Progress::Finished
            }
            WriteStage::Claiming => {
                let answer =
                    write.refusal(AbsentReason::StoreDown, verdict, RETRY_AFTER_DEFAULT_MS);
                self.answer(id, answer, actions);
                self.await_late_outcome(at_us, &mut write);
                Progress::Open
            }
            WriteStage::Claimed => self.release(&mut write, AbsentReason::DeadlinePassed, actions),
            WriteStage::Sent => {
                let answer = write.failure(FailureReason::DeadlineExceeded, RETRY_AFTER_DEFAULT_MS);
                self.answer(id, answer, actions);
                self.await_late_outcome(at_us, &mut write);
                Progress::Open
            }
        };
        self.remove_waiting(write.query.class, id);
        self.keep_unless_finished(write, progress);
    }

    /// Ends a write whose caller disconnected. A sub-request in flight is not cancelled,
    /// because its outcome settles the claim for a repeat of the request.
    pub(crate) fn write_caller_disconnected(
        &mut self,
        now_us: u64,
        id: QueryId,
        actions: &mut Vec<QueryAction>,
    ) {
        let Some(mut write) = self.take_write(id) else {
            return;
        };
        if write.answered {
            self.keep_unless_finished(write, Progress::Open);
            return;
        }
        self.counters.callers_gone += 1;
        self.remove_waiting(write.query.class, id);
        let progress = match write.stage {
            WriteStage::Routing => Progress::Finished,
            WriteStage::Claiming | WriteStage::Sent => {
                self.await_late_outcome(now_us, &mut write);
                Progress::Open
            }
            WriteStage::Claimed => {
                push_claim_release(&mut write, actions);
                Progress::Finished
            }
        };
        self.keep_unless_finished(write, progress);
    }
}
