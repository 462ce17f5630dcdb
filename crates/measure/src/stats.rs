use std::collections::BTreeMap;

/// Results of one query class in one run.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ClassStats {
    /// Number of queries without an answer, by kind of refusal or failure and by verdict
    /// (whether the query ran).
    pub endings: BTreeMap<String, u64>,
    /// Longest time from arrival to refusal at the entry node, in microseconds.
    pub max_refusal_us: u64,
    /// Latencies of whole answers, which cover the entire range, measured at the caller, in
    /// microseconds.
    pub latencies_us: Vec<u64>,
    /// Queries that arrived.
    pub offered: u64,
    /// Answers that cover only part of the range.
    pub partial: u64,
    /// Sub-requests sent to targets.
    pub sent: u64,
    /// Incorrect answers: mixed versions, wrong coverage, missing or duplicate rows.
    pub wrong: u64,
}

impl ClassStats {
    /// Adds the results of another run.
    pub fn merge(&mut self, other: &Self) {
        for (ending, count) in &other.endings {
            *self.endings.entry(ending.clone()).or_default() += count;
        }
        self.max_refusal_us = self.max_refusal_us.max(other.max_refusal_us);
        self.latencies_us.extend(&other.latencies_us);
        self.offered += other.offered;
        self.partial += other.partial;
        self.sent += other.sent;
        self.wrong += other.wrong;
    }

    /// Returns the latency below which this share of the whole answers lies, in microseconds.
    #[must_use]
    pub fn quantile_us(&self, share: f64) -> u64 {
        let mut sorted = self.latencies_us.clone();
        sorted.sort_unstable();
        let index = (share * sorted.len() as f64) as usize;
        let index = index.min(sorted.len().saturating_sub(1));
        sorted.get(index).copied().unwrap_or(0)
    }

    /// Returns the share of the offered queries that got a whole answer.
    #[must_use]
    pub fn whole_share(&self) -> f64 {
        self.latencies_us.len() as f64 / self.offered.max(1) as f64
    }

    /// Returns the number of sub-requests per query that got a whole or partial answer.
    #[must_use]
    pub fn sent_per_query(&self) -> f64 {
        self.sent as f64 / (self.latencies_us.len() as f64 + self.partial as f64).max(1.0)
    }
}
