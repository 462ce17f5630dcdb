use std::error::Error;
use std::fmt::Display;
use std::fmt::Formatter;

use wigeonhall_types::Verdict;

/// Reason why a call to another node has no result.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProtocolError {
    /// No connection could be opened; nothing was sent.
    Unreachable,
    /// The connection broke after the call may have been sent, or no reply arrived in time.
    ReplyLost,
}

impl ProtocolError {
    /// Returns whether the call may have had an effect.
    #[must_use]
    pub const fn verdict(self) -> Verdict {
        match self {
            Self::ReplyLost => Verdict::MayHaveRun,
            Self::Unreachable => Verdict::NotRun,
        }
    }
}

impl Display for ProtocolError {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::ReplyLost => "no reply from the node; the call may have had an effect",
            Self::Unreachable => "the node does not accept connections",
        })
    }
}

impl Error for ProtocolError {}
