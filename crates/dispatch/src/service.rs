use std::cell::Cell;
use std::sync::Arc;

use crate::ExtraAllowance;
use crate::ReplicaKey;
use crate::extra_budget::ExtraBudget;
use crate::refusal_period::RefusalPeriod;
use crate::service_versions::ServiceVersions;

/// Key of a service in a [`Pool`](crate::Pool).
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ServiceKey(pub(crate) u32);

/// A service and its replicas.
#[derive(Debug)]
pub(crate) struct Service {
    /// Budget for extra sub-requests: hedges and retries.
    pub(crate) budget: ExtraBudget,
    /// Name in the configuration.
    pub(crate) name: Arc<str>,
    /// Newest period in which requests to the service were refused.
    pub(crate) refusals: Cell<RefusalPeriod>,
    /// Registered replicas; each key is valid in the pool.
    pub(crate) replicas: Vec<ReplicaKey>,
    /// Requests per second that a cold (newly started) replica accepts from all nodes together; 0
    /// means no limit.
    pub(crate) cold_rate_per_s: f64,
    /// Length of the cold start of a replica; 0 if it is not known.
    pub(crate) cold_start_us: u64,
    /// This node's share of the requests of all nodes to the service, from 0 to 1; `None` until it
    /// is known.
    pub(crate) sender_share: Option<f64>,
    /// Number of nodes in all data centres that send to the service; `None` until it is known.
    pub(crate) senders: Option<usize>,
    /// Versions that get requests.
    pub(crate) versions: ServiceVersions,
}

impl Service {
    pub(crate) fn new(name: Arc<str>, allowance: ExtraAllowance) -> Self {
        Self {
            budget: ExtraBudget::new(allowance),
            cold_rate_per_s: 0.0,
            cold_start_us: 0,
            name,
            refusals: Cell::default(),
            replicas: Vec::new(),
            sender_share: None,
            senders: None,
            versions: ServiceVersions::default(),
        }
    }
}
