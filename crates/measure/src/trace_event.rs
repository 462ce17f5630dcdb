use crate::DeploymentChange;
use crate::Step;
use wigeonhall_query::Answer;
use wigeonhall_query::Claim;
use wigeonhall_query::ClaimResult;
use wigeonhall_query::QueryId;
use wigeonhall_query::ReadQuery;
use wigeonhall_query::WriteQuery;
use wigeonhall_types::AttemptId;
use wigeonhall_types::HandOverState;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::NodeKey;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::ReplicaReport;
use wigeonhall_types::SubOutcome;
use wigeonhall_types::SubRequest;
use wigeonhall_types::TargetOutcome;
use wigeonhall_types::TargetReply;

/// An event recorded in the trace of a session.
#[derive(Clone, Debug, PartialEq)]
pub enum TraceEvent {
    /// A node answered a caller.
    Answered(NodeKey, QueryId, Answer),
    /// An owner sent a target the cancellation of a request.
    CancelledAtTarget(NodeKey, ReplicaKey, AttemptId),
    /// The store accepted a change of the deployment as this generation.
    Changed(u64, DeploymentChange),
    /// The store refused an operator's change for this reason.
    ChangeRefused(&'static str),
    /// A node changed its connections to a target to this number.
    Connected(NodeKey, ReplicaKey, u32),
    /// A node applied a generation of the deployment.
    Deployed(NodeKey, u64),
    /// An owner polled a target for whether a request still runs.
    EndPolled(NodeKey, ReplicaKey, AttemptId),
    /// The reply to such a poll arrived at the owner.
    EndPollReplied(NodeKey, ReplicaKey, AttemptId, TargetOutcome),
    /// A node became the owner of a replica.
    Granted {
        /// Epoch of the ownership table that names the owner.
        epoch: u64,
        /// New owner.
        node: NodeKey,
        /// The replica.
        replica: ReplicaKey,
        /// State handed over by the previous owner; `None` without a hand-over.
        state: Option<HandOverState>,
    },
    /// A node received a lease that is valid until this time.
    Leased(NodeKey, u64),
    /// The first node detected the loss of the second.
    NodeLost(NodeKey, NodeKey),
    /// The reply to a probe arrived at the owner.
    Probed(NodeKey, ReplicaKey, TargetReply),
    /// A read of a caller arrived at its entry node.
    Read(NodeKey, ReadQuery),
    /// A message between nodes arrived.
    Received {
        /// Sender.
        from: NodeKey,
        /// The message.
        message: Message,
        /// Receiver.
        to: NodeKey,
    },
    /// A node lost the ownership of a replica by the table of this epoch.
    Revoked(NodeKey, ReplicaKey, u64),
    /// A target switched to a new index version.
    Rolled(ReplicaKey, IndexVersion),
    /// A node sent a message.
    Sent {
        /// How the network delivers it.
        delivery: Delivery,
        /// Sender.
        from: NodeKey,
        /// The message.
        message: Message,
        /// Receiver.
        to: NodeKey,
    },
    /// An owner sent a sub-request to a target.
    SentToTarget(NodeKey, SubRequest),
    /// A step of the script was executed.
    Step(Step),
    /// A node called the store to create a claim (the record that lets one attempt at a write
    /// run), or to replace the claim at a version.
    StoreCalled(NodeKey, QueryId, Claim, Option<u64>),
    /// A node received the reply of the store, or timed out waiting for it.
    StoreReplied(NodeKey, QueryId, ClaimResult),
    /// The store executed a call of a node; `true` if the reply does not reach the node.
    StoreApplied(NodeKey, ClaimResult, bool),
    /// A target process, given by its identity, began to run a sub-request.
    RequestBegan(ReplicaKey, SubRequest, u64),
    /// A target no longer holds a request: it ran, was cancelled, was refused or was lost.
    TargetEnded(ReplicaKey, AttemptId),
    /// The reply of a target arrived at the owner.
    TargetReplied(NodeKey, ReplicaKey, AttemptId, TargetReply),
    /// A target restarted as a new process with this identity.
    TargetStarted(ReplicaKey, u64),
    /// A write of a caller arrived at its entry node.
    Write(NodeKey, WriteQuery),
}

/// A message between two nodes.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Asks for reports on the replicas that the receiver owns.
    AskReports,
    /// Cancels a sub-request.
    Cancel(AttemptId),
    /// Hands a replica over to its new owner, at the epoch of the ownership table.
    HandOver(ReplicaKey, u64, HandOverState),
    /// Carries the outcome of a sub-request.
    Reply(AttemptId, SubOutcome, Option<ReplicaReport>),
    /// Carries a report on a replica.
    Report(ReplicaKey, ReplicaReport),
    /// Asks the owner of a replica to run a sub-request.
    Submit(SubRequest),
}

/// How the network delivers a message between two nodes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Delivery {
    /// Delivered once, after the network delay.
    OnTime,
    /// Delivered twice.
    Duplicated,
    /// Delivered after an extra delay.
    Late,
    /// Not delivered.
    Lost,
}
