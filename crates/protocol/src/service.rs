use std::sync::Arc;

use crate::HandOverMessage;
use crate::NamedReport;
use crate::SubmitMessage;
use crate::SubmitReply;
use wigeonhall_fleet::GossipMessage;
use wigeonhall_types::AttemptId;

/// Calls that a node serves to other nodes.
#[tarpc::service]
pub trait NodeService {
    /// Drops a waiting sub-request, or cancels a running one at its target.
    async fn cancel(attempt: AttemptId);

    /// Takes a message of the fleet core; answers are messages too.
    async fn gossip(from: Arc<str>, message: GossipMessage);

    /// Takes what the old owner of a replica knows.
    async fn hand_over(message: HandOverMessage);

    /// Returns the reports of all replicas that this node owns.
    async fn reports() -> Vec<NamedReport>;

    /// Runs a sub-request under the limits of its replica.
    async fn submit(message: SubmitMessage) -> SubmitReply;
}
