/// Time constant of the average.
const AVERAGING_S: f64 = 2.0;

/// A tenant's requests per second over all nodes, as an exponentially weighted average.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct QuotaDemand {
    per_s: f64,
    updated_us: u64,
}

impl QuotaDemand {
    pub(crate) fn add(&mut self, now_us: u64, count: f64) {
        self.per_s = self.per_s(now_us) + count / AVERAGING_S;
        self.updated_us = now_us;
    }

    pub(crate) fn per_s(&self, now_us: u64) -> f64 {
        let elapsed_s = now_us.saturating_sub(self.updated_us) as f64 / 1e6;
        self.per_s * (-elapsed_s / AVERAGING_S).exp()
    }
}
