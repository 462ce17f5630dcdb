use std::time::Duration;
use std::time::Instant;

/// Monotonic clock that starts at 0 with the process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    pub(crate) fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    pub(crate) fn now_us(self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    /// Converts a time in microseconds since the start into an instant.
    pub(crate) fn instant(self, at_us: u64) -> tokio::time::Instant {
        (self.start + Duration::from_micros(at_us)).into()
    }
}
