use std::sync::Arc;

use crate::ExtraAllowance;
use crate::ReplicaKey;
use crate::extra_budget::ExtraBudget;

/// Key of a service in a [`Pool`](crate::Pool).
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ServiceKey(pub(crate) u32);

/// A service and its replicas.
#[derive(Debug)]
pub(crate) struct Service {
    /// Budget for hedges and retries.
    pub(crate) budget: ExtraBudget,
    /// Name in the configuration.
    pub(crate) name: Arc<str>,
    /// Replicas that are registered; each is in the arena.
    pub(crate) replicas: Vec<ReplicaKey>,
    /// Requests a second that a cold replica tolerates; 0 states no rate.
    pub(crate) cold_rate_per_s: f64,
    /// Nodes of all data centres that send to it; `None` before it is known.
    pub(crate) senders: Option<usize>,
}

impl Service {
    pub(crate) fn new(name: Arc<str>, allowance: ExtraAllowance) -> Self {
        Self {
            budget: ExtraBudget::new(allowance),
            cold_rate_per_s: 0.0,
            name,
            replicas: Vec::new(),
            senders: None,
        }
    }
}
