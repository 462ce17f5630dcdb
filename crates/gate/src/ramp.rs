use wigeonhall_types::ColdBound;

/// What a round of replies or a failure did to the allowance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RampChange {
    /// Doubled, still below the slots.
    Doubled,
    /// Reached the slots.
    Full,
    /// Halved.
    Halved,
    /// Unchanged.
    None,
}

/// Concurrency and rate allowed at a replica.
///
/// Requests and probes carry the `step` in force when they were sent. A reply
/// moves the allowance only if it carries the current step.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ramp {
    /// Requests that may run at once; `u32::MAX` once it reached the slots.
    allowance: u32,
    /// First step of the current state of the target: replies of earlier steps
    /// say nothing about it.
    base_step: u64,
    /// Starts allowed in any one second, at least 1; `None` unless cold.
    rate: Option<u32>,
    /// Increases with each change of the allowance and each new base.
    step: u64,
    /// Successful replies of the current step.
    successes: u32,
}

impl Ramp {
    /// A ramp at the cold bound.
    pub(crate) fn cold(bound: ColdBound) -> Self {
        Self {
            allowance: bound.slots.max(1),
            base_step: 0,
            rate: Some(bound.requests_per_s.max(1)),
            step: 0,
            successes: 0,
        }
    }

    /// Returns to the cold bound, or to half of the allowance if that is less.
    pub(crate) fn restart(&mut self, bound: ColdBound) {
        let halved = (self.allowance / 2, self.rate.map(|rate| rate / 2));
        self.allowance = bound.slots.min(halved.0).max(1);
        self.rate = Some(
            bound
                .requests_per_s
                .min(halved.1.unwrap_or(u32::MAX))
                .max(1),
        );
        self.rebase();
    }

    /// Continues where a previous owner stopped; an allowance below the slots
    /// means that the replica is cold.
    pub(crate) fn hand_over(&mut self, bound: ColdBound, slots: u32, allowance: u32) {
        if allowance >= slots {
            self.allowance = u32::MAX;
            self.rate = None;
        } else {
            let allowance = allowance.max(1);
            let rate = u64::from(bound.requests_per_s) * u64::from(allowance)
                / u64::from(bound.slots.max(1));
            self.allowance = allowance;
            self.rate = Some(u32::try_from(rate).unwrap_or(u32::MAX).max(1));
        }
        self.rebase();
    }

    /// Sets the cold bound without regard to the past.
    pub(crate) fn reset(&mut self, bound: ColdBound) {
        self.allowance = bound.slots.max(1);
        self.rate = Some(bound.requests_per_s.max(1));
        self.rebase();
    }

    /// Disregards replies to whatever was sent before.
    pub(crate) const fn rebase(&mut self) {
        self.advance();
        self.base_step = self.step;
    }

    /// Takes a successful reply.
    pub(crate) fn succeed(&mut self, step: u64, slots: u32) -> RampChange {
        if step != self.step || self.allowance == u32::MAX {
            return RampChange::None;
        }
        self.successes += 1;
        if self.successes < self.allowance {
            return RampChange::None;
        }
        self.advance();
        self.allowance = self.allowance.saturating_mul(2);
        if self.allowance >= slots {
            self.allowance = u32::MAX;
            self.rate = None;
            return RampChange::Full;
        }
        self.rate = self.rate.map(|rate| rate.saturating_mul(2));
        RampChange::Doubled
    }

    /// Takes a shed request or an error. Failures of one step halve once.
    pub(crate) fn fail(&mut self, step: u64, slots: u32) -> RampChange {
        if step != self.step {
            return RampChange::None;
        }
        self.advance();
        self.allowance = (self.allowance.min(slots) / 2).max(1);
        self.rate = self.rate.map(|rate| (rate / 2).max(1));
        RampChange::Halved
    }

    /// Requests that may run at once.
    pub(crate) fn capacity(&self, slots: u32) -> u32 {
        self.allowance.min(slots)
    }

    /// Allowance for a new owner: below the slots unless the ramp is full.
    pub(crate) fn allowance(&self, slots: u32) -> u32 {
        if self.rate.is_some() {
            self.allowance.min(slots.saturating_sub(1))
        } else {
            self.capacity(slots)
        }
    }

    pub(crate) const fn is_cold(&self) -> bool {
        self.rate.is_some()
    }

    /// Whether something sent at `step` was sent to the target as it is now.
    pub(crate) const fn is_current(&self, step: u64) -> bool {
        step >= self.base_step
    }

    pub(crate) const fn rate(&self) -> Option<u32> {
        self.rate
    }

    pub(crate) const fn step(&self) -> u64 {
        self.step
    }

    const fn advance(&mut self) {
        self.step += 1;
        self.successes = 0;
    }
}
