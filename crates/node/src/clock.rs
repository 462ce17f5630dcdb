//! Monotonic and wall clock.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Local monotonic clock in microseconds. It starts at one second, so that time zero is always
/// in the past.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts the clock.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the current time in microseconds.
    #[must_use]
    pub fn now_us(self) -> u64 {
        1_000_000 + self.start.elapsed().as_micros() as u64
    }

    /// Returns the time until `at_us`; zero if it has passed.
    #[must_use]
    pub fn until(self, at_us: u64) -> Duration {
        Duration::from_micros(at_us.saturating_sub(self.now_us()))
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
#[must_use]
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
