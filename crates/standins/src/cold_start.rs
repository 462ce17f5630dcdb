use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::ColdSettings;

/// Time in which the starts of a second may arrive. The owner spaces them over a
/// whole second; the difference is left to transport delays.
const RATE_WINDOW: Duration = Duration::from_millis(900);

/// Load that a cold target bears.
pub(crate) struct ColdStart {
    /// Requests that may run at once now.
    allowed: u32,
    /// Requests completed since `allowed` last changed.
    completed: u32,
    pub(crate) settings: ColdSettings,
    slots: u32,
    /// Starts within the last `RATE_WINDOW`, oldest first.
    starts: VecDeque<Instant>,
    pub(crate) violated: bool,
}

impl ColdStart {
    pub(crate) fn new(settings: ColdSettings, slots: u32) -> Self {
        Self {
            allowed: settings.bound.slots.max(1),
            completed: 0,
            settings,
            slots,
            starts: VecDeque::new(),
            violated: false,
        }
    }

    /// Counts a completed request; returns whether the target is warm.
    pub(crate) fn complete(&mut self) -> bool {
        self.completed += 1;
        if self.completed >= self.allowed {
            self.allowed *= 2;
            self.completed = 0;
        }
        self.allowed >= self.slots
    }

    /// Counts the start of a request; returns whether it is more load than the
    /// target bears. `running` includes the request.
    pub(crate) fn start(&mut self, now: Instant, running: u32) -> bool {
        while self
            .starts
            .front()
            .is_some_and(|&start| now.duration_since(start) >= RATE_WINDOW)
        {
            self.starts.pop_front();
        }
        self.starts.push_back(now);
        let bound = self.settings.bound;
        let rate = bound.requests_per_s * self.allowed / bound.slots.max(1);
        let violated = running > self.allowed || self.starts.len() > rate as usize;
        self.violated |= violated;
        violated
    }
}
