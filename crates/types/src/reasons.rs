use serde::Deserialize;
use serde::Serialize;

/// Why a sub-request was refused; it has not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// A slot is not free soon enough for the sender, who knows another replica.
    Busy,
    /// Cancelled by the entry node before it started.
    Cancelled,
    /// The replica is in cold start and has no allowance left.
    ColdStart,
    /// The deadline passed before the sub-request started.
    DeadlinePassed,
    /// The replica drains.
    Leaving,
    /// The owner's lease is not valid.
    NoLease,
    /// The receiver does not own the replica.
    NotOwner,
    /// Operators took the replica or its data centre out.
    Out,
    /// The expected end lies past the deadline.
    Overloaded,
    /// The target shed the request before running it.
    Shed,
    /// The deployment of the receiver does not hold the replica.
    UnknownReplica,
    /// The target did not accept a connection.
    Unreachable,
}

/// Why a sub-request that may have run has no answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureReason {
    /// The reply of the target could not be read.
    BadReply,
    /// Cancelled by the entry node while it ran.
    Cancelled,
    /// The connection to the target broke after the request was sent.
    ConnectionLost,
    /// No reply within the deadline.
    DeadlineExceeded,
    /// The owner node could not be reached or did not answer.
    OwnerLost,
}
