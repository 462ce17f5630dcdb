use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Local monotonic clock in microseconds since the process started.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts one second after zero, so that a time of zero always
    /// lies in the past.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Current time in microseconds.
    #[must_use]
    pub fn now_us(self) -> u64 {
        1_000_000 + self.start.elapsed().as_micros() as u64
    }

    /// Time from now until `at_us`, zero if it has passed.
    #[must_use]
    pub fn until(self, at_us: u64) -> Duration {
        Duration::from_micros(at_us.saturating_sub(self.now_us()))
    }
}

/// Wall-clock time in milliseconds since the Unix epoch.
#[must_use]
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
