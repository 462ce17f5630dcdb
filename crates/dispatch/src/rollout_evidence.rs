use std::collections::BTreeMap;
use std::sync::Arc;

/// Number of parts of a rollout whose responses are counted separately: a version may be bad only
/// later, or only under load.
pub const ROLLOUT_EPOCHS: u8 = 4;

/// Number of latency buckets; the last one holds all longer latencies.
const BUCKETS: u8 = 64;

/// Number of latency buckets for a factor of two.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Upper bound of the first latency bucket, in microseconds.
const FIRST_BUCKET_US: f64 = 500.0;

/// Responses of one version.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct VersionSample {
    /// Number of failed requests.
    pub bad: u64,
    /// Number of other requests by the bucket of their latency.
    pub good: BTreeMap<u8, u64>,
    /// Number of other requests to cold (newly started) replicas, which are slow whatever their
    /// version.
    pub good_cold: u64,
}

impl VersionSample {
    /// Returns the number of requests that did not fail and whose latency counts.
    #[must_use]
    pub fn ranked(&self) -> u64 {
        self.good.values().sum()
    }

    /// Returns the number of all requests.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.bad + self.good_cold + self.ranked()
    }

    pub(crate) fn add(&mut self, other: &Self) {
        self.bad += other.bad;
        self.good_cold += other.good_cold;
        for (bucket, count) in &other.good {
            *self.good.entry(*bucket).or_default() += count;
        }
    }
}

/// What the versions of a rollout did with requests of the same kind.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct VersionPair {
    /// Responses of the target version.
    pub new: VersionSample,
    /// Responses of the earlier version.
    pub old: VersionSample,
}

/// Responses since the request of a rollout, by the route's name and the part of the rollout in
/// which the request was sent.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RolloutTotals {
    /// Counts of each stratum.
    pub by_stratum: BTreeMap<(Arc<str>, u8), VersionPair>,
}

impl RolloutTotals {
    /// Adds the totals of another node.
    pub fn add(&mut self, other: &Self) {
        for (stratum, pair) in &other.by_stratum {
            let sum = self.by_stratum.entry(stratum.clone()).or_default();
            sum.new.add(&pair.new);
            sum.old.add(&pair.old);
        }
    }

    /// Returns the number of requests to the target version.
    #[must_use]
    pub fn new_total(&self) -> u64 {
        self.by_stratum.values().map(|pair| pair.new.total()).sum()
    }
}

/// Returns the bucket of a latency.
pub(crate) fn bucket_of(latency_us: u64) -> u8 {
    let doublings = (latency_us as f64 / FIRST_BUCKET_US).max(1.0).log2();
    let bucket = (doublings * BUCKETS_PER_DOUBLING).ceil();
    bucket.min(f64::from(BUCKETS - 1)) as u8
}
