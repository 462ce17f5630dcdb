use std::sync::Arc;

use wigeonhall_types::ClassKey;
use wigeonhall_types::KeyRange;

/// Identifies a caller's request within one process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct QueryId(pub u64);

/// Coverage that a caller insists on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CoverageDemand {
    /// The whole range or a refusal.
    Full,
    /// What can be read in time, labelled with what is absent.
    Partial,
}

/// A caller's read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReadQuery {
    /// Class that the caller named; present in the deployment.
    pub class: ClassKey,
    /// Local time by which the caller wants the answer.
    pub deadline_us: u64,
    /// Coverage that the caller insists on.
    pub demand: CoverageDemand,
    /// Id of the request.
    pub id: QueryId,
    /// Keys that the caller asks for, not empty.
    pub range: KeyRange,
}

/// A caller's request that is not idempotent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WriteQuery {
    /// Text of the record.
    pub body: Arc<str>,
    /// Class that the caller named; its kind is `Write`.
    pub class: ClassKey,
    /// Local time by which the caller wants the answer.
    pub deadline_us: u64,
    /// The caller states that it never sent this request id before, and that it repeats
    /// it only after this attempt was answered or its connection closed. A refusal of a
    /// first attempt whose claim is unknown says "not run" on this ground alone.
    pub first_attempt: bool,
    /// Id of the request within this process.
    pub id: QueryId,
    /// Time at which the caller first issued the request id, by its clock.
    pub issued_unix_ms: u64,
    /// Key of the record.
    pub key: u64,
    /// Time at which this node received the request, by its clock.
    pub received_unix_ms: u64,
    /// Id that the caller keeps over all its attempts.
    pub request_id: Arc<str>,
}
