use std::collections::BTreeSet;

use crate::hedge_budget::HedgeBudget;
use crate::latency_quantile::LatencyQuantile;
use crate::replica_view::Rank;
use wigeonhall_types::ClassKey;

/// What this node knows of a shard service.
#[derive(Clone, Debug, Default)]
pub struct ServiceView {
    /// Budget for hedges and retries.
    pub budget: HedgeBudget,
    /// Classes that depend on the service.
    pub classes: Vec<ClassKey>,
    /// Latencies from send to answer.
    pub latency: LatencyQuantile,
    /// Usable replicas, best first.
    pub ranks: BTreeSet<Rank>,
}
