use std::error::Error;
use std::fmt::Display;
use std::fmt::Formatter;

use wigeonhall_types::Verdict;

/// Why a call to the platform has no result.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformError {
    /// The reply has an unexpected status or an invalid body.
    BadReply {
        /// Description of the fault.
        reason: String,
    },
    /// The platform reported a failure; the call may have taken effect.
    Failed {
        /// HTTP status.
        status: u16,
    },
    /// The request was not sent, or only a part of its header.
    NotSent {
        /// Description of the failure.
        reason: String,
    },
    /// The platform refused the request before it took effect.
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// The request was sent, at least in part, and no complete reply was received in time.
    ReplyLost {
        /// Description of the failure.
        reason: String,
    },
    /// The value is larger than the platform accepts; nothing was sent.
    TooLarge {
        /// Size of the value.
        size_bytes: usize,
    },
}

impl PlatformError {
    /// Returns whether the call may have taken effect.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        match self {
            Self::NotSent { .. } | Self::Refused { .. } | Self::TooLarge { .. } => Verdict::NotRun,
            Self::BadReply { .. } | Self::Failed { .. } | Self::ReplyLost { .. } => {
                Verdict::MayHaveRun
            }
        }
    }
}

impl Display for PlatformError {
    fn fmt(&self, f: &mut Formatter) -> std::fmt::Result {
        match self {
            Self::BadReply { reason } => write!(f, "invalid reply from the platform: {reason}"),
            Self::Failed { status } => write!(f, "the platform failed with status {status}"),
            Self::NotSent { reason } => write!(f, "request not sent to the platform: {reason}"),
            Self::Refused { status } => write!(f, "the platform refused with status {status}"),
            Self::ReplyLost { reason } => write!(f, "no reply from the platform: {reason}"),
            Self::TooLarge { size_bytes } => write!(f, "value of {size_bytes} bytes is too large"),
        }
    }
}

impl Error for PlatformError {}
