use crate::RateLimit;
use crate::rate_limit::RateLimitState;

/// What a replica asks of its callers in a response, whatever the result of the request: to
/// stop sending to it, because it is draining, to send nothing for a time, the hold-off, or to stay
/// within a rate.
///
/// A notice that the replica is draining remains in force until the replica restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Length of the hold-off; `None` if the response states none.
    pub hold_off_ms: Option<u64>,
    /// Whether the replica is draining.
    pub draining: bool,
    /// Rate that the replica accepts from all nodes together.
    pub rate_limit: RateLimit,
}

/// Maximum hold-off; a longer one in a notice is reduced to this.
const HOLD_OFF_MAX_MS: u64 = 3_600_000;

/// The notices of a replica that are in force, combined.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NoticeState {
    /// End of the hold-off; no request is sent before this time.
    pub(crate) hold_off_until_us: u64,
    /// Whether the replica is draining.
    pub(crate) draining: bool,
    pub(crate) rate_limit: RateLimitState,
}

impl NoticeState {
    /// Applies the notice in the response to a request that was sent at `sent_us`; returns whether
    /// it changes the state.
    pub(crate) fn apply(&mut self, now_us: u64, sent_us: u64, notice: Notice) -> bool {
        let limit_changed = self.rate_limit.apply(now_us, sent_us, notice.rate_limit);
        let hold_off_ms = notice.hold_off_ms.unwrap_or(0).min(HOLD_OFF_MAX_MS);
        let hold_off_until_us = now_us + hold_off_ms * 1_000;
        let changed = limit_changed
            || (notice.draining && !self.draining)
            || hold_off_until_us > self.hold_off_until_us.max(now_us);
        self.hold_off_until_us = self.hold_off_until_us.max(hold_off_until_us);
        self.draining |= notice.draining;
        changed
    }

    /// Whether the hold-off is still in force.
    pub(crate) const fn hold_off_in_force(&self, now_us: u64) -> bool {
        now_us < self.hold_off_until_us
    }
}
