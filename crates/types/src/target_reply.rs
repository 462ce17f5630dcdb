use crate::IndexVersion;
use crate::KeyRange;
use crate::Row;
use crate::ServedVersion;

/// Reply of a target to a request or probe, or how the exchange failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetReply {
    /// Identity of the target process, if the reply stated one. A new value means that the
    /// target restarted and is cold: it bears less load at first.
    pub instance: Option<u64>,
    /// Result of the request.
    pub outcome: TargetOutcome,
    /// Versions that the target serves, in ascending order; empty if unknown.
    pub served: Vec<ServedVersion>,
}

/// Result of one request to a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TargetOutcome {
    /// The target ran the request, or is ready according to its reply to a probe. The reply to a
    /// probe has no rows.
    Answered {
        /// Keys that the reply covers.
        ranges: Vec<KeyRange>,
        /// Rows of the covered keys.
        rows: Vec<Row>,
        /// Index version of the rows.
        version: IndexVersion,
    },
    /// The reply could not be read.
    BadReply,
    /// The target confirmed the cancellation of the request.
    Cancelled,
    /// The connection broke after the request was sent.
    ConnectionLost,
    /// The target stopped the request at its deadline, or sent no reply by then.
    DeadlineExceeded,
    /// The target is draining and did not run the request.
    Draining,
    /// The target shed the request and did not run it.
    Shed {
        /// Time after which another attempt makes sense, in microseconds after the reply.
        retry_after_us: u64,
    },
    /// No connection could be opened; nothing was sent.
    Unreachable,
    /// The target runs no request with this id. Occurs only as the reply to a cancellation.
    UnknownAttempt,
    /// The target does not serve the requested version and did not run the request.
    VersionGone,
}
