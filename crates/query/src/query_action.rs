//! Actions that the coordinator asks its node to perform.

use crate::Answer;
use crate::Claim;
use crate::QueryId;
use wigeonhall_types::AttemptId;
use wigeonhall_types::NodeKey;
use wigeonhall_types::SubRequest;

/// Action that the [`Coordinator`](crate::Coordinator) requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QueryAction {
    /// Send the answer to the caller. Only updates that settle the claim may follow for this
    /// `id`.
    Answer {
        /// Request that is answered.
        id: QueryId,
        /// The answer.
        answer: Answer,
    },
    /// Ask a node for reports on the replicas that it owns. The owner of a replica is the one node
    /// through which all requests to it go.
    AskReports(NodeKey),
    /// Cancel a sub-request whose result is no longer needed.
    Cancel {
        /// Id of the sub-request.
        attempt: AttemptId,
        /// Owner that it was sent to.
        node: NodeKey,
    },
    /// Create the claim of a write, the stored record that gives one attempt the right to run it,
    /// if the store holds none.
    CreateClaim {
        /// The claim.
        claim: Claim,
        /// Write that the claim belongs to. The result is delivered as a
        /// [`QueryEvent::Claim`](crate::QueryEvent::Claim) with this id.
        id: QueryId,
    },
    /// Send a sub-request to the owner of its replica.
    Send {
        /// Owner of the replica.
        node: NodeKey,
        /// The sub-request.
        sub: SubRequest,
    },
    /// Update the claim of a write if the stored object still has `version`.
    UpdateClaim {
        /// New value of the claim.
        claim: Claim,
        /// Write that the claim belongs to. The result is delivered as a
        /// [`QueryEvent::Claim`](crate::QueryEvent::Claim) with this id, unless the write was
        /// already answered.
        id: QueryId,
        /// Expected version of the stored object.
        version: u64,
    },
}
