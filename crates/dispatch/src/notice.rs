/// What a replica asks of a node in an answer, whatever came of the request.
///
/// It binds the node until the replica starts anew.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Notice {
    /// Time for which the replica wants nothing from the node; `None` if it does not say.
    pub hold_off_ms: Option<u64>,
    /// Whether the replica is about to leave.
    pub leaving: bool,
}

/// Longest time for which a replica can hold a node off.
const HOLD_OFF_MAX_MS: u64 = 3_600_000;

/// Notices of a replica that are in force.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Standing {
    /// Time until which the replica wants nothing.
    pub(crate) held_until_us: u64,
    /// Whether the replica is about to leave.
    pub(crate) leaving: bool,
}

impl Standing {
    /// Takes in a notice; returns whether it changes anything.
    pub(crate) fn apply_notice(&mut self, now_us: u64, notice: Notice) -> bool {
        let held_ms = notice.hold_off_ms.unwrap_or(0).min(HOLD_OFF_MAX_MS);
        let held_until_us = now_us + held_ms * 1_000;
        let news =
            (notice.leaving && !self.leaving) || held_until_us > self.held_until_us.max(now_us);
        self.held_until_us = self.held_until_us.max(held_until_us);
        self.leaving |= notice.leaving;
        news
    }

    /// Whether the replica wants nothing at the moment.
    pub(crate) const fn holds_off(&self, now_us: u64) -> bool {
        now_us < self.held_until_us
    }
}
