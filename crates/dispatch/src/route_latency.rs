use wigeonhall_query::LatencyQuantile;

/// Weight of the newest sample in the usual latency.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Part of the target latency after which a send is hedged at the latest, so that the
/// second answer is still in time.
const LATEST_DELAY_DIVISOR: u64 = 3;

/// Latencies of the replicas on one route, as this node observed them.
#[derive(Clone, Debug, Default)]
pub struct RouteLatency {
    quantile: LatencyQuantile,
    /// Moving mean, in microseconds; `None` before the first sample.
    usual_us: Option<f64>,
}

impl RouteLatency {
    /// Adds a sample; returns its ratio to the usual latency.
    pub fn observe(&mut self, latency_us: u64) -> f64 {
        let ratio = self.ratio(latency_us);
        let usual_us = self.usual_us.unwrap_or(latency_us as f64);
        // A sample far above the usual one is a pause or a slow replica, not the usual.
        let sample_us = (latency_us as f64).min(usual_us * 3.0);
        self.usual_us = Some(usual_us + (sample_us - usual_us) * SAMPLE_WEIGHT);
        self.quantile.observe(latency_us);
        ratio
    }

    /// Ratio of a latency to the usual one; 1 before the first sample.
    #[must_use]
    pub fn ratio(&self, latency_us: u64) -> f64 {
        match self.usual_us {
            Some(usual_us) if usual_us > 0.0 => latency_us as f64 / usual_us,
            _ => 1.0,
        }
    }

    /// Time after which a send without an answer is hedged, in microseconds.
    #[must_use]
    pub fn hedge_delay_us(&self, target_latency_ms: u64) -> u64 {
        let latest_us = target_latency_ms.saturating_mul(1_000) / LATEST_DELAY_DIVISOR;
        self.quantile
            .delay_us()
            .map_or(latest_us, |delay_us| delay_us.min(latest_us))
    }
}
