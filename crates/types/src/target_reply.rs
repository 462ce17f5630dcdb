use crate::IndexVersion;
use crate::KeyRange;
use crate::Row;
use crate::ServedVersion;

/// What came back from a target for one request or probe.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetReply {
    /// Identity of the target process, if the reply held one; a new value means
    /// that the target restarted and is cold.
    pub instance: Option<u64>,
    /// Result of the request.
    pub outcome: TargetOutcome,
    /// Versions that the target serves, by rising version; empty if unknown.
    pub served: Vec<ServedVersion>,
}

/// Result of one request to a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TargetOutcome {
    /// The target ran the request, or answered the probe with no rows.
    Answered {
        /// Keys that the reply speaks for.
        ranges: Vec<KeyRange>,
        /// Rows of those keys.
        rows: Vec<Row>,
        /// Version that the rows come from.
        version: IndexVersion,
    },
    /// The reply could not be read.
    BadReply,
    /// The target confirmed that it stopped the request.
    Cancelled,
    /// The connection broke after the request was sent.
    ConnectionLost,
    /// The target stopped the request at its deadline, or sent no reply by then.
    DeadlineExceeded,
    /// The target drains and did not run the request.
    Draining,
    /// The target shed the request and did not run it.
    Shed {
        /// Earliest time for another try, in microseconds from the reply.
        retry_after_us: u64,
    },
    /// No connection could be opened; nothing was sent.
    Unreachable,
    /// The target runs no request with this id; only the reply to a cancellation.
    UnknownAttempt,
    /// The target does not serve the pinned version and did not run the request.
    VersionGone,
}
