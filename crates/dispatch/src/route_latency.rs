use wigeonhall_query::LatencyQuantile;

use crate::Policy;
use crate::Reply;
use crate::RouteProfile;

/// Weight of the newest sample in the moving mean.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Divisor of the target latency; a sub-request is hedged (sent to a second replica as well) after
/// the quotient at the latest, so that the response to the hedge can still meet the target.
const MAX_HEDGE_DELAY_DIVISOR: u64 = 3;

/// Ratio of the median latency of a gather's parts to the fast latency of the route from which the
/// replicas count as queueing requests; without queues it is below 2.
const QUEUEING_RATIO: f64 = 2.5;

/// Largest share of the latencies that are below the fast latency.
const FAST_SHARE: f64 = 0.1;

/// Step of the fast latency for each sample, once it is known. It is small, so that the fast
/// latency doesn't follow queues that last for seconds.
const FAST_STEP: f64 = 0.002;

/// Step of the fast latency for the first samples.
const FIRST_FAST_STEP: f64 = 0.02;

/// Number of samples after which the fast latency is known.
const FAST_SAMPLES: u32 = 200;

/// Latencies of replicas on one route, as observed by this node.
#[derive(Clone, Debug, Default)]
pub struct RouteLatency {
    /// Latency of a fast reply, without a queue; estimates the lowest tenth of the latencies.
    fast_us: Option<f64>,
    /// Median latency; `None` before the first sample. Unlike the moving mean it does not follow
    /// the slowest parts, which are the last ones of each gather.
    median_us: Option<f64>,
    quantile: LatencyQuantile,
    /// Moving mean of the sizes of responses; `None` before the first one.
    response_bytes: Option<f64>,
    samples: u32,
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
        self.observe_quantiles(latency_us as f64);
        ratio
    }

    /// Records the size of a response's body.
    pub fn observe_bytes(&mut self, bytes: usize) {
        let sample = bytes as f64;
        let mean = self.response_bytes.unwrap_or(sample);
        self.response_bytes = Some(mean + (sample - mean) * SAMPLE_WEIGHT);
    }

    /// Returns the typical responses.
    #[must_use]
    pub const fn profile(&self) -> RouteProfile {
        RouteProfile {
            latency_us: self.median_us,
            response_bytes: self.response_bytes,
        }
    }

    fn observe_quantiles(&mut self, latency_us: f64) {
        let known = self.samples >= FAST_SAMPLES;
        let step = if known { FAST_STEP } else { FIRST_FAST_STEP };
        let moved = |quantile_us: Option<f64>, share: f64| {
            let quantile_us = quantile_us.unwrap_or(latency_us);
            let below = f64::from(latency_us < quantile_us);
            Some(quantile_us * (1.0 + step * (share - below)))
        };
        self.fast_us = moved(self.fast_us, FAST_SHARE);
        self.median_us = moved(self.median_us, 0.5);
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns the latency in microseconds above which a replica probably queued the request;
    /// `None` before enough samples.
    #[must_use]
    pub fn queueing_us(&self) -> Option<u64> {
        let fast_us = self.fast_us.filter(|_| self.samples >= FAST_SAMPLES)?;
        Some((fast_us * QUEUEING_RATIO) as u64)
    }

    /// Returns the ratio of a latency to the mean; 1 before the first sample.
    #[must_use]
    pub fn ratio(&self, latency_us: u64) -> f64 {
        match self.mean_us {
            Some(mean_us) if mean_us > 0.0 => latency_us as f64 / mean_us,
            _ => 1.0,
        }
    }

    /// Adds the latency of a reply if it is a success; returns its ratio to the typical latency.
    pub fn observe_reply(&mut self, policy: &Policy, reply: Reply, latency_us: u64) -> f64 {
        let median_us = self.median_us;
        let mean_ratio = if reply == Reply::Success {
            self.observe(latency_us)
        } else {
            self.ratio(latency_us)
        };
        let median_us = median_us.filter(|_| policy.median_ratio);
        median_us.map_or(mean_ratio, |median_us| {
            latency_us as f64 / median_us.max(1.0)
        })
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
