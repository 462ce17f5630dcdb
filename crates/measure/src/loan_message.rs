use crate::plain::Part;
use wigeonhall_types::NodeKey;

/// Stands for the number that waits for a token that an asked node does not have.
pub const UNKNOWN: usize = usize::MAX;

/// Message between nodes.
#[derive(Clone, Copy, Debug)]
pub enum LoanMessage {
    /// A sub-request asks for a token.
    Ask {
        hops: u32,
        part: Part,
        token: usize,
        /// Waits for the token; otherwise it tries another.
        waits: bool,
    },
    /// The token is in use, with this many waiting.
    Busy {
        ahead: usize,
        part: Part,
        token: usize,
        /// The sub-request did wait, or would have: it tries again later.
        waits: bool,
    },
    /// The token itself.
    Token(usize),
}

/// What follows from an event.
#[derive(Clone, Copy, Debug)]
pub enum LoanAction {
    /// Call [`Loans::look`](crate::loans::Loans::look) at this time.
    Look {
        at_us: u64,
        stamp: u64,
        token: usize,
    },
    /// Send a message.
    Send(NodeKey, NodeKey, LoanMessage),
    /// Every usable replica failed; try again later.
    TryLater(Part),
    /// Send the sub-request to its target.
    Use(Part),
}
