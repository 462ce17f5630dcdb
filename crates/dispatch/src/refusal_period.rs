/// Time without a refusal after which a period of refusals has ended.
const QUIET_US: u64 = 2_000_000;

/// A period in which this node had to refuse requests to a service, without longer breaks.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RefusalPeriod {
    first_us: u64,
    last_us: u64,
}

impl RefusalPeriod {
    /// Adds a refusal; returns the time since the first one of the period.
    pub(crate) const fn record(&mut self, now_us: u64) -> u64 {
        if self.last_us == 0 || now_us > self.last_us + QUIET_US {
            self.first_us = now_us;
        }
        self.last_us = now_us;
        now_us - self.first_us
    }
}
