/// What a replica asks of its callers in a response, whatever the result of the request: to
/// stop sending to it, because it is draining, or to send nothing for a time, the hold-off.
///
/// A notice that the replica is draining remains in force until the replica restarts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Notice {
    /// Length of the hold-off; `None` if the response states none.
    pub hold_off_ms: Option<u64>,
    /// Whether the replica is draining.
    pub draining: bool,
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
}

impl NoticeState {
    /// Applies a notice; returns whether it changes the state.
    pub(crate) fn apply(&mut self, now_us: u64, notice: Notice) -> bool {
        let hold_off_ms = notice.hold_off_ms.unwrap_or(0).min(HOLD_OFF_MAX_MS);
        let hold_off_until_us = now_us + hold_off_ms * 1_000;
        let changed = (notice.draining && !self.draining)
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
