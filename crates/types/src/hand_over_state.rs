use serde::Deserialize;
use serde::Serialize;

use crate::AttemptId;
use crate::ServedVersion;

/// State of a replica that its previous owner, the one node that sent all requests to it, sends
/// to the new owner. The target is the process at the replica's address.
///
/// Times are counted from the moment at which the state was recorded. The receiver counts them
/// from the arrival of the message, so each limit stays in force for the same time or longer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HandOverState {
    /// Identity of the target process in its latest reply.
    pub instance: Option<u64>,
    /// Whether the target replied that it is draining (takes no new requests before it stops).
    pub leaving: bool,
    /// Limits that the previous owner enforced on the load of the replica.
    pub ramp: RampState,
    /// Requests of the previous owner that may still run at the target; each occupies a slot.
    pub running: Vec<HandedOverRequest>,
    /// Index versions that the target serves, from its latest reply that lists them.
    pub served: Vec<ServedVersion>,
    /// Typical service time of the target, in microseconds; 0 if unknown.
    pub service_us: u64,
    /// Request starts in the last second.
    pub starts: RecentStarts,
}

/// A request that a previous owner sent to the target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HandedOverRequest {
    /// Attempt id of the request.
    pub attempt: AttemptId,
    /// Time until the deadline, in microseconds; 0 once it has passed.
    pub remaining_us: u64,
}

/// State of the ramp of a replica, which raises the replica's limits step by step after a cold
/// start or a failure.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RampState {
    /// Limits of a cold start: the cold bound (see [`ColdBound`](crate::ColdBound)), both its
    /// concurrency and its rate, times two to the power of `level`.
    Cold {
        /// Number of doublings; negative after failures.
        level: i32,
        /// Progress towards the next doubling.
        round: RoundState,
    },
    /// All slots, without a rate limit.
    Full,
    /// Fewer than all slots after a failure, without a rate limit.
    Reduced {
        /// Largest number of requests that run at once.
        allowance: u32,
        /// Progress towards the next doubling.
        round: RoundState,
    },
}

/// Progress of a round. A round ends, and the limits double, after enough successful replies.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RoundState {
    /// Time since the first successful reply of the round, in microseconds; `None` before it.
    pub elapsed_us: Option<u64>,
    /// Successful replies in the round so far.
    pub successes: u32,
}

/// Request starts in the last second by age: entry `i` counts the starts of age
/// `i * BUCKET_US` up to `(i + 1) * BUCKET_US`, and the last entry also those of exactly one
/// second.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecentStarts(pub [u32; Self::BUCKETS]);

impl RecentStarts {
    /// Number of entries. Ages are rounded down to whole entries, which with eight
    /// entries delays a start by an eighth of a second at most.
    pub const BUCKETS: usize = 8;

    /// Time that one entry covers, in microseconds.
    pub const BUCKET_US: u64 = 1_000_000 / Self::BUCKETS as u64;
}

impl HandOverState {
    /// Returns the state of a warm target without requests, of which nothing else is known.
    #[must_use]
    pub const fn warm() -> Self {
        Self {
            instance: None,
            leaving: false,
            ramp: RampState::Full,
            running: Vec::new(),
            served: Vec::new(),
            service_us: 0,
            starts: RecentStarts([0; RecentStarts::BUCKETS]),
        }
    }
}
