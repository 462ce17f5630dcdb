use std::sync::Arc;

use flume::Sender;

use crate::HandOverMessage;
use crate::NamedReport;
use crate::SubmitMessage;
use crate::SubmitReply;
use wigeonhall_fleet::GossipMessage;
use wigeonhall_types::AttemptId;

/// A call from another node. The owner of a replica is the one node through which all requests
/// to the replica go.
///
/// If a call's reply sender is dropped, no reply is sent, and the call fails on the calling node
/// when its time is up.
#[derive(Debug)]
pub enum IncomingCall {
    /// Drop a sub-request that waits for a slot, or cancel a running one at its target.
    Cancel(AttemptId),
    /// Handle a message of the protocol by which nodes share membership, configuration and
    /// ownership.
    Gossip {
        /// Name of the node that sent the message.
        from: Arc<str>,
        /// Message to handle.
        message: GossipMessage,
    },
    /// Accept the hand-over of a replica, with the state that its previous owner sent.
    HandOver(HandOverMessage),
    /// Return the reports on the load and state of all replicas that this node owns.
    Reports(Sender<Vec<NamedReport>>),
    /// Run a sub-request at its replica, or refuse it.
    Submit {
        /// Message with the sub-request.
        message: SubmitMessage,
        /// Channel for the reply.
        reply: Sender<SubmitReply>,
    },
}
