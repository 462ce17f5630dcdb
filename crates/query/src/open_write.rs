use std::sync::Arc;

use crate::AbsentReason;
use crate::Answer;
use crate::AnswerStatus;
use crate::Claim;
use crate::ClaimOutcome;
use crate::Coverage;
use crate::WriteQuery;
use crate::send_cost::SendCost;
use wigeonhall_types::FailureReason;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::KeyRange;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::Verdict;

/// Where a write stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteStage {
    /// Waits for reports before it claims.
    Routing,
    /// Waits for the result of a claim action.
    Claiming,
    /// Holds the claim and waits for a replica or for reports.
    Claimed,
    /// Sent to a target; the outcome is open.
    Sent,
}

/// A write that is not answered or whose claim is not settled.
#[derive(Clone, Debug)]
pub struct OpenWrite {
    /// Sequence number of the open sub-request.
    pub open_sequence: Option<u64>,
    /// The caller has its answer or is gone; only the claim is left to settle.
    pub answered: bool,
    /// Claim with the token of this attempt.
    pub claim: Claim,
    /// Version of the claim's object, while this attempt holds the claim.
    pub claim_version: Option<u64>,
    /// Tries that drew on no budget.
    pub free_retries: u32,
    /// No attempt before this one has run, as far as the caller and the claim say.
    pub earlier_attempts_not_run: bool,
    /// What the next send draws on.
    pub next_send_cost: SendCost,
    /// The request.
    pub query: WriteQuery,
    /// Longest time that a refusal named for another try.
    pub retry_after_us: u64,
    /// Sub-requests sent.
    pub sends: u32,
    /// Version that the last sub-request was pinned to.
    pub sent_version: Option<IndexVersion>,
    /// Where the write stands.
    pub stage: WriteStage,
    /// Tells the current `Wait` timer from those set before.
    pub timer_id: u64,
    /// Conditional updates to take over a released claim.
    pub takeovers: u32,
    /// Replicas that proved that they did not run it.
    pub tried: Vec<ReplicaKey>,
    /// Waits so far.
    pub waits: u32,
}

impl OpenWrite {
    /// A write that has claimed nothing.
    pub fn new(query: WriteQuery, token: u64) -> Self {
        Self {
            answered: false,
            open_sequence: None,
            claim: Claim {
                issued_unix_ms: query.issued_unix_ms,
                outcome: ClaimOutcome::Open,
                request_id: Arc::clone(&query.request_id),
                token,
            },
            claim_version: None,
            free_retries: 0,
            earlier_attempts_not_run: query.first_attempt,
            next_send_cost: SendCost::First,
            query,
            retry_after_us: 0,
            sends: 0,
            sent_version: None,
            stage: WriteStage::Routing,
            timer_id: 0,
            takeovers: 0,
            tried: Vec::new(),
            waits: 0,
        }
    }

    /// Range that holds the key alone.
    pub const fn range(&self) -> KeyRange {
        KeyRange {
            start: self.query.key,
            end: self.query.key + 1,
        }
    }

    /// Verdict while nothing is sent under the claim of this attempt. Holding the claim
    /// proves that no other attempt with this id has run.
    pub const fn verdict_before_send(&self) -> Verdict {
        if self.earlier_attempts_not_run || self.claim_version.is_some() {
            Verdict::NotRun
        } else {
            Verdict::MayHaveRun
        }
    }

    /// Answer to a write that a target ran at `version`.
    pub fn success(&self, version: IndexVersion) -> Answer {
        let requested = self.range();
        Answer {
            coverage: Coverage {
                absent: Vec::new(),
                read: vec![requested],
                requested,
            },
            retry_after_ms: None,
            rows: Vec::new(),
            snapshot: Some(version),
            status: AnswerStatus::Whole,
            verdict: Verdict::Ran,
        }
    }

    /// Refusal with the given verdict.
    pub fn refusal(&self, reason: AbsentReason, verdict: Verdict, retry_ms: u64) -> Answer {
        let status = AnswerStatus::Refused(reason);
        self.without_result(status, reason, verdict, retry_ms)
    }

    /// Answer to a write that may have run.
    pub fn failure(&self, reason: FailureReason, retry_ms: u64) -> Answer {
        let status = AnswerStatus::Failed(reason);
        let verdict = Verdict::MayHaveRun;
        self.without_result(status, AbsentReason::Failed(reason), verdict, retry_ms)
    }

    fn without_result(
        &self,
        status: AnswerStatus,
        reason: AbsentReason,
        verdict: Verdict,
        retry_ms: u64,
    ) -> Answer {
        Answer {
            coverage: Coverage::nothing(self.range(), reason),
            retry_after_ms: Some(retry_ms),
            rows: Vec::new(),
            snapshot: None,
            status,
            verdict,
        }
    }
}
