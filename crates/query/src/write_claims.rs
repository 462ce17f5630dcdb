//! Claims of writes: create, take over, release and settle.

use crate::AbsentReason;
use crate::Claim;
use crate::ClaimOutcome;
use crate::ClaimResult;
use crate::Coordinator;
use crate::QueryAction;
use crate::QueryEvent;
use crate::QueryId;
use crate::limits::SETTLE_US;
use crate::limits::TAKEOVERS;
use crate::open_write::OpenWrite;
use crate::open_write::WriteStage;
use crate::reads::Progress;
use crate::reads::retry_after_refusal_ms;
use crate::timers::Timer;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::Verdict;

impl Coordinator {
    /// Creates the claim of a write.
    pub(crate) fn create_claim(
        &mut self,
        write: &mut OpenWrite,
        actions: &mut Vec<QueryAction>,
    ) -> Progress {
        let id = write.query.id;
        self.wait_out(write.query.class, id);
        write.stage = WriteStage::Claiming;
        write.stamp = 0;
        let claim = write.claim.clone();
        actions.push(QueryAction::CreateClaim { claim, id });
        Progress::Open
    }

    /// Notes that the claim of a write is another attempt's, before any timer fires: a node
    /// that was paused past a deadline finds the reply together with the timer, and "not
    /// run" may be false then.
    pub(crate) fn note_claim(&mut self, event: &QueryEvent) {
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
            write.not_run_before = false;
        }
    }

    pub(crate) fn claim_result(
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
            self.keep(write, Progress::Open);
            return;
        }
        let progress = match result {
            ClaimResult::Conflict { held, version } if held.token == write.claim.token => {
                self.hold(now_us, &mut write, version, actions)
            }
            ClaimResult::Conflict { held, version } => {
                self.counters.claim_conflicts += 1;
                self.conflict(&mut write, &held, version, actions)
            }
            ClaimResult::Stored { version } => self.hold(now_us, &mut write, version, actions),
            ClaimResult::Unknown => {
                self.counters.claims_unknown += 1;
                let verdict = write.verdict_unsent();
                self.refuse_write(&write, AbsentReason::StoreDown, verdict, actions)
            }
        };
        self.keep(write, progress);
    }

    /// The claim is this attempt's: no other attempt has run or will run.
    fn hold(
        &mut self,
        now_us: u64,
        write: &mut OpenWrite,
        version: u64,
        actions: &mut Vec<QueryAction>,
    ) -> Progress {
        write.claim_version = Some(version);
        if write.takeovers > 0 {
            self.counters.claims_taken_over += 1;
        }
        if write.answered {
            self.counters.claims_settled_late += 1;
            push_release(write, actions);
            return Progress::Answered;
        }
        self.dispatch(now_us, write, true, AbsentReason::NoReplica, actions)
    }

    /// The claim is another attempt's.
    fn conflict(
        &mut self,
        write: &mut OpenWrite,
        held: &Claim,
        version: u64,
        actions: &mut Vec<QueryAction>,
    ) -> Progress {
        if write.answered {
            return Progress::Answered;
        }
        let may_have_run = Verdict::MayHaveRun;
        if held.request_id != write.claim.request_id {
            return self.refuse_write(write, AbsentReason::StoreDown, may_have_run, actions);
        }
        match held.outcome {
            ClaimOutcome::Ran(version) => {
                let answer = write.whole(version);
                self.answer(write.query.id, answer, actions);
                Progress::Answered
            }
            ClaimOutcome::Released if write.takeovers < TAKEOVERS => {
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
        Progress::Answered
    }

    /// Gives the claim back and answers "not run".
    pub(crate) fn release(
        &mut self,
        write: &mut OpenWrite,
        reason: AbsentReason,
        actions: &mut Vec<QueryAction>,
    ) -> Progress {
        push_release(write, actions);
        self.wait_out(write.query.class, write.query.id);
        self.refuse_write(write, reason, Verdict::NotRun, actions)
    }

    /// Stores that a target ran the write, and answers unless that was done.
    pub(crate) fn write_ran(
        &mut self,
        write: &mut OpenWrite,
        version: IndexVersion,
        actions: &mut Vec<QueryAction>,
    ) -> Progress {
        write.claim.outcome = ClaimOutcome::Ran(version);
        push_update(write, actions);
        if write.answered {
            self.counters.claims_settled_late += 1;
        } else {
            let answer = write.whole(version);
            self.answer(write.query.id, answer, actions);
        }
        Progress::Answered
    }

    /// Keeps an answered write for a late result that settles its claim.
    pub(crate) fn settle_later(&mut self, now_us: u64, write: &mut OpenWrite) {
        write.answered = true;
        let id = write.query.id;
        self.timers.set(now_us + SETTLE_US, Timer::Settle(id));
    }

    /// Ends the wait for a late result; the claim stays open.
    pub(crate) fn settle_due(&mut self, at_us: u64, id: QueryId) {
        let Some(write) = self.take_write(id) else {
            return;
        };
        let progress = if write.answered && at_us > write.query.deadline_us {
            Progress::Answered
        } else {
            Progress::Open
        };
        self.keep(write, progress);
    }
}

/// Gives the claim back, so that another attempt may take it over.
pub(crate) fn push_release(write: &mut OpenWrite, actions: &mut Vec<QueryAction>) {
    write.claim.outcome = ClaimOutcome::Released;
    push_update(write, actions);
}

fn push_update(write: &OpenWrite, actions: &mut Vec<QueryAction>) {
    if let Some(version) = write.claim_version {
        actions.push(QueryAction::UpdateClaim {
            claim: write.claim.clone(),
            id: write.query.id,
            version,
        });
    }
}
