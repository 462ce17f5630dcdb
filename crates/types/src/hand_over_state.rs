use serde::Deserialize;
use serde::Serialize;

use crate::AttemptId;
use crate::ServedVersion;

/// What an old owner tells the new owner of a replica.
///
/// Times are counted from the moment at which the hand-over was made. A receiver counts
/// them from the arrival, which keeps each limit longer in force, never shorter.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HandOverState {
    /// Identity of the target process last seen.
    pub instance: Option<u64>,
    /// The target announced that it takes no new work.
    pub leaving: bool,
    /// Load that the old owner allowed.
    pub ramp: RampState,
    /// Requests of the old owner whose end at the target is not proved; each takes a slot.
    pub running: Vec<HandedOverRequest>,
    /// Versions last seen.
    pub served: Vec<ServedVersion>,
    /// Typical time that the target takes for a request, in microseconds.
    pub service_us: u64,
    /// Starts of the last second.
    pub starts: RecentStarts,
}

/// A request that an old owner sent.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HandedOverRequest {
    /// Its id at the target.
    pub attempt: AttemptId,
    /// Time until its deadline, in microseconds; 0 once that has passed.
    pub remaining_us: u64,
}

/// How far the ramp of a replica is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RampState {
    /// The cold bound, both concurrency and rate, times two to the power of `level`.
    Cold {
        /// Doublings; negative after failures.
        level: i32,
        /// Progress to the next doubling.
        round: RoundState,
    },
    /// The slots, at any rate.
    Full,
    /// Fewer than the slots after a failure, at any rate.
    Reduced {
        /// Requests that may run at once.
        allowance: u32,
        /// Progress to the next doubling.
        round: RoundState,
    },
}

/// Progress of a round of successful replies.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RoundState {
    /// Time since the first of them, in microseconds; `None` before it.
    pub elapsed_us: Option<u64>,
    /// Successful replies so far.
    pub successes: u32,
}

/// Starts of the last second by age: entry `i` counts those of age `i * SPAN_US` up to
/// `(i + 1) * SPAN_US`, the last one also those of exactly a second.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecentStarts(pub [u32; Self::SPANS]);

impl RecentStarts {
    /// Entries. Eight hold a start back by an eighth of a second at most.
    pub const SPANS: usize = 8;

    /// Time that one entry covers, in microseconds.
    pub const SPAN_US: u64 = 1_000_000 / Self::SPANS as u64;
}

impl HandOverState {
    /// A warm target at which nothing runs and of which nothing else is known.
    #[must_use]
    pub const fn warm() -> Self {
        Self {
            instance: None,
            leaving: false,
            ramp: RampState::Full,
            running: Vec::new(),
            served: Vec::new(),
            service_us: 0,
            starts: RecentStarts([0; RecentStarts::SPANS]),
        }
    }
}
