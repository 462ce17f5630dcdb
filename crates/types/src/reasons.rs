use serde::Deserialize;
use serde::Serialize;

/// Reason why a sub-request was refused, by the owner of the replica (the one node through which
/// all requests to it go) or by the target. A refused sub-request has not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// No slot is expected to become free within the wait that the sender allows. The sender
    /// limits the wait if it can use another replica.
    Busy,
    /// The sender cancelled the sub-request before it started.
    Cancelled,
    /// The replica is in a cold start, the time after a start in which it bears less load, and
    /// within its limits the sub-request cannot run in time.
    ColdStart,
    /// The deadline passed before the sub-request started.
    DeadlinePassed,
    /// The target is draining.
    Leaving,
    /// The owner has no valid lease, the time-limited permission to send to the target.
    NoLease,
    /// The receiver does not own the replica.
    NotOwner,
    /// Operators took the replica or its data centre out of service.
    Out,
    /// The sub-request is expected to end after its deadline, or to wait too long for its
    /// class.
    Overloaded,
    /// The target shed the request before running it.
    Shed,
    /// The receiver's deployment does not contain the replica.
    UnknownReplica,
    /// The target did not accept a connection.
    Unreachable,
}

/// Reason why a sub-request that may have run has no result.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureReason {
    /// The reply of the target could not be read.
    BadReply,
    /// The sender cancelled the sub-request while it ran.
    Cancelled,
    /// The connection to the target broke after the request was sent.
    ConnectionLost,
    /// No reply within the deadline.
    DeadlineExceeded,
    /// The owner could not be reached or did not reply.
    OwnerLost,
}
