use crate::time::SECOND_US;
use wigeonhall_types::ColdBound;
use wigeonhall_types::RampState;
use wigeonhall_types::RoundState;

/// Most replies that one round of a cold ramp needs. A replica with little traffic would
/// otherwise stay cold for minutes, and so would its next owner.
const ROUND_REPLIES: u32 = 20;

/// Shortest time of a round of a cold ramp.
const ROUND_US: u64 = SECOND_US;

/// Lowest level of a cold ramp; both limits are 1 there for any likely bound.
const LEVEL_MIN: i32 = -10;

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

/// Load that a ramp allows.
#[derive(Clone, Copy, Debug)]
enum Limit {
    /// The cold bound, both concurrency and rate, times two to this power.
    Cold(i32),
    /// The slots, at any rate.
    Full,
    /// Fewer than the slots after a failure, at any rate.
    Reduced(u32),
}

/// Concurrency and rate allowed at a replica.
///
/// Requests and probes carry the `step` in force when they were sent. A reply
/// moves the limit only if it carries the current step.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ramp {
    /// First step of the current state of the target: replies of earlier steps
    /// say nothing about it.
    base_step: u64,
    bound: ColdBound,
    limit: Limit,
    /// Time of the first successful reply of the current step.
    since_us: Option<u64>,
    /// Increases with each change of the limit and each new base.
    step: u64,
    /// Successful replies of the current step.
    successes: u32,
}

impl Ramp {
    /// A ramp at the cold bound.
    pub(crate) const fn cold(bound: ColdBound) -> Self {
        Self {
            base_step: 0,
            bound,
            limit: Limit::Cold(0),
            since_us: None,
            step: 0,
            successes: 0,
        }
    }

    /// Returns to the cold bound.
    pub(crate) const fn reset(&mut self) {
        self.rebase(Limit::Cold(0));
    }

    /// Returns to the cold bound, or halves a limit that is already that low.
    pub(crate) fn restart(&mut self) {
        self.rebase(match self.limit {
            Limit::Cold(level) => Limit::Cold((level - 1).clamp(LEVEL_MIN, 0)),
            Limit::Full | Limit::Reduced(_) => Limit::Cold(0),
        });
    }

    /// Continues where a previous owner stopped.
    pub(crate) fn adopt(&mut self, now_us: u64, state: RampState) {
        let (limit, round) = match state {
            RampState::Cold { level, round } => (Limit::Cold(level.max(LEVEL_MIN)), round),
            RampState::Full => (Limit::Full, RoundState::default()),
            RampState::Reduced { allowance, round } => (Limit::Reduced(allowance.max(1)), round),
        };
        self.rebase(limit);
        self.since_us = round.elapsed_us.map(|it| now_us.saturating_sub(it));
        self.successes = round.successes;
    }

    /// State for a new owner.
    pub(crate) fn state(&self, now_us: u64) -> RampState {
        let round = RoundState {
            elapsed_us: self.since_us.map(|it| now_us.saturating_sub(it)),
            successes: self.successes,
        };
        match self.limit {
            Limit::Cold(level) => RampState::Cold { level, round },
            Limit::Full => RampState::Full,
            Limit::Reduced(allowance) => RampState::Reduced { allowance, round },
        }
    }

    /// Takes the bound of a deployment.
    pub(crate) const fn set_bound(&mut self, bound: ColdBound) {
        self.bound = bound;
    }

    /// Takes a successful reply. `full_rate` is what the slots do in a second.
    ///
    /// A round of a cold ramp takes at least a second and as many replies as the present
    /// rate allows in it, up to `ROUND_REPLIES`. A round of as many replies as may run at
    /// once would lift the bound of a replica with 2 slots after one reply, while the
    /// target still fills its caches.
    pub(crate) fn succeed(
        &mut self,
        now_us: u64,
        step: u64,
        slots: u32,
        full_rate: u32,
    ) -> RampChange {
        if step != self.step || matches!(self.limit, Limit::Full) {
            return RampChange::None;
        }
        self.successes += 1;
        let since_us = *self.since_us.get_or_insert(now_us);
        let rate = self.rate();
        let round = rate
            .unwrap_or(0)
            .min(ROUND_REPLIES)
            .max(self.capacity(slots));
        let early = rate.is_some() && now_us < since_us + ROUND_US;
        if self.successes < round || early {
            return RampChange::None;
        }
        self.advance();
        self.limit = match self.limit {
            Limit::Cold(level) => Limit::Cold(level + 1),
            Limit::Full => Limit::Full,
            Limit::Reduced(allowance) => Limit::Reduced(allowance.saturating_mul(2)),
        };
        let is_full = match self.limit {
            // A halved ramp first completes a round at the bound itself.
            Limit::Cold(level) => {
                let rate = self.rate().unwrap_or(u32::MAX);
                level > 0 && self.capacity(slots) >= slots && rate >= full_rate
            }
            Limit::Full => true,
            Limit::Reduced(allowance) => allowance >= slots,
        };
        if is_full {
            self.limit = Limit::Full;
            return RampChange::Full;
        }
        RampChange::Doubled
    }

    /// Takes a shed request or an error. Failures of one step halve once.
    pub(crate) fn fail(&mut self, step: u64, slots: u32) -> RampChange {
        if step != self.step {
            return RampChange::None;
        }
        self.advance();
        self.limit = match self.limit {
            Limit::Cold(level) => Limit::Cold((level - 1).max(LEVEL_MIN)),
            Limit::Full | Limit::Reduced(_) => Limit::Reduced((self.capacity(slots) / 2).max(1)),
        };
        RampChange::Halved
    }

    /// Requests that may run at once.
    pub(crate) fn capacity(&self, slots: u32) -> u32 {
        match self.limit {
            Limit::Cold(level) => scale(self.bound.slots, level).min(slots),
            Limit::Full => slots,
            Limit::Reduced(allowance) => allowance.min(slots),
        }
    }

    pub(crate) const fn is_cold(&self) -> bool {
        matches!(self.limit, Limit::Cold(_))
    }

    /// Whether something sent at `step` was sent to the target as it is now.
    pub(crate) const fn is_current(&self, step: u64) -> bool {
        step >= self.base_step
    }

    /// Starts allowed in any one second; `None` unless cold.
    pub(crate) fn rate(&self) -> Option<u32> {
        match self.limit {
            Limit::Cold(level) => Some(scale(self.bound.requests_per_s, level)),
            Limit::Full | Limit::Reduced(_) => None,
        }
    }

    pub(crate) const fn step(&self) -> u64 {
        self.step
    }

    const fn advance(&mut self) {
        self.step += 1;
        self.since_us = None;
        self.successes = 0;
    }

    const fn rebase(&mut self, limit: Limit) {
        self.limit = limit;
        self.advance();
        self.base_step = self.step;
    }
}

/// `value` times two to the power of `level`, at least 1.
fn scale(value: u32, level: i32) -> u32 {
    let scaled = if level < 0 {
        value.checked_shr(level.unsigned_abs()).unwrap_or(0)
    } else {
        value.saturating_mul(2_u32.saturating_pow(level.unsigned_abs()))
    };
    scaled.max(1)
}
