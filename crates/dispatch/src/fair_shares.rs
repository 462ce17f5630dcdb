use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use crate::TenantClaim;
use crate::kind_load::KindLoad;

/// Maximum number of requests in the window.
const REQUESTS_MAX: usize = 128;

/// Maximum age of a request in the window; long enough for a node that sees one request in a few
/// seconds to fill much of the window.
const AGE_MAX_US: u64 = 180_000_000;

/// Share of the common admitted share that each request has at least: a quarter, and a margin for
/// the noise of small samples.
const FLOOR: f64 = 0.26;

/// Number of requests that are assumed, beside the counted ones, to follow the tenant's weight.
/// Without evidence a tenant counts as one whose demand is its weight.
const ASSUMED_REQUESTS: f64 = 1.0;

/// Bounds of the ratio of weight to demand. The lower one bounds the range of the search for the
/// factor; the upper one keeps a tenant without recent requests from an unbounded advantage.
const RATIO_MIN: f64 = 0.01;
const RATIO_MAX: f64 = 100.0;

/// Exponent of the ratios. While the level of a node is high, all of its requests are admitted
/// alike; an exponent above 1 makes up for that while the level is low.
const SHARPNESS: f64 = 2.5;

/// Steps of the search for the factor, each of which halves the error.
const SEARCH_STEPS: u32 = 32;

/// Divides the admitted share of the gathers over one set of shards among tenants by weighted
/// max-min fairness, from a bounded window of recent requests.
///
/// A request of a tenant with weight `w` and demand `d` is admitted with the probability `min(1,
/// factor * (w / d)^`[`SHARPNESS`]`)`, but at least [`FLOOR`] of the common share. The ratio is
/// also multiplied by the usual share of the route's load and the relative share of the rank. The
/// window holds requests in proportion to the demands, so that the mean of the probabilities over
/// it is the share of all requests that is admitted.
#[derive(Debug, Default)]
pub(crate) struct FairShares {
    /// Load by kind of request, that is by name of the route.
    kinds: BTreeMap<Arc<str>, KindLoad>,
    /// Recent requests, the newest last; includes refused ones.
    window: VecDeque<WindowRequest>,
}

/// A gather that is to be admitted or refused.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GatherRequest<'a> {
    pub(crate) claim: &'a TenantClaim,
    /// Name of the route.
    pub(crate) kind: &'a Arc<str>,
    pub(crate) rank: u32,
}

#[derive(Debug)]
struct WindowRequest {
    at_us: u64,
    claim: TenantClaim,
    kind: Arc<str>,
    rank: u32,
}

impl FairShares {
    /// Records a request and returns the probability with which it is admitted, such that the share
    /// of the most urgent rank is admitted of all requests; the shares of the ranks set how much
    /// less often the others are. `nodes` is the number of nodes that callers are spread over.
    pub(crate) fn admitted_share(
        &mut self,
        now_us: u64,
        request: &GatherRequest<'_>,
        share_of_rank: impl Fn(u32) -> f64,
        nodes: usize,
    ) -> f64 {
        self.push(now_us, request);
        let share = self.newest_share(share_of_rank, nodes);
        // A request is no sign of a burst of its own kind.
        self.kinds.retain(|_, load| !load.has_ended(now_us));
        let kind = self.kinds.entry(request.kind.clone()).or_default();
        kind.record(now_us);
        share
    }

    fn push(&mut self, now_us: u64, request: &GatherRequest<'_>) {
        let oldest_us = now_us.saturating_sub(AGE_MAX_US);
        while self.window.len() >= REQUESTS_MAX
            || self.window.front().is_some_and(|it| it.at_us < oldest_us)
        {
            self.window.pop_front();
        }
        self.window.push_back(WindowRequest {
            at_us: now_us,
            claim: request.claim.clone(),
            kind: request.kind.clone(),
            rank: request.rank,
        });
    }

    fn newest_share(&self, share_of_rank: impl Fn(u32) -> f64, nodes: usize) -> f64 {
        let share = share_of_rank(0);
        if share >= 1.0 {
            return 1.0;
        }
        let floor = share * FLOOR;
        let ratios = self.ratios(nodes).into_iter().zip(&self.window);
        let ratios: Vec<f64> = ratios
            .map(|(ratio, it)| ratio * share_of_rank(it.rank) / share)
            .collect();
        let Some(newest) = ratios.last() else {
            return share;
        };
        let probability = |factor: f64, ratio: f64| (factor * ratio).clamp(floor, 1.0);
        let mean = |factor: f64| {
            let sum: f64 = ratios.iter().map(|ratio| probability(factor, *ratio)).sum();
            sum / ratios.len() as f64
        };
        let (mut low, mut high) = (0.0, 1.0 / RATIO_MIN);
        for _ in 0..SEARCH_STEPS {
            let middle = f64::midpoint(low, high);
            if mean(middle) < share {
                low = middle;
            } else {
                high = middle;
            }
        }
        probability(high, *newest)
    }

    /// Returns the ratio of weight and demand of each request of the window.
    fn ratios(&self, nodes: usize) -> Vec<f64> {
        let Some((first, last)) = self.window.front().zip(self.window.back()) else {
            return Vec::new();
        };
        let span_s = (last.at_us - first.at_us) as f64 / 1e6;
        let mut counts: BTreeMap<&Arc<str>, u32> = BTreeMap::new();
        for request in &self.window {
            *counts.entry(&request.claim.tenant).or_default() += 1;
        }
        let ratio = |request: &WindowRequest| {
            let claim = &request.claim;
            let by_demand = if let Some(demand_per_s) = claim.demand_per_s {
                claim.weight / demand_per_s.max(f64::MIN_POSITIVE)
            } else {
                // The other requests of the tenant: their expected number does not depend on this
                // one.
                let others = f64::from(counts[&claim.tenant] - 1);
                let expected = claim.weight * span_s / nodes.max(1) as f64;
                (expected + ASSUMED_REQUESTS) / (others + ASSUMED_REQUESTS)
            };
            let usual = self.kinds.get(&request.kind);
            let usual = usual.map_or(1.0, |load| load.usual_share(last.at_us));
            let ratio = (by_demand * usual).powf(SHARPNESS);
            ratio.clamp(RATIO_MIN, RATIO_MAX)
        };
        self.window.iter().map(ratio).collect()
    }
}
