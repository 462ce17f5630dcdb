/// Statuses that tell a caller that its request has not run and never will.
const REFUSAL_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Result of a sub-request, one request to one replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The replica ran the request and returned a status other than success.
    Failed {
        /// HTTP status.
        status: u16,
    },
    /// The replica did not run the request and never will.
    NotRun(NotRunCause),
    /// The replica ran the request, and its whole response was received.
    Success,
    /// The replica may have run the request.
    Unknown(UnknownCause),
}

impl Reply {
    /// Returns whether the replica may have run the request.
    #[must_use]
    pub const fn may_have_run(self) -> bool {
        !matches!(self, Self::NotRun(_))
    }

    /// Returns whether the replica may have run the request, but the status of its response would
    /// tell the caller that it has not.
    #[must_use]
    pub fn resembles_refusal(self) -> bool {
        matches!(self, Self::Failed { status } if REFUSAL_STATUSES.contains(&status))
    }
}

/// Why a replica did not run a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotRunCause {
    /// The replica refused the request without running it.
    Busy,
    /// The connection was refused: no process listens at the replica's address.
    ConnectionRefused,
    /// The address now belongs to another replica.
    OtherInstance,
    /// No connection could be opened, for another reason.
    Unreachable,
    /// The replica stopped taking requests before this one was written.
    Withdrawn,
}

/// Why the result of a request that was sent is unknown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnknownCause {
    /// The connection ended before the whole response was received, and the replica refuses
    /// connections: its process has ended.
    Crashed,
    /// The response belongs to another request.
    Foreign,
    /// The status is none that a replica may end a request with, or forbids the body that follows.
    InvalidStatus,
    /// The connection ended before the whole response was received.
    Reset,
    /// No response was received in time.
    Silent,
    /// The response is longer than the node can hold, or has no end.
    TooLong,
    /// The response reports a success but has no receipt, the replica's proof that it ran the
    /// request.
    Unproved,
}
