use wigeonhall_types::HandOverState;

/// Requests of a previous owner that may still run.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Inherited {
    count: u32,
    /// None of them runs from this local time on.
    until_us: u64,
}

impl Inherited {
    /// Adds what a hand-over states. A repeated hand-over adds nothing.
    pub(crate) fn add(&mut self, now_us: u64, state: &HandOverState) {
        self.count = self.running(now_us).max(state.running);
        self.until_us = self
            .until_us
            .max(now_us.saturating_add(state.running_for_us));
    }

    pub(crate) const fn running(&self, now_us: u64) -> u32 {
        if now_us < self.until_us {
            self.count
        } else {
            0
        }
    }

    pub(crate) const fn until_us(&self) -> u64 {
        self.until_us
    }
}
