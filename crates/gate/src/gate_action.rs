use wigeonhall_types::AttemptId;
use wigeonhall_types::HandOverState;
use wigeonhall_types::NodeKey;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::ReplicaReport;
use wigeonhall_types::SubOutcome;
use wigeonhall_types::SubRequest;

/// Output of the [`Gate`](crate::Gate).
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GateAction {
    /// Ask the target to stop a request that it may still run after its deadline, or after
    /// its connection broke. One `PollReply` follows.
    PollEnd {
        /// Id of the sub-request.
        attempt: AttemptId,
        /// Replica that may run it.
        replica: ReplicaKey,
    },
    /// Ask the target to stop a running request. Its slot stays taken until the
    /// `TargetReply` of the request arrives.
    CancelAtTarget {
        /// Id of the sub-request.
        attempt: AttemptId,
        /// Replica that runs it.
        replica: ReplicaKey,
    },
    /// Close the connections to a replica as they become idle.
    CloseConnections(ReplicaKey),
    /// Tell the new owner of a replica what this node knows.
    HandOver {
        /// Epoch of the table that names the new owner.
        epoch: u64,
        /// The replica.
        replica: ReplicaKey,
        /// What this node knows.
        state: HandOverState,
        /// New owner.
        to: NodeKey,
    },
    /// Hold this many connections to a replica, and open the missing ones now.
    OpenConnections {
        /// Connections to hold.
        count: u32,
        /// The replica.
        replica: ReplicaKey,
    },
    /// Ask the target for its identity and versions, outside the slots.
    Probe(ReplicaKey),
    /// Answer the entry node; the last action for `attempt`.
    Respond {
        /// Id of the sub-request.
        attempt: AttemptId,
        /// How it ended.
        outcome: SubOutcome,
        /// What this node knows; `None` if it does not own the replica.
        report: Option<ReplicaReport>,
    },
    /// Send a sub-request to its target now. Exactly one `TargetReply` follows.
    Send(SubRequest),
}
