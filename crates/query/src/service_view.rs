//! Replicas, latency and budget of a shard service, as known to this node.

use crate::extra_sub_request_budget::ExtraSubRequestBudget;
use crate::latency_quantile::LatencyQuantile;
use wigeonhall_types::ClassKey;
use wigeonhall_types::ReplicaKey;

/// This node's view of a shard service.
#[derive(Clone, Debug, Default)]
pub struct ServiceView {
    /// Budget for hedges and retries.
    pub budget: ExtraSubRequestBudget,
    /// Query classes (kinds of query that callers name) whose requests use the service.
    pub classes: Vec<ClassKey>,
    /// Quantile of the time from sending a sub-request to its reply.
    pub latency: LatencyQuantile,
    /// Replicas according to the deployment.
    pub replicas: Vec<ReplicaKey>,
}
