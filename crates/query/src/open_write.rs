//! State of an open write, and the construction of its answer.
//!
//! A claim is a stored record that gives one attempt the right to run a write; it is settled
//! when its outcome is stored, and released when the stored outcome is that the write did not run.

use std::sync::Arc;

use crate::AbsentReason;
use crate::Answer;
use crate::AnswerStatus;
use crate::Claim;
use crate::ClaimOutcome;
use crate::Coverage;
use crate::WriteQuery;
use crate::sub_request_cost::SubRequestCost;
use wigeonhall_types::FailureReason;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::KeyRange;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::Verdict;

/// Progress of a write from arrival to the outcome of its sub-request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteStage {
    /// Waits for reports of replica owners before it creates its claim.
    Routing,
    /// Waits for the result of a claim action.
    Claiming,
    /// Holds the claim and waits for a replica or for reports.
    Claimed,
    /// A sub-request was sent; its outcome is not known yet.
    Sent,
}

/// A write that is not answered, or whose claim has no stored outcome yet.
#[derive(Clone, Debug)]
pub struct OpenWrite {
    /// Sequence number of the sub-request in flight.
    pub open_sequence: Option<u64>,
    /// Whether the caller was answered or disconnected. No answer is sent any more; only the
    /// claim remains to be settled.
    pub answered: bool,
    /// Claim with the token of this attempt.
    pub claim: Claim,
    /// Version of the stored claim while this attempt holds it.
    pub claim_version: Option<u64>,
    /// Retries that were not charged to the budget of the service, which bounds hedges and retries.
    pub free_retries: u32,
    /// Whether no earlier attempt has run, according to the caller and the stored claim.
    pub earlier_attempts_not_run: bool,
    /// How the next sub-request is charged to the budget of the service.
    pub next_sub_request_cost: SubRequestCost,
    /// Request of the caller.
    pub query: WriteQuery,
    /// Longest retry-after time that a refusal stated, in microseconds.
    pub retry_after_us: u64,
    /// Number of sub-requests sent.
    pub sub_requests_sent: u32,
    /// Index version at which the last sub-request had to run.
    pub sent_version: Option<IndexVersion>,
    /// What the write waits for.
    pub stage: WriteStage,
    /// Id of the current `Wait` timer; timers with another id are obsolete.
    pub timer_id: u64,
    /// Number of conditional updates sent to take over a released claim.
    pub takeovers: u32,
    /// Replicas that a sub-request was sent to. Before a retry, all of them have proved that
    /// they did not run the write.
    pub tried: Vec<ReplicaKey>,
    /// Number of times that the write waited for a replica in backoff.
    pub waits: u32,
}

impl OpenWrite {
    /// Creates a write that has no claim yet.
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
            next_sub_request_cost: SubRequestCost::First,
            query,
            retry_after_us: 0,
            sub_requests_sent: 0,
            sent_version: None,
            stage: WriteStage::Routing,
            timer_id: 0,
            takeovers: 0,
            tried: Vec::new(),
            waits: 0,
        }
    }

    /// Returns the range that contains only the key.
    pub const fn range(&self) -> KeyRange {
        KeyRange {
            start: self.query.key,
            end: self.query.key + 1,
        }
    }

    /// Returns the verdict while no sub-request was sent under the claim of this attempt.
    /// Holding the claim proves that no other attempt with this request id has run.
    pub const fn verdict_before_sending(&self) -> Verdict {
        if self.earlier_attempts_not_run || self.claim_version.is_some() {
            Verdict::NotRun
        } else {
            Verdict::MayHaveRun
        }
    }

    /// Returns the answer to a write that a target ran at `version`.
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

    /// Returns a refusal with the given verdict.
    pub fn refusal(&self, reason: AbsentReason, verdict: Verdict, retry_ms: u64) -> Answer {
        let status = AnswerStatus::Refused(reason);
        self.without_result(status, reason, verdict, retry_ms)
    }

    /// Returns the answer to a write that may have run.
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
