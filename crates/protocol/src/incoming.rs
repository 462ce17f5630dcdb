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
/// A dropped reply sender ends the call without a reply; the caller's side then
/// treats it as lost.
#[derive(Debug)]
pub enum Incoming {
    /// Drop or cancel a sub-request.
    Cancel(AttemptId),
    /// A message of the fleet core.
    Gossip {
        /// Name of the sender.
        from: Arc<str>,
        /// The message.
        message: GossipMessage,
    },
    /// An old owner hands a replica over.
    HandOver(HandOverMessage),
    /// Return the reports of all owned replicas.
    Reports(Sender<Vec<NamedReport>>),
    /// Run a sub-request.
    Submit {
        /// The sub-request.
        message: SubmitMessage,
        /// Takes its result.
        reply: Sender<SubmitReply>,
    },
}
