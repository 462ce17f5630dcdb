use wigeonhall_query::LatencyQuantile;

/// Longest timeout of a connection; in use until enough latencies are known.
const TIMEOUT_MAX_US: u64 = 500_000;

/// Shortest timeout; a busy node handles events late, and replicas in other data centres are
/// farther away than most.
const TIMEOUT_MIN_US: u64 = 100_000;

/// Ratio of the timeout to the latency that few connections exceed.
const TIMEOUT_RATIO: u64 = 8;

/// Latencies of the connections that this node opened to replicas.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectLatency {
    quantile: LatencyQuantile,
}

impl ConnectLatency {
    /// Adds the latency of a connection that was opened.
    pub(crate) fn observe(&mut self, latency_us: u64) {
        self.quantile.observe(latency_us);
    }

    /// Returns the time after which a replica that does not accept a connection is unreachable.
    ///
    /// It doubles with each of the `failures` in a row of that replica, so that a replica that is
    /// only slow to accept is reached after all.
    pub(crate) fn timeout_us(&self, failures: u32) -> u64 {
        let Some(latency_us) = self.quantile.delay_us() else {
            return TIMEOUT_MAX_US;
        };
        let timeout_us = (latency_us * TIMEOUT_RATIO).max(TIMEOUT_MIN_US);
        (timeout_us << failures.min(3)).min(TIMEOUT_MAX_US)
    }
}
