use wigeonhall_types::AttemptId;
use wigeonhall_types::HandOverState;
use wigeonhall_types::NodeKey;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::ReplicaReport;
use wigeonhall_types::SubOutcome;
use wigeonhall_types::SubRequest;

/// Action that the [`Gate`](crate::Gate) asks its user to perform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GateAction {
    /// Ask the target whether an unconfirmed request, which it may still run, has ended, and to
    /// stop it if not. Exactly one `PollReply` follows.
    PollEnd {
        /// Attempt id of the sub-request.
        attempt: AttemptId,
        /// Replica whose target may still run the sub-request.
        replica: ReplicaKey,
    },
    /// Ask the target to stop a running request. Its slot stays occupied until the
    /// `TargetReply` of the request arrives.
    CancelAtTarget {
        /// Attempt id of the sub-request.
        attempt: AttemptId,
        /// Replica whose target runs the sub-request.
        replica: ReplicaKey,
    },
    /// Close the connections to a replica as they become idle.
    CloseConnections(ReplicaKey),
    /// Send the state of a replica to its new owner.
    HandOver {
        /// Epoch (version) of the ownership table that names the new owner.
        epoch: u64,
        /// Replica that changes its owner.
        replica: ReplicaKey,
        /// State of the replica at this node.
        state: HandOverState,
        /// Node that becomes the owner.
        to: NodeKey,
    },
    /// Keep this many connections to a replica open, and open the missing ones now.
    OpenConnections {
        /// Number of connections to keep open.
        count: u32,
        /// Replica to connect to.
        replica: ReplicaKey,
    },
    /// Ask the target for its identity and versions, without occupying a slot.
    Probe(ReplicaKey),
    /// Respond to the entry node; the last action for `attempt`.
    Respond {
        /// Attempt id of the sub-request.
        attempt: AttemptId,
        /// Final outcome of the sub-request.
        outcome: SubOutcome,
        /// Report on the replica; `None` if this node does not own it.
        report: Option<ReplicaReport>,
    },
    /// Send a sub-request to its target now. Exactly one `TargetReply` follows.
    Send(SubRequest),
}
