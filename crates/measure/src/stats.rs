use std::collections::BTreeMap;

/// Results of one class in one run.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ClassStats {
    /// Answers by kind of refusal or failure and verdict.
    pub endings: BTreeMap<String, u64>,
    /// Longest time to a refusal at the entry node, in microseconds.
    pub refusal_us: u64,
    /// Latencies of whole answers as the caller sees them, in microseconds.
    pub latencies_us: Vec<u64>,
    /// Queries offered.
    pub offered: u64,
    /// Answers that state part of the range.
    pub partial: u64,
    /// Requests sent to targets.
    pub sent: u64,
    /// Answers that are wrong: mixed versions, wrong coverage, rows lost or doubled.
    pub wrong: u64,
}

impl ClassStats {
    /// Adds the results of another run.
    pub fn merge(&mut self, other: &Self) {
        for (ending, count) in &other.endings {
            *self.endings.entry(ending.clone()).or_default() += count;
        }
        self.refusal_us = self.refusal_us.max(other.refusal_us);
        self.latencies_us.extend(&other.latencies_us);
        self.offered += other.offered;
        self.partial += other.partial;
        self.sent += other.sent;
        self.wrong += other.wrong;
    }

    /// Latency below which this share of the whole answers lies, in microseconds.
    #[must_use]
    pub fn quantile_us(&self, share: f64) -> u64 {
        let mut sorted = self.latencies_us.clone();
        sorted.sort_unstable();
        let index = (share * sorted.len() as f64) as usize;
        let index = index.min(sorted.len().saturating_sub(1));
        sorted.get(index).copied().unwrap_or(0)
    }

    /// Share of the offered queries that got a whole answer.
    #[must_use]
    pub fn whole_share(&self) -> f64 {
        self.latencies_us.len() as f64 / self.offered.max(1) as f64
    }

    /// Requests to targets per query that got one.
    #[must_use]
    pub fn sent_per_query(&self) -> f64 {
        self.sent as f64 / (self.latencies_us.len() as f64 + self.partial as f64).max(1.0)
    }
}
