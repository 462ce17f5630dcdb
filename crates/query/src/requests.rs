//! Requests of callers.

use std::sync::Arc;

use wigeonhall_types::ClassKey;
use wigeonhall_types::KeyRange;

/// Identifies one attempt of a caller's request within one process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct QueryId(pub u64);

/// Coverage that a caller requires.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CoverageDemand {
    /// The whole range; a read that cannot cover it is refused or fails.
    Full,
    /// Whatever can be read before the deadline; the answer lists the ranges that are absent.
    Partial,
}

/// A caller's read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReadQuery {
    /// Query class, a kind of query that the deployment defines. A read whose class is not in the
    /// deployment or has another kind than `Read` is refused.
    pub class: ClassKey,
    /// Local time by which the request must be answered.
    pub deadline_us: u64,
    /// Whether partial coverage is enough.
    pub demand: CoverageDemand,
    /// Id of this attempt within the process.
    pub id: QueryId,
    /// Requested keys; not empty.
    pub range: KeyRange,
}

/// A caller's write, which is not idempotent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WriteQuery {
    /// Contents of the record.
    pub body: Arc<str>,
    /// Class that the caller named. A write whose class is not in the deployment or has
    /// another kind than `Write` is refused.
    pub class: ClassKey,
    /// Local time by which the request must be answered.
    pub deadline_us: u64,
    /// The caller asserts that it never sent this request id before, and that it repeats the
    /// request only after this attempt was answered or its connection closed. If the state of
    /// the claim, a record that is stored for the request id before sending, is unknown, a
    /// refusal of a first attempt reports "not run" based on this assertion alone.
    pub first_attempt: bool,
    /// Id of this attempt within the process.
    pub id: QueryId,
    /// Time at which the caller first issued the request id, by the caller's clock.
    pub issued_unix_ms: u64,
    /// Key of the record.
    pub key: u64,
    /// Time at which this node received the request, by the node's clock.
    pub received_unix_ms: u64,
    /// Id that stays the same in all attempts of the caller.
    pub request_id: Arc<str>,
}
