//! Creates, takes over, releases and settles the claims of writes.
//!
//! A claim is a stored record that gives one attempt the right to run a write; it is settled
//! when its outcome is stored.

use crate::AbsentReason;
use crate::Claim;
use crate::ClaimOutcome;
use crate::ClaimResult;
use crate::Coordinator;
use crate::QueryAction;
use crate::QueryEvent;
use crate::QueryId;
use crate::limits::CLAIM_SETTLE_TIMEOUT_US;
use crate::limits::MAX_CLAIM_TAKEOVERS;
use crate::open_write::OpenWrite;
use crate::open_write::WriteStage;
use crate::reads::Progress;
use crate::reads::retry_after_refusal_ms;
use crate::timers::Timer;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::Verdict;

impl Coordinator {
    pub(crate) fn create_claim(
        &mut self,
        write: &mut OpenWrite,
        actions: &mut Vec<QueryAction>,
    ) -> Progress {
        let id = write.query.id;
        self.remove_waiting(write.query.class, id);
        write.stage = WriteStage::Claiming;
        write.timer_id = 0;
        let claim = write.claim.clone();
        actions.push(QueryAction::CreateClaim { claim, id });
        Progress::Open
    }

    /// Records that another attempt holds the claim of a write, before any timer fires. A node
    /// that was paused past a deadline processes this result together with the deadline timer,
    /// and a "not run" verdict could then be false.
    pub(crate) fn record_claim_of_other_attempt(&mut self, event: &QueryEvent) {
        let QueryEvent::Claim {
            id,
            result: ClaimResult::Conflict { held, .. },
        } = event
        else {
            return;
        };
        if let Some(write) = self.writes.get_mut(id)
            && held.token != write.claim.token
        {
            write.earlier_attempts_not_run = false;
        }
    }

    pub(crate) fn on_claim_result(
        &mut self,
        now_us: u64,
        id: QueryId,
        result: ClaimResult,
        actions: &mut Vec<QueryAction>,
    ) {
        let Some(mut write) = self.take_write(id) else {
            return;
        };
        if write.stage != WriteStage::Claiming {
            self.keep_unless_finished(write, Progress::Open);
            return;
        }
        let progress = match result {
            ClaimResult::Conflict { held, version } if held.token == write.claim.token => {
                self.acquired(now_us, &mut write, version, actions)
            }
            ClaimResult::Conflict { held, version } => {
                self.counters.claim_conflicts += 1;
                self.on_claim_conflict(&mut write, &held, version, actions)
            }
            ClaimResult::Stored { version } => self.acquired(now_us, &mut write, version, actions),
            ClaimResult::Unknown => {
                self.counters.claims_unknown += 1;
                let verdict = write.verdict_before_sending();
                self.refuse_write(&write, AbsentReason::StoreDown, verdict, actions)
            }
        };
        self.keep_unless_finished(write, progress);
    }

    /// Continues a write whose claim this attempt acquired: no other attempt has run or will
    /// run.
    fn acquired(
        &mut self,
        now_us: u64,
        write: &mut OpenWrite,
        claim_version: u64,
        actions: &mut Vec<QueryAction>,
    ) -> Progress {
        write.claim_version = Some(claim_version);
        if write.takeovers > 0 {
            self.counters.claims_taken_over += 1;
        }
        if write.answered {
            self.counters.claims_settled_late += 1;
            push_claim_release(write, actions);
            return Progress::Finished;
        }
        self.send_or_release(now_us, write, true, AbsentReason::NoReplica, actions)
    }

    /// Handles a claim that another attempt holds; `version` is that of the stored object.
    fn on_claim_conflict(
        &mut self,
        write: &mut OpenWrite,
        held: &Claim,
        version: u64,
        actions: &mut Vec<QueryAction>,
    ) -> Progress {
        if write.answered {
            return Progress::Finished;
        }
        let may_have_run = Verdict::MayHaveRun;
        // The stored record does not belong to this request id, so its outcome must not be
        // used.
        if held.request_id != write.claim.request_id {
            return self.refuse_write(write, AbsentReason::StoreDown, may_have_run, actions);
        }
        match held.outcome {
            ClaimOutcome::Ran(index_version) => {
                let answer = write.success(index_version);
                self.answer(write.query.id, answer, actions);
                Progress::Finished
            }
            ClaimOutcome::Released if write.takeovers < MAX_CLAIM_TAKEOVERS => {
                write.takeovers += 1;
                actions.push(QueryAction::UpdateClaim {
                    claim: write.claim.clone(),
                    id: write.query.id,
                    version,
                });
                Progress::Open
            }
            ClaimOutcome::Open | ClaimOutcome::Released => {
                self.refuse_write(write, AbsentReason::ClaimOpen, may_have_run, actions)
            }
        }
    }

    fn refuse_write(
        &mut self,
        write: &OpenWrite,
        reason: AbsentReason,
        verdict: Verdict,
        actions: &mut Vec<QueryAction>,
    ) -> Progress {
        if !write.answered {
            let retry_ms = retry_after_refusal_ms(write.retry_after_us);
            let answer = write.refusal(reason, verdict, retry_ms);
            self.answer(write.query.id, answer, actions);
        }
        Progress::Finished
    }

    /// Adds the action that stores the claim as released, so that another attempt may take it
    /// over, and answers with the verdict "not run".
    pub(crate) fn release(
        &mut self,
        write: &mut OpenWrite,
        reason: AbsentReason,
        actions: &mut Vec<QueryAction>,
    ) -> Progress {
        push_claim_release(write, actions);
        self.remove_waiting(write.query.class, write.query.id);
        self.refuse_write(write, reason, Verdict::NotRun, actions)
    }

    /// Stores in the claim that a target ran the write, and answers the caller unless it was
    /// already answered.
    pub(crate) fn write_ran(
        &mut self,
        write: &mut OpenWrite,
        version: IndexVersion,
        actions: &mut Vec<QueryAction>,
    ) -> Progress {
        write.claim.outcome = ClaimOutcome::Ran(version);
        push_claim_update(write, actions);
        if write.answered {
            self.counters.claims_settled_late += 1;
        } else {
            let answer = write.success(version);
            self.answer(write.query.id, answer, actions);
        }
        Progress::Finished
    }

    /// Marks the write as answered, and keeps it for a late outcome that settles its claim.
    pub(crate) fn await_late_outcome(&mut self, now_us: u64, write: &mut OpenWrite) {
        write.answered = true;
        let id = write.query.id;
        self.timers
            .set(now_us + CLAIM_SETTLE_TIMEOUT_US, Timer::Settle(id));
    }

    /// Ends the wait for a late outcome once the deadline has passed; the claim remains open.
    pub(crate) fn settle_timeout(&mut self, at_us: u64, id: QueryId) {
        let Some(write) = self.take_write(id) else {
            return;
        };
        let progress = if write.answered && at_us > write.query.deadline_us {
            Progress::Finished
        } else {
            Progress::Open
        };
        self.keep_unless_finished(write, progress);
    }
}

/// Adds the action that stores the claim as released, so that another attempt may take it
/// over.
pub(crate) fn push_claim_release(write: &mut OpenWrite, actions: &mut Vec<QueryAction>) {
    write.claim.outcome = ClaimOutcome::Released;
    push_claim_update(write, actions);
}

fn push_claim_update(write: &OpenWrite, actions: &mut Vec<QueryAction>) {
    if let Some(version) = write.claim_version {
        actions.push(QueryAction::UpdateClaim {
            claim: write.claim.clone(),
            id: write.query.id,
            version,
        });
    }
}
