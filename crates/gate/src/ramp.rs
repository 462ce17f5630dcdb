use crate::time::SECOND_US;
use wigeonhall_types::ColdBound;
use wigeonhall_types::RampState;
use wigeonhall_types::RoundState;

/// Largest number of replies that one round of a cold ramp needs. A round is the sequence of
/// successful replies in one step after which the limit doubles. Without this limit, a replica
/// with little traffic would stay cold for minutes, and so would its next owner.
const MAX_ROUND_REPLIES: u32 = 20;

/// Shortest duration of a round of a cold ramp.
const MIN_ROUND_US: u64 = SECOND_US;

/// Lowest level of a cold ramp. The cold bound is multiplied by two to the power of the level,
/// so at this level both limits are 1 for any likely cold bound.
const MIN_LEVEL: i32 = -10;

/// How a reply changed the limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RampChange {
    /// The limit doubled and is still below the slots.
    Doubled,
    /// The limit reached the slots.
    Full,
    /// The limit halved.
    Halved,
    /// The limit is unchanged.
    None,
}

/// Load that a ramp allows.
#[derive(Clone, Copy, Debug)]
enum Limit {
    /// The cold bound, both its concurrency and its rate, times two to this power.
    Cold(i32),
    /// All slots, without a rate limit.
    Full,
    /// Fewer than all slots after a failure, without a rate limit.
    Reduced(u32),
}

/// Concurrency limit and rate limit of a replica while it warms up or recovers from failures. The
/// cold bound is the configured pair of limits of a replica that may have started recently.
///
/// Requests and probes carry the `step` that was current when they were sent. A reply changes
/// the limit only if it carries the current step. Other effects of a reply need only a step
/// that belongs to the current state of the target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ramp {
    /// First step of the current state of the target. Replies to requests of earlier steps say
    /// nothing about this state, because the target may have changed since.
    first_step_of_target_state: u64,
    /// Limits of the cold ramp at level 0.
    cold_bound: ColdBound,
    limit: Limit,
    /// Time of the first successful reply in the current step.
    round_start_us: Option<u64>,
    /// Increases with each change of the limit or of `first_step_of_target_state`.
    step: u64,
    /// Successful replies in the current step.
    successes: u32,
}

impl Ramp {
    /// Creates a ramp at the cold bound.
    pub(crate) const fn cold(cold_bound: ColdBound) -> Self {
        Self {
            first_step_of_target_state: 0,
            cold_bound,
            limit: Limit::Cold(0),
            round_start_us: None,
            step: 0,
            successes: 0,
        }
    }

    /// Restarts at the cold bound.
    pub(crate) const fn reset(&mut self) {
        self.set_limit(Limit::Cold(0));
    }

    /// Restarts at the cold bound, or at half the limit if that is already at the bound or
    /// below it.
    pub(crate) fn restart_or_halve(&mut self) {
        self.set_limit(match self.limit {
            Limit::Cold(level) => Limit::Cold((level - 1).clamp(MIN_LEVEL, 0)),
            Limit::Full | Limit::Reduced(_) => Limit::Cold(0),
        });
    }

    /// Restores the ramp of the previous owner.
    pub(crate) fn restore(&mut self, now_us: u64, state: RampState) {
        let (limit, round) = match state {
            RampState::Cold { level, round } => (Limit::Cold(level.max(MIN_LEVEL)), round),
            RampState::Full => (Limit::Full, RoundState::default()),
            RampState::Reduced { allowance, round } => (Limit::Reduced(allowance.max(1)), round),
        };
        self.set_limit(limit);
        self.round_start_us = round.elapsed_us.map(|it| now_us.saturating_sub(it));
        self.successes = round.successes;
    }

    /// Returns the state of the ramp for the new owner.
    pub(crate) fn snapshot(&self, now_us: u64) -> RampState {
        let round = RoundState {
            elapsed_us: self.round_start_us.map(|it| now_us.saturating_sub(it)),
            successes: self.successes,
        };
        match self.limit {
            Limit::Cold(level) => RampState::Cold { level, round },
            Limit::Full => RampState::Full,
            Limit::Reduced(allowance) => RampState::Reduced { allowance, round },
        }
    }

