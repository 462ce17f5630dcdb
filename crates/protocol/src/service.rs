use std::sync::Arc;

use crate::HandOverMessage;
use crate::NamedReport;
use crate::SubmitMessage;
use crate::SubmitReply;
use wigeonhall_fleet::GossipMessage;
use wigeonhall_types::AttemptId;

/// Calls that a node serves to other nodes. The owner of a replica is the one node through which
/// all requests to the replica go.
#[tarpc::service]
pub trait NodeService {
    /// Drops a sub-request that waits for a slot, or cancels a running one at its target.
    async fn cancel(attempt: AttemptId);

    /// Handles a gossip message. Replies to it are gossip messages too.
    async fn gossip(from: Arc<str>, message: GossipMessage);

    /// Accepts the hand-over of a replica, with the state that its previous owner sent.
    async fn hand_over(message: HandOverMessage);

    /// Returns the reports on the load and state of all replicas that this node owns.
    async fn reports() -> Vec<NamedReport>;

    /// Runs a sub-request once its replica has a free slot.
    async fn submit(message: SubmitMessage) -> SubmitReply;
}
