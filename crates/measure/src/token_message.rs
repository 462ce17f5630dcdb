use crate::direct_world::DirectSubRequest;
use wigeonhall_types::NodeKey;

/// Queue length in a busy reply of a node that does not hold the token.
pub const UNKNOWN_LENGTH: usize = usize::MAX;

/// A message between nodes about a token, the right to use one slot of a replica.
#[derive(Clone, Copy, Debug)]
pub enum TokenMessage {
    /// Requests a token for a sub-request.
    Request {
        /// Number of times that the request was forwarded.
        hops: u32,
        sub_request: DirectSubRequest,
        token: usize,
        /// Whether to queue for a token that is in use; otherwise the reply is `Busy`.
        queue_if_busy: bool,
    },
    /// Replies that the token is in use or that the node does not hold it.
    Busy {
        queue_length: usize,
        sub_request: DirectSubRequest,
        token: usize,
        /// Whether the sub-request was to queue; it then retries after a delay.
        queue_if_busy: bool,
    },
    /// Passes the token to the receiver.
    Token(usize),
}

/// An action that [`SlotTokens`](crate::slot_tokens::SlotTokens) asks the simulation to carry out.
#[derive(Clone, Copy, Debug)]
pub enum TokenAction {
    /// Calls [`SlotTokens::check`](crate::slot_tokens::SlotTokens::check) at this time.
    CheckLater {
        at_us: u64,
        timer_version: u64,
        token: usize,
    },
    /// Sends a message from the first node to the second.
    Send(NodeKey, NodeKey, TokenMessage),
    /// Retries after a delay, because no usable replica has a token to request.
    RetryLater(DirectSubRequest),
    /// Sends the sub-request to its target.
    Dispatch(DirectSubRequest),
}
