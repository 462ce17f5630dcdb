use std::sync::Arc;

use flume::Sender;

use crate::HandOverMessage;
use crate::NamedReport;
use crate::SubmitMessage;
use crate::SubmitReply;
use wigeonhall_fleet::GossipMessage;
use wigeonhall_types::AttemptId;

/// A call from another node.
///
/// If a call's reply sender is dropped, no reply is sent, and the call fails on the calling node
/// when its time is up.
#[derive(Debug)]
pub enum IncomingCall {
    /// Drop a waiting sub-request or cancel a running one.
    Cancel(AttemptId),
    /// Handle a gossip message.
    Gossip {
        /// Name of the node that sent the message.
        from: Arc<str>,
        /// Gossip message.
        message: GossipMessage,
    },
    /// Take over a replica from its previous owner.
    HandOver(HandOverMessage),
    /// Return the reports of all owned replicas.
    Reports(Sender<Vec<NamedReport>>),
    /// Run a sub-request.
    Submit {
        /// Message with the sub-request.
        message: SubmitMessage,
        /// Channel for the reply.
        reply: Sender<SubmitReply>,
    },
}
