//! Sub-requests that have no outcome yet.

use crate::QueryId;
use wigeonhall_types::NodeKey;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::ServiceKey;

/// Request that an open sub-request belongs to.
#[derive(Clone, Copy, Debug)]
pub enum Parent {
    /// Leg `leg` of the read `id`; a leg is the share of the read that one shard service answers.
    Read { id: QueryId, leg: usize },
    /// The write with this id.
    Write(QueryId),
}

/// A request that was sent to one replica for a leg of a read or for a write, and that has no
/// outcome yet.
#[derive(Clone, Copy, Debug)]
pub struct OpenSubRequest {
    /// Whether it is included in the replica's `in_flight`; `false` once its owner is lost.
    pub counted_in_flight: bool,
    /// Time from sending to the reply, as expected when it was sent.
    pub expected_us: u64,
    /// Owner of the replica, through which all requests to the replica go; it received this one.
    pub node: NodeKey,
    /// Request that it belongs to.
    pub parent: Parent,
    /// Replica that serves it.
    pub replica: ReplicaKey,
    /// Local time at which it was sent.
    pub sent_us: u64,
    /// Service of the replica.
    pub service: ServiceKey,
}

impl OpenSubRequest {
    /// Returns how long the reply is overdue, in microseconds; 0 before the expected time.
    pub const fn lateness_us(&self, now_us: u64) -> u64 {
        now_us.saturating_sub(self.sent_us + self.expected_us)
    }
}
