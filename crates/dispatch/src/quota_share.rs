use crate::QuotaBounds;
use crate::TenantSpec;
use crate::TokenBucket;

/// Time without use after which a share starts with new random credit.
const RESTART_US: u64 = 10_000_000;

/// Part of the tolerance of the bound that is given to nodes without an owner.
const TOLERANCE_SHARE: f64 = 0.25;

/// The equal share of a tenant's quota that one node may admit while it reaches no owner.
///
/// It starts with random credit below one request plus the node's share of the burst. The nodes
/// together then admit what the quota allows, although each can only admit whole requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuotaShare {
    bucket: TokenBucket,
    used_us: u64,
}

impl QuotaShare {
    /// Creates the share of one of `nodes`. `random` is uniform from 0 to 1; `unconfirmed` requests
    /// were admitted shortly before and have not reached any owner.
    pub(crate) fn new(
        now_us: u64,
        spec: &TenantSpec,
        bounds: QuotaBounds,
        nodes: usize,
        random: f64,
        unconfirmed: f64,
    ) -> Self {
        let nodes = nodes.max(1) as f64;
        let tolerance = bounds.tolerance(spec.rate_per_s, spec.burst) * TOLERANCE_SHARE;
        let burst = (spec.burst + tolerance) / nodes;
        let credit = random * (1.0 + burst) - unconfirmed;
        let rate_per_s = spec.rate_per_s / nodes;
        Self {
            bucket: TokenBucket::new(now_us, rate_per_s, 1.0 + burst, credit),
            used_us: now_us,
        }
    }

    /// Whether the share was not used for so long that it must be created anew.
    pub(crate) const fn is_outdated(&self, now_us: u64) -> bool {
        now_us > self.used_us + RESTART_US
    }

    /// Adapts the share to the present quota and number of nodes.
    pub(crate) fn set_limits(
        &mut self,
        now_us: u64,
        spec: &TenantSpec,
        bounds: QuotaBounds,
        nodes: usize,
    ) {
        let nodes = nodes.max(1) as f64;
        let tolerance = bounds.tolerance(spec.rate_per_s, spec.burst) * TOLERANCE_SHARE;
        let burst = 1.0 + (spec.burst + tolerance) / nodes;
        self.bucket
            .set_limits(now_us, spec.rate_per_s / nodes, burst);
    }

    pub(crate) fn take(&mut self, now_us: u64) -> bool {
        self.used_us = now_us;
        self.bucket.take(now_us)
    }

    pub(crate) fn wait_us(&mut self, now_us: u64) -> u64 {
        self.bucket.wait_us(now_us)
    }
}
