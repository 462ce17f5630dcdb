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
    /// When to come back, in milliseconds; set on every refusal.
    pub retry_after_ms: Option<u64>,
    /// Rows by rising key; all from `snapshot`.
    pub rows: Vec<Row>,
    /// Version that every row comes from; `None` if nothing was read.
    pub snapshot: Option<IndexVersion>,
    /// How the request ended.
    pub status: AnswerStatus,
    /// Whether the request may have run.
    pub verdict: Verdict,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerStatus {
    /// Gave up after work had started.
    Failed(FailureReason),
    /// Part of the range was read, and the caller accepts that.
    Partial,
    /// Refused.
    Refused(AbsentReason),
    /// The whole range was read, or the write was done.
    Whole,
}

/// Which keys an answer speaks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Coverage {
    /// Ranges that were not read; together with `read` they make up `requested`.
    pub absent: Vec<AbsentRange>,
    /// Ranges that were read, sorted, not overlapping.
    pub read: Vec<KeyRange>,
    /// Range that the caller asked for.
    pub requested: KeyRange,
}

impl Coverage {
    /// Nothing of `requested` was read, for one reason.
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
    /// The keys.
    pub range: KeyRange,
    /// Why.
    pub reason: AbsentReason,
    /// Service that holds them at the answer's snapshot, if known.
    pub service: Option<ServiceKey>,
}

/// Why keys were not read, or why a request was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AbsentReason {
    /// The claim of the write is held by an attempt whose outcome is open.
    ClaimOpen,
    /// The request id is older than the time for which claims are kept.
    ClaimTooOld,
    /// The deadline passed first.
    DeadlinePassed,
    /// A sub-request failed.
    Failed(FailureReason),
    /// The issue time of the write lies further in the future than clocks may differ.
    IssuedInFuture,
    /// No replica is known that holds the keys at one common version.
    NoReplica,
    /// The node does not know the newest configuration yet.
    NotReady,
    /// A sub-request was refused.
    Refused(RefusalReason),
    /// The store that keeps the claims of writes does not answer.
    StoreDown,
    /// The request cannot be answered within its deadline.
    TooLate,
    /// The class is not in the deployment, or not of the request's kind.
    UnknownClass,
    /// The pinned version was retired while the query ran.
    VersionGone,
}
