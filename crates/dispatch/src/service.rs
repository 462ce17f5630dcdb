use std::sync::Arc;

use wigeonhall_query::HedgeBudget;

use crate::ReplicaKey;

/// First requests that pay for one extra one before the operators' share is known.
pub(crate) const EXTRA_COST: u32 = 7;

/// Part of the operators' share of extra requests that the nodes use together: legs that
/// are taken back from another node are sent once more without payment.
const EXTRA_SHARE_USED: f64 = 0.85;

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

/// First requests that pay for one extra one, where operators allow `extra_share` extra
/// requests for each.
pub(crate) fn extra_cost(extra_share: f64) -> u32 {
    let used_share = (extra_share * EXTRA_SHARE_USED).max(1e-3);
    used_share.recip().ceil() as u32
}

impl Service {
    pub(crate) fn new(name: Arc<str>, extra_cost: u32) -> Self {
        Self {
            budget: HedgeBudget::new(extra_cost, EXTRA_BURST),
            name,
            replicas: Vec::new(),
            cold_rate_per_s: 0.0,
        }
    }
}
