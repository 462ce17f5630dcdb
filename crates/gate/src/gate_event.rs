use std::sync::Arc;

use wigeonhall_types::AttemptId;
use wigeonhall_types::Deployment;
use wigeonhall_types::HandOverState;
use wigeonhall_types::NodeKey;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::SubRequest;
use wigeonhall_types::TargetReply;

/// Event that the [`Gate`](crate::Gate) handles.
#[derive(Clone, Debug)]
pub enum GateEvent {
    /// The entry node no longer needs the result of a sub-request.
    Cancel(AttemptId),
    /// A new deployment is in force. VMs and data centres that operators took out of service are
    /// already marked in it.
    Deployment(Arc<Deployment>),
    /// A poll (`GateAction::PollEnd`) about an unconfirmed request, which may still run at its
    /// target, got a reply, or failed.
    PollReply {
        /// Attempt id of the sub-request.
        attempt: AttemptId,
        /// Replica whose target was asked.
        replica: ReplicaKey,
        /// Reply of the target: `UnknownAttempt` if the sub-request does not run, and
        /// `Cancelled` if it runs and will be stopped.
        reply: TargetReply,
    },
    /// This node becomes the owner of a replica.
    Grant {
        /// Epoch of the ownership table that names this node as owner.
        epoch: u64,
        /// Replica that this node now owns.
        replica: ReplicaKey,
        /// State that the previous owner handed over; without it, the replica starts at
        /// its cold bound.
        state: Option<HandOverState>,
    },
    /// The lease ends at this local time; replaces the earlier end.
    LeaseUntil(u64),
    /// A probe got a reply, or failed.
    ProbeReply {
        /// Replica whose target was probed.
        replica: ReplicaKey,
        /// Reply of the target, or how the probe failed.
        reply: TargetReply,
    },
    /// This node is no longer the owner of a replica.
    Revoke {
        /// Epoch (version) of the ownership table under which the ownership ends.
        epoch: u64,
        /// Replica that this node no longer owns.
        replica: ReplicaKey,
        /// New owner to hand the replica over to, if there is one.
        successor: Option<NodeKey>,
    },
    /// An entry node sent a sub-request.
    Submit(SubRequest),
    /// A request to a target got a reply, or failed.
    TargetReply {
        /// Attempt id of the sub-request.
        attempt: AttemptId,
        /// Reply of the target, or how the request failed.
        reply: TargetReply,
    },
    /// The time returned by `next_wake_us` was reached.
    Tick,
}
