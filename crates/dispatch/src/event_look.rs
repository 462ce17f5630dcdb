/// Time within which a look ends that has something to return from the beginning.
const IMMEDIATE_US: u64 = 1_000;

/// Lateness of a timer from which on the process did not run for a while.
const TIMER_SLACK_US: u64 = 50_000;

/// A look of an event loop for what has come from outside. Times are in microseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventPoll {
    /// When the look began.
    pub began_us: u64,
    /// Time up to which the looks before it returned all that had come, not after
    /// `began_us`.
    pub known_until_us: u64,
    /// When the look was to end at the latest, for a timer.
    pub timer_due_us: u64,
}

impl EventPoll {
    /// Earliest time at which something may have come that the look returned at `found_us`.
    ///
    /// A look that ends at once returns what came while the loop was at work. A look that
    /// had to wait returns what has just come, unless the process was stopped meanwhile,
    /// which a timer shows that is overdue.
    #[must_use]
    pub const fn earliest_arrival_us(&self, found_us: u64) -> u64 {
        if found_us <= self.began_us + IMMEDIATE_US {
            self.known_until_us
        } else {
            self.known_after_us(found_us)
        }
    }

    /// Time up to which all that had come is known once the look ended at `ended_us`.
    ///
    /// The look of a process that was stopped may end without what came meanwhile.
    #[must_use]
    pub const fn known_after_us(&self, ended_us: u64) -> u64 {
        if ended_us > self.timer_due_us + TIMER_SLACK_US {
            self.began_us
        } else {
            ended_us
        }
    }
}
