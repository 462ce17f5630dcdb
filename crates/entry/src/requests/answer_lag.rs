use std::cell::Cell;

/// Weight of a sample above the estimate; high, so that a slowdown is noticed quickly.
const RISE_WEIGHT: f64 = 0.5;

/// Weight of a sample below the estimate.
const FALL_WEIGHT: f64 = 0.1;

/// Moving average of the time between a request's soft deadline, when its answer is due, and the
/// answer, in microseconds.
#[derive(Debug, Default)]
pub(crate) struct AnswerLag {
    estimate_us: Cell<f64>,
}

impl AnswerLag {
    pub(crate) fn observe(&self, lag_us: u64) {
        let estimate_us = self.estimate_us.get();
        let difference_us = lag_us as f64 - estimate_us;
        let weight = if difference_us > 0.0 {
            RISE_WEIGHT
        } else {
            FALL_WEIGHT
        };
        self.estimate_us.set(estimate_us + difference_us * weight);
    }

    pub(crate) fn get(&self) -> u64 {
        self.estimate_us.get() as u64
    }
}
