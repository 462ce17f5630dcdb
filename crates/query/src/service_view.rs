//! State of a shard service as this node knows it.

use crate::hedge_budget::HedgeBudget;
use crate::latency_quantile::LatencyQuantile;
use wigeonhall_types::ClassKey;
use wigeonhall_types::ReplicaKey;

/// State of a shard service as this node knows it.
#[derive(Clone, Debug, Default)]
pub struct ServiceView {
    /// Budget for hedges and retries.
    pub budget: HedgeBudget,
    /// Classes that depend on the service.
    pub classes: Vec<ClassKey>,
    /// Latencies between send and answer.
    pub latency: LatencyQuantile,
    /// Replicas according to the deployment.
    pub replicas: Vec<ReplicaKey>,
}
