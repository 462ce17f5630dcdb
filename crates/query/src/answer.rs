//! The answer to a caller: status, verdict, rows and coverage.

use wigeonhall_types::FailureReason;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::KeyRange;
use wigeonhall_types::RefusalReason;
use wigeonhall_types::Row;
use wigeonhall_types::ServiceKey;
use wigeonhall_types::Verdict;

/// Final answer to a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// Which of the requested keys were read.
    pub coverage: Coverage,
    /// Time after which the caller may retry, in milliseconds; `None` only if the status is
    /// `Whole`.
    pub retry_after_ms: Option<u64>,
    /// Rows in ascending key order, all read at `snapshot`.
    pub rows: Vec<Row>,
    /// Index version that every row was read at; `None` if nothing was read.
    pub snapshot: Option<IndexVersion>,
    /// Outcome of the request.
    pub status: AnswerStatus,
    /// Whether the request may have run.
    pub verdict: Verdict,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerStatus {
    /// Failed after a sub-request may have run.
    Failed(FailureReason),
    /// Part of the range was read, and the caller accepts partial coverage.
    Partial,
    /// Refused without a result, for this reason.
    Refused(AbsentReason),
    /// The whole range was read, or the write was executed.
    Whole,
}

/// Keys that an answer covers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Coverage {
    /// Ranges that were not read; together with `read` they add up to `requested`.
    pub absent: Vec<AbsentRange>,
    /// Ranges that were read; sorted and disjoint.
    pub read: Vec<KeyRange>,
    /// Range that the caller requested.
    pub requested: KeyRange,
}

impl Coverage {
    /// Returns the coverage of an answer without any key read, for one reason.
    pub(crate) fn nothing(requested: KeyRange, reason: AbsentReason) -> Self {
        let absent = AbsentRange {
            range: requested,
            reason,
            service: None,
        };
        Self {
            absent: vec![absent],
            read: Vec::new(),
            requested,
        }
    }
}

/// A range that was not read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AbsentRange {
    /// Keys that were not read.
    pub range: KeyRange,
    /// Reason why they were not read.
    pub reason: AbsentReason,
    /// Service that holds the keys at the answer's snapshot, if known.
    pub service: Option<ServiceKey>,
}

/// Reason why keys were not read or a request was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AbsentReason {
    /// Another attempt holds the claim of the write, the stored record that gives one attempt the
    /// right to run it, and its outcome is not known yet.
    ClaimOpen,
    /// The request id is older than the retention time of claims.
    ClaimTooOld,
    /// The deadline passed.
    DeadlinePassed,
    /// A sub-request failed.
    Failed(FailureReason),
    /// The issue time of the write lies further in the future than the tolerated clock
    /// difference.
    IssuedInFuture,
    /// No known replica holds the keys at an index version that can serve the whole request.
    NoReplica,
    /// The node has no deployment yet, or no ownership table, which names the owner of each
    /// replica.
    NotReady,
    /// A sub-request was refused.
    Refused(RefusalReason),
    /// The object store that holds the claims of writes does not answer.
    StoreDown,
    /// The request is not expected to be answered before its deadline, or would wait too long
    /// for a slot, the right to run one request at a replica.
    TooLate,
    /// The class is not in the deployment or has a different kind than the request.
    UnknownClass,
    /// The pinned version, the index version that all of the read runs at, is gone: replicas
    /// stopped serving it while the read ran.
    VersionGone,
}
