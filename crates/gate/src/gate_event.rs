use std::sync::Arc;

use wigeonhall_types::AttemptId;
use wigeonhall_types::Deployment;
use wigeonhall_types::HandOverState;
use wigeonhall_types::NodeKey;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::SubRequest;
use wigeonhall_types::TargetReply;

/// Input of the [`Gate`](crate::Gate).
#[derive(Clone, Debug)]
pub enum GateEvent {
    /// The entry node no longer wants the result.
    Cancel(AttemptId),
    /// A deployment came into force; effective, with evacuations applied.
    Deployment(Arc<Deployment>),
    /// A question about the end of a request was answered, or failed.
    PollReply {
        /// Id of the sub-request.
        attempt: AttemptId,
        /// Replica that was asked.
        replica: ReplicaKey,
        /// What the target said: `UnknownAttempt` if the request does not run, and
        /// `Cancelled` if it runs and was told to stop.
        reply: TargetReply,
    },
    /// This node owns the replica from now on.
    Grant {
        /// Epoch of the table that says so.
        epoch: u64,
        /// The replica.
        replica: ReplicaKey,
        /// What the old owner handed over; without it the replica is cold.
        state: Option<HandOverState>,
    },
    /// Work may start until this local time; replaces the time given before.
    LeaseUntil(u64),
    /// A probe ended.
    ProbeReply {
        /// Replica that was probed.
        replica: ReplicaKey,
        /// What the target said.
        reply: TargetReply,
    },
    /// This node no longer owns the replica.
    Revoke {
        /// Epoch of the table that says so.
        epoch: u64,
        /// The replica.
        replica: ReplicaKey,
        /// New owner, if there is one to hand over to.
        successor: Option<NodeKey>,
    },
    /// A sub-request from an entry node.
    Submit(SubRequest),
    /// A request to a target ended.
    TargetReply {
        /// Id of the sub-request.
        attempt: AttemptId,
        /// What the target said.
        reply: TargetReply,
    },
    /// The time of `next_wake_us` came.
    Tick,
}
