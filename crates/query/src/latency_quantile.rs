//! Latency histogram of a service, which yields its hedge delay.

/// Histogram buckets per doubling of the latency; a bucket is at most 12.5% wide.
const BUCKETS_PER_DOUBLING: u32 = 8;

/// Doublings that the histogram covers, from 64 µs to 67 s.
const DOUBLINGS: u32 = 20;

/// Log2 of the lowest latency that the histogram distinguishes, in microseconds.
const MIN_LATENCY_LOG2: u32 = 6;

/// Number of samples at which all counts are halved, so that old latencies lose weight.
const DECAY_SAMPLES: u32 = 1_024;

/// Number of samples between two computations of the quantile.
const SAMPLES_PER_REFRESH: u32 = 16;

/// Fewest samples from which the quantile is computed.
const MIN_SAMPLES: u32 = 32;

/// Largest ratio of the delay to the median. It prevents a straggler that contributes a large
/// share of the samples from raising the delay to its own latency.
const MAX_MEDIAN_RATIO: u64 = 4;

/// Histogram of the latencies that this node observed for a service.
#[derive(Clone, Debug)]
pub struct LatencyQuantile {
    counts: Vec<u32>,
    /// 95th percentile, at most `MAX_MEDIAN_RATIO` times the median; `None` before
    /// `MIN_SAMPLES` samples.
    delay_us: Option<u64>,
    since_refresh: u32,
    /// Sum of `counts`.
    total: u32,
}

impl Default for LatencyQuantile {
    fn default() -> Self {
        Self {
            counts: vec![0; (BUCKETS_PER_DOUBLING * DOUBLINGS) as usize],
            delay_us: None,
            since_refresh: 0,
            total: 0,
        }
    }
}

impl LatencyQuantile {
    /// Adds a sample, in microseconds.
    pub fn observe(&mut self, latency_us: u64) {
        self.counts[bucket(latency_us)] += 1;
        self.total += 1;
        self.since_refresh += 1;
        if self.total >= DECAY_SAMPLES {
            for count in &mut self.counts {
                *count /= 2;
            }
            self.total = self.counts.iter().sum();
        }
        if self.total >= MIN_SAMPLES && self.since_refresh >= SAMPLES_PER_REFRESH {
            self.since_refresh = 0;
            let bound = self.quantile_us(50) * MAX_MEDIAN_RATIO;
            self.delay_us = Some(self.quantile_us(95).min(bound));
        }
    }

    /// Returns the time after which a sub-request is overdue, in microseconds; `None` before
    /// enough samples were observed.
    #[must_use]
    pub const fn delay_us(&self) -> Option<u64> {
        self.delay_us
    }

    fn quantile_us(&self, percent: u32) -> u64 {
        let rank = self.total * percent / 100;
        let mut below = 0;
        for (index, count) in self.counts.iter().enumerate() {
            below += count;
            if below > rank {
                return upper_us(index as u32);
            }
        }
        upper_us(BUCKETS_PER_DOUBLING * DOUBLINGS - 1)
    }
}

fn bucket(latency_us: u64) -> usize {
    let latency_us = latency_us.max(1 << MIN_LATENCY_LOG2);
    let log2 = latency_us.ilog2();
    let step = (latency_us >> (log2 - BUCKETS_PER_DOUBLING.ilog2())) as u32 - BUCKETS_PER_DOUBLING;
    let index = (log2 - MIN_LATENCY_LOG2) * BUCKETS_PER_DOUBLING + step;
    index.min(BUCKETS_PER_DOUBLING * DOUBLINGS - 1) as usize
}

/// Returns the first latency above bucket `index`, in microseconds.
fn upper_us(index: u32) -> u64 {
    let next = index + 1;
    u64::from(BUCKETS_PER_DOUBLING + next % BUCKETS_PER_DOUBLING)
        << (next / BUCKETS_PER_DOUBLING + MIN_LATENCY_LOG2 - BUCKETS_PER_DOUBLING.ilog2())
}
