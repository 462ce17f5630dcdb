/// Maximum duration of a poll for which events were ready when it began.
const IMMEDIATE_US: u64 = 1_000;

/// Timer delay above which the process is assumed to have been paused by its host meanwhile.
const TIMER_SLACK_US: u64 = 50_000;

/// One poll of an event loop for events. Times are in microseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventPoll {
    /// Time at which the poll began.
    pub began_us: u64,
    /// Time up to which earlier polls have returned all events; not after `began_us`.
    pub known_until_us: u64,
    /// Time of the next timer, at which the poll was to end at the latest.
    pub timer_due_us: u64,
}

impl EventPoll {
    /// Returns the earliest time at which an event that the poll returned at `found_us` may
    /// have arrived.
    ///
    /// A poll that ends at once returns events that arrived while the loop was busy. A poll
    /// that had to wait returns events that have just arrived, unless the process was paused
    /// meanwhile, which shows in an overdue timer.
    #[must_use]
    pub const fn earliest_arrival_us(&self, found_us: u64) -> u64 {
        if found_us <= self.began_us + IMMEDIATE_US {
            self.known_until_us
        } else {
            self.known_after_us(found_us)
        }
    }

    /// Returns the time up to which all events have been returned once the poll has ended at
    /// `ended_us`.
    ///
    /// If the process was paused, the poll may end without the events that arrived meanwhile.
    #[must_use]
    pub const fn known_after_us(&self, ended_us: u64) -> u64 {
        if ended_us > self.timer_due_us + TIMER_SLACK_US {
            self.began_us
        } else {
            ended_us
        }
    }
}
