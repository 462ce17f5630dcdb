use crate::Edit;
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

/// One thing that was seen in a session.
#[derive(Clone, Debug, PartialEq)]
pub enum TraceEvent {
    /// A node answered a caller.
    Answered(NodeKey, QueryId, Answer),
    /// An owner told a target to stop a request.
    CancelledAtTarget(NodeKey, ReplicaKey, AttemptId),
    /// The store took a change of the deployment as this generation.
    Changed(u64, Edit),
    /// An operator's change was refused.
    ChangeRefused(&'static str),
    /// A node holds this many connections to a target from now on.
    Connected(NodeKey, ReplicaKey, u32),
    /// A generation of the deployment came into force at a node.
    Deployed(NodeKey, u64),
    /// An owner asked a target whether a request still runs.
    EndAsked(NodeKey, ReplicaKey, AttemptId),
    /// The answer arrived.
    EndSaid(NodeKey, ReplicaKey, AttemptId, TargetOutcome),
    /// A node became owner; with the state that it starts from.
    Granted {
        /// Epoch of the table.
        epoch: u64,
        /// New owner.
        node: NodeKey,
        /// The replica.
        replica: ReplicaKey,
        /// Handed over by the old owner.
        state: Option<HandOverState>,
    },
    /// A lease arrived at a node; valid until this time.
    Leased(NodeKey, u64),
    /// A node learned that another one is lost.
    NodeLost(NodeKey, NodeKey),
    /// A probe's reply arrived.
    Probed(NodeKey, ReplicaKey, TargetReply),
    /// A caller's read arrived.
    Read(NodeKey, ReadQuery),
    /// A message from another node arrived.
    Received {
        /// Sender.
        from: NodeKey,
        /// The message.
        message: Message,
        /// Receiver.
        to: NodeKey,
    },
    /// A node is no longer owner.
    Revoked(NodeKey, ReplicaKey, u64),
    /// A target took a new index version.
    Rolled(ReplicaKey, IndexVersion),
    /// A node sent a message.
    Sent {
        /// What becomes of it.
        fate: Fate,
        /// Sender.
        from: NodeKey,
        /// The message.
        message: Message,
        /// Receiver.
        to: NodeKey,
    },
    /// An owner sent a request to a target.
    Started(NodeKey, SubRequest),
    /// The author of the session did something.
    Step(Step),
    /// A node called the store to create a claim, or to replace the one at a version.
    StoreCalled(NodeKey, QueryId, Claim, Option<u64>),
    /// The store's reply, or the lack of one, arrived at a node.
    StoreReplied(NodeKey, QueryId, ClaimResult),
    /// The store took a call of a node.
    StoreTook(NodeKey, ClaimResult, bool),
    /// A target began to run a request.
    RequestBegan(ReplicaKey, SubRequest, u64),
    /// A target holds a request no longer.
    TargetEnded(ReplicaKey, AttemptId),
    /// The reply of a target arrived.
    TargetReplied(NodeKey, ReplicaKey, AttemptId, TargetReply),
    /// A target runs as a new process with this identity.
    TargetStarted(ReplicaKey, u64),
    /// A caller's write arrived.
    Write(NodeKey, WriteQuery),
}

/// A message between two nodes.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Asks for reports.
    AskReports,
    /// Cancels a sub-request.
    Cancel(AttemptId),
    /// Hands a replica over.
    HandOver(ReplicaKey, u64, HandOverState),
    /// Ends a sub-request.
    Reply(AttemptId, SubOutcome, Option<ReplicaReport>),
    /// Reports on a replica.
    Report(ReplicaKey, ReplicaReport),
    /// Asks the owner of a replica to run a sub-request.
    Submit(SubRequest),
}

/// What becomes of a message between two nodes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
    /// It arrives.
    Arrives,
    /// It arrives twice.
    Doubled,
    /// It arrives late.
    Late,
    /// It never arrives.
    Lost,
}
