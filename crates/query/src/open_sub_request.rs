use crate::QueryId;
use wigeonhall_types::NodeKey;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::ServiceKey;

/// Request that an open sub-request belongs to.
#[derive(Clone, Copy, Debug)]
pub enum Parent {
    /// A part of a read.
    Read { id: QueryId, part: usize },
    /// A write.
    Write(QueryId),
}

/// A sub-request without an outcome.
#[derive(Clone, Copy, Debug)]
pub struct OpenSubRequest {
    /// Counted as in flight at the replica.
    pub counted_in_flight: bool,
    /// Time until its answer, as expected at the send.
    pub expected_us: u64,
    /// Owner that it was sent to.
    pub node: NodeKey,
    /// Request that it belongs to.
    pub parent: Parent,
    /// Replica that it was sent to.
    pub replica: ReplicaKey,
    /// Local time of the send.
    pub sent_us: u64,
    /// Service of the replica.
    pub service: ServiceKey,
}

impl OpenSubRequest {
    /// Time by which it is later than expected.
    pub const fn lateness_us(&self, now_us: u64) -> u64 {
        now_us.saturating_sub(self.sent_us + self.expected_us)
    }
}