    /// Sets the cold bound of a new deployment.
    pub(crate) const fn set_cold_bound(&mut self, cold_bound: ColdBound) {
        self.cold_bound = cold_bound;
    }

    /// Records a successful reply. `full_rate_per_s` is the number of requests that all slots
    /// serve in a second.
    ///
    /// A round of a cold ramp takes at least a second and as many replies as the rate limit in
    /// force allows in it, up to `MAX_ROUND_REPLIES`. If a round needed only as many replies as
    /// may run at once, a single reply would double the limit of a replica with 2 slots while
    /// the target still fills its caches.
    pub(crate) fn record_success(
        &mut self,
        now_us: u64,
        step: u64,
        slots: u32,
        full_rate_per_s: u32,
    ) -> RampChange {
        if step != self.step || matches!(self.limit, Limit::Full) {
            return RampChange::None;
        }
        self.successes += 1;
        let round_start_us = *self.round_start_us.get_or_insert(now_us);
        let rate = self.rate();
        let round_replies = rate
            .unwrap_or(0)
            .min(MAX_ROUND_REPLIES)
            .max(self.allowance(slots));
        let is_early = rate.is_some() && now_us < round_start_us + MIN_ROUND_US;
        if self.successes < round_replies || is_early {
            return RampChange::None;
        }
        self.start_step();
        self.limit = match self.limit {
            Limit::Cold(level) => Limit::Cold(level + 1),
            Limit::Full => Limit::Full,
            Limit::Reduced(allowance) => Limit::Reduced(allowance.saturating_mul(2)),
        };
        let is_full = match self.limit {
            // A ramp that was halved below the cold bound must complete a round at the bound
            // before it can be full.
            Limit::Cold(level) => {
                let rate = self.rate().unwrap_or(u32::MAX);
                level > 0 && self.allowance(slots) >= slots && rate >= full_rate_per_s
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

    /// Records a shed request or an error. Several failures in one step halve the limit once.
    pub(crate) fn record_failure(&mut self, step: u64, slots: u32) -> RampChange {
        if step != self.step {
            return RampChange::None;
        }
        self.start_step();
        self.limit = match self.limit {
            Limit::Cold(level) => Limit::Cold((level - 1).max(MIN_LEVEL)),
            Limit::Full | Limit::Reduced(_) => Limit::Reduced((self.allowance(slots) / 2).max(1)),
        };
        RampChange::Halved
    }

    /// Returns the allowance: the number of sub-requests that the replica may run at once now.
    pub(crate) fn allowance(&self, slots: u32) -> u32 {
        match self.limit {
            Limit::Cold(level) => scale(self.cold_bound.slots, level).min(slots),
            Limit::Full => slots,
            Limit::Reduced(allowance) => allowance.min(slots),
        }
    }

    pub(crate) const fn is_cold(&self) -> bool {
        matches!(self.limit, Limit::Cold(_))
    }

    /// Returns whether a request or probe sent at `step` went to the target in its current
    /// state.
    pub(crate) const fn is_of_current_target_state(&self, step: u64) -> bool {
        step >= self.first_step_of_target_state
    }

    /// Returns the number of starts allowed in any one second; `None` unless cold.
    pub(crate) fn rate(&self) -> Option<u32> {
        match self.limit {
            Limit::Cold(level) => Some(scale(self.cold_bound.requests_per_s, level)),
            Limit::Full | Limit::Reduced(_) => None,
        }
    }

    pub(crate) const fn step(&self) -> u64 {
        self.step
    }

    const fn start_step(&mut self) {
        self.step += 1;
        self.round_start_us = None;
        self.successes = 0;
    }

    const fn set_limit(&mut self, limit: Limit) {
        self.limit = limit;
        self.start_step();
        self.first_step_of_target_state = self.step;
    }
}

/// Returns `value` times two to the power of `level`, at least 1.
fn scale(value: u32, level: i32) -> u32 {
    let scaled = if level < 0 {
        value.checked_shr(level.unsigned_abs()).unwrap_or(0)
    } else {
        value.saturating_mul(2_u32.saturating_pow(level.unsigned_abs()))
    };
    scaled.max(1)
}
