use wigeonhall_query::LatencyQuantile;

/// Weight of the newest sample in the moving mean.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Divisor of the target latency; a sub-request is hedged (sent to a second replica as well) after
/// the quotient at the latest, so that the response to the hedge can still meet the target.
const MAX_HEDGE_DELAY_DIVISOR: u64 = 3;

/// Latencies of replicas on one route, as observed by this node.
#[derive(Clone, Debug, Default)]
pub struct RouteLatency {
    quantile: LatencyQuantile,
    /// Moving mean latency; `None` before the first sample.
    mean_us: Option<f64>,
}

impl RouteLatency {
    /// Adds a sample; returns its ratio to the mean latency.
    pub fn observe(&mut self, latency_us: u64) -> f64 {
        let ratio = self.ratio(latency_us);
        let mean_us = self.mean_us.unwrap_or(latency_us as f64);
        // A sample far above the mean is caused by a pause or a slow replica; its effect on
        // the mean is limited.
        let sample_us = (latency_us as f64).min(mean_us * 3.0);
        self.mean_us = Some(mean_us + (sample_us - mean_us) * SAMPLE_WEIGHT);
        self.quantile.observe(latency_us);
        ratio
    }

    /// Returns the ratio of a latency to the mean; 1 before the first sample.
    #[must_use]
    pub fn ratio(&self, latency_us: u64) -> f64 {
        match self.mean_us {
            Some(mean_us) if mean_us > 0.0 => latency_us as f64 / mean_us,
            _ => 1.0,
        }
    }

    /// Returns the delay in microseconds after which a sub-request without a response is hedged.
    #[must_use]
    pub fn hedge_delay_us(&self, target_latency_ms: u64) -> u64 {
        let max_delay_us = target_latency_ms.saturating_mul(1_000) / MAX_HEDGE_DELAY_DIVISOR;
        self.quantile
            .delay_us()
            .map_or(max_delay_us, |delay_us| delay_us.min(max_delay_us))
    }
}
