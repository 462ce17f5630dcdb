use crate::Answer;
use crate::Claim;
use crate::QueryId;
use wigeonhall_types::AttemptId;
use wigeonhall_types::NodeKey;
use wigeonhall_types::SubRequest;

/// Output of the [`Coordinator`](crate::Coordinator).
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QueryAction {
    /// Answer the caller; the last action for `id` except the settling of a claim.
    Answer {
        /// Request that is answered.
        id: QueryId,
        /// The answer.
        answer: Answer,
    },
    /// Ask a node for the reports of the replicas it owns.
    AskReports(NodeKey),
    /// Cancel a sub-request whose result is no longer wanted.
    Cancel {
        /// Id of the sub-request.
        attempt: AttemptId,
        /// Node that it was sent to.
        node: NodeKey,
    },
    /// Create the claim of a write if the store holds none.
    CreateClaim {
        /// The claim.
        claim: Claim,
        /// Write that the claim belongs to; the result comes back under it.
        id: QueryId,
    },
    /// Send a sub-request to the owner of its replica.
    Send {
        /// Owner.
        node: NodeKey,
        /// The sub-request.
        sub: SubRequest,
    },
    /// Update the claim of a write if the object still has `version`.
    UpdateClaim {
        /// New value.
        claim: Claim,
        /// Write that the claim belongs to; the result comes back under it
        /// unless the write was answered already.
        id: QueryId,
        /// Version of the object that is replaced.
        version: u64,
    },
}
