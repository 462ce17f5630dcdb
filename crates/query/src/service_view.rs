use crate::hedge_budget::ExtraSendBudget;
use crate::latency_quantile::LatencyQuantile;
use wigeonhall_types::ClassKey;
use wigeonhall_types::ReplicaKey;

/// What this node knows of a shard service.
#[derive(Clone, Debug, Default)]
pub struct ServiceView {
    /// Budget for hedges and retries.
    pub budget: ExtraSendBudget,
    /// Classes that depend on the service.
    pub classes: Vec<ClassKey>,
    /// Latencies from send to answer.
    pub latency: LatencyQuantile,
    /// Replicas of the deployment.
    pub replicas: Vec<ReplicaKey>,
}
