use std::cell::Cell;

/// Longest time between a soft deadline and its answer that counts as the node's own delay. A longer
/// one comes from a request that waited on purpose, not from a slow node.
const LAG_MAX_US: u64 = 30_000;

/// Weight of a sample above the estimate; high, so that a slowdown is noticed quickly.
const RISE_WEIGHT: f64 = 0.5;

/// Weight of a sample below the estimate.
const FALL_WEIGHT: f64 = 0.1;

/// Time from which a gather is answered with the parts received so far, as an extension of its
/// response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnswerDue {
    pub(crate) due_us: u64,
}

/// Moving average of the time between a request's soft deadline, when its answer is due, and the
/// write of the answer, in microseconds.
#[derive(Debug, Default)]
pub(crate) struct AnswerLag {
    estimate_us: Cell<f64>,
}

impl AnswerLag {
    /// Adds the sample of an answer that is written now; answers that were complete before they were
    /// due tell nothing.
    pub(crate) fn observe(&self, now_us: u64, due: AnswerDue) {
        let lag_us = now_us.checked_sub(due.due_us);
        let Some(lag_us) = lag_us.filter(|lag_us| *lag_us <= LAG_MAX_US) else {
            return;
        };
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
