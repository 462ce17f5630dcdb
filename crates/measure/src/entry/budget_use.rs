/// Extra sub-requests a request that operators allow.
pub(crate) const EXTRA_RATIO: f64 = 0.2;

/// Extra sub-requests that operators allow in a window for each node, beyond the ratio.
pub(crate) const EXTRA_SLACK_PER_NODE: f64 = 6.4;

/// Length of the window of extra sub-requests.
pub(crate) const EXTRA_WINDOW_US: u64 = 10_000_000;

/// Counts the extra sub-requests to each shard against what operators allow.
///
/// The requests of callers count in the window of the extra sub-requests, in the one before it or in
/// the one half a window before it, whichever has most.
#[derive(Debug)]
pub(crate) struct BudgetUse {
    /// Times of the extra sub-requests to each shard, in ascending order.
    extras_us: Vec<Vec<u64>>,
    /// Times of the attempts of callers, each of which is for all shards, in ascending order.
    requests_us: Vec<u64>,
    slack: f64,
    /// Largest share of the allowance that was used in a window.
    pub(crate) worst_share: f64,
}

impl BudgetUse {
    pub(crate) fn new(nodes: usize, shards: usize) -> Self {
        Self {
            extras_us: vec![Vec::new(); shards],
            requests_us: Vec::new(),
            slack: EXTRA_SLACK_PER_NODE * nodes as f64,
            worst_share: 0.0,
        }
    }

    pub(crate) fn count_request(&mut self, now_us: u64) {
        self.requests_us.push(now_us);
    }

    pub(crate) fn count_extra(&mut self, now_us: u64, shard: usize) {
        self.extras_us[shard].push(now_us);
        let windows = [0, EXTRA_WINDOW_US / 2, EXTRA_WINDOW_US];
        let requests = windows
            .into_iter()
            .map(|before_us| count_until(&self.requests_us, now_us.saturating_sub(before_us)))
            .max()
            .unwrap_or(0);
        let allowed = self.slack + EXTRA_RATIO * requests as f64;
        let extras = count_until(&self.extras_us[shard], now_us);
        self.worst_share = self.worst_share.max(extras as f64 / allowed);
    }
}

/// Returns the number of `times_us` in the window that ends at `end_us`.
fn count_until(times_us: &[u64], end_us: u64) -> usize {
    let until = times_us.partition_point(|at_us| *at_us <= end_us);
    let Some(begin_us) = end_us.checked_sub(EXTRA_WINDOW_US) else {
        return until;
    };
    until - times_us.partition_point(|at_us| *at_us <= begin_us)
}
