use std::sync::Arc;

use wigeonhall_query::HedgeBudget;

use crate::ReplicaKey;

/// First requests that pay for one extra one: an eighth, below the share that
/// operators allow, since each node counts its own requests only.
pub(crate) const EXTRA_COST: u32 = 7;

/// Extra requests that a node may send in a row to one service.
pub(crate) const EXTRA_BURST: u32 = 4;

/// Key of a service in a [`Pool`](crate::Pool).
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ServiceKey(pub(crate) u32);

/// A service and its replicas.
#[derive(Debug)]
pub(crate) struct Service {
    /// Budget for hedges and retries.
    pub(crate) budget: HedgeBudget,
    /// Name in the configuration.
    pub(crate) name: Arc<str>,
    /// Replicas that are registered; each is in the arena.
    pub(crate) replicas: Vec<ReplicaKey>,
    /// Requests a second that a cold replica tolerates; 0 states no rate.
    pub(crate) cold_rate_per_s: f64,
}

impl Service {
    pub(crate) fn new(name: Arc<str>) -> Self {
        Self {
            budget: HedgeBudget::new(EXTRA_COST, EXTRA_BURST),
            name,
            replicas: Vec::new(),
            cold_rate_per_s: 0.0,
        }
    }
}
