use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::ColdSettings;

/// Window over which the request rate is checked. The sender spreads requests evenly over a
/// second; the window is 100 ms shorter to allow for transport delays.
const RATE_CHECK_WINDOW: Duration = Duration::from_millis(900);

/// Load limits of a target during its cold start, and the load that they are checked against.
pub(crate) struct ColdStart {
    /// Current limit of concurrent requests.
    concurrency_limit: u32,
    /// Requests completed since `concurrency_limit` was last raised.
    completed_requests: u32,
    pub(crate) settings: ColdSettings,
    slots: u32,
    /// Start times within the last `RATE_CHECK_WINDOW`, oldest first.
    starts: VecDeque<Instant>,
    /// Whether any request of this cold start violated a limit.
    pub(crate) violated: bool,
}

impl ColdStart {
    pub(crate) fn new(settings: ColdSettings, slots: u32) -> Self {
        Self {
            concurrency_limit: settings.bound.slots.max(1),
            completed_requests: 0,
            settings,
            slots,
            starts: VecDeque::new(),
            violated: false,
        }
    }

    /// Counts a completed request and returns whether the target is now warm.
    /// The limit doubles each time a number of requests equal to it has completed.
    pub(crate) fn record_completion(&mut self) -> bool {
        self.completed_requests += 1;
        if self.completed_requests >= self.concurrency_limit {
            self.concurrency_limit *= 2;
            self.completed_requests = 0;
        }
        self.concurrency_limit >= self.slots
    }

    /// Counts the start of a request and returns whether it violates the limit of
    /// concurrent requests or of the request rate. `running` includes the request.
    pub(crate) fn record_start(&mut self, now: Instant, running: u32) -> bool {
        while self
            .starts
            .front()
            .is_some_and(|&start| now.duration_since(start) >= RATE_CHECK_WINDOW)
        {
            self.starts.pop_front();
        }
        self.starts.push_back(now);
        let bound = self.settings.bound;
        let rate = bound.requests_per_s * self.concurrency_limit / bound.slots.max(1);
        let violated = running > self.concurrency_limit || self.starts.len() > rate as usize;
        self.violated |= violated;
        violated
    }
}
