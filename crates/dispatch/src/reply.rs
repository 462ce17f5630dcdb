/// What came of one send to a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The replica ran the request and answered with a status that is no success.
    Failed {
        /// HTTP status.
        status: u16,
    },
    /// The request did not run there and never will.
    NotRun(NotRunCause),
    /// The replica ran the request; its whole answer is in.
    Success,
    /// The request may have run.
    Unknown(UnknownCause),
}

impl Reply {
    /// Whether the request may have run at the replica.
    #[must_use]
    pub const fn may_have_run(self) -> bool {
        !matches!(self, Self::NotRun(_))
    }
}

/// Why a request did not run at a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotRunCause {
    /// The replica said that it did not run the request.
    Busy,
    /// The address belongs to another replica now.
    OtherInstance,
    /// No connection could be opened.
    Unreachable,
    /// The replica came to be closed to requests before this one was written.
    Withdrawn,
}

/// Why nothing is known of a request that was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnknownCause {
    /// The answer belongs to another request.
    Foreign,
    /// The connection ended before the whole answer was in.
    Reset,
    /// No answer came in time.
    Silent,
    /// The answer is longer than the node can hold, or has no end.
    TooLong,
    /// A success without its receipt.
    Unproved,
}
