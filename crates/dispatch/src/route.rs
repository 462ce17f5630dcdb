use std::cell::Cell;
use std::sync::Arc;

use crate::LegsKey;
use crate::ServiceKey;

/// Whether the requests of a route may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// A request runs at most once per request id.
    AtMostOnce,
    /// A request may run any number of times.
    Idempotent,
}

/// A route as written in the configuration.
#[derive(Clone, Debug)]
pub struct RouteSpec {
    /// Whether its requests need no API key where the configuration names tenants.
    pub allows_anonymous: bool,
    /// Host of the requests.
    pub host: Arc<str>,
    /// Whether its requests may run more than once.
    pub kind: RouteKind,
    /// Maximum number of replicas of each service that may run one request.
    pub max_attempts: u32,
    /// Name of the route.
    pub name: Arc<str>,
    /// Prefix of the requests' paths; begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// Priority of its requests; lower numbers are more urgent.
    pub priority: u32,
    /// Target of its requests.
    pub target: TargetSpec,
    /// Latency that the caller aims for; a later answer is worth less to it.
    pub target_latency_ms: u64,
    /// Timeout of a request.
    pub timeout_ms: u64,
}

/// Target of a route, with names of services.
#[derive(Clone, Debug)]
pub enum TargetSpec {
    /// One replica of each shard; the records of all parts that are greatest byte by byte are
    /// merged into the answer.
    Gather {
        /// Minimum share of the shards in a success, 0 to 1.
        min_fraction: f64,
        /// Services of the shards.
        shards: Vec<Arc<str>>,
        /// Number of records in the answer.
        top_records: usize,
    },
    /// One service.
    Service(Arc<str>),
    /// One of several services, in proportion to the weights.
    Split(Vec<(Arc<str>, f64)>),
}

impl TargetSpec {
    /// Returns the names of its services.
    pub(crate) fn service_names(&self) -> Vec<&Arc<str>> {
        match self {
            Self::Gather { shards, .. } => shards.iter().collect(),
            Self::Service(name) => vec![name],
            Self::Split(entries) => entries.iter().map(|(name, _)| name).collect(),
        }
    }
}

/// A service of a weighted split.
#[derive(Clone, Debug)]
pub struct WeightedService {
    /// Credit in the smooth weighted round robin.
    credit: Cell<f64>,
    /// Key of the service.
    pub service: ServiceKey,
    /// Weight of the service, 0 or more.
    pub weight: f64,
}

impl WeightedService {
    /// Creates a service without credit.
    #[must_use]
    pub const fn new(service: ServiceKey, weight: f64) -> Self {
        Self {
            credit: Cell::new(0.0),
            service,
            weight,
        }
    }
}

/// Target of a route, with keys of services.
#[derive(Clone, Debug)]
pub enum RouteTarget {
    /// One replica of each shard.
    Gather {
        /// Minimum number of parts in a success.
        min_parts: usize,
        /// Services of the shards.
        shards: Vec<ServiceKey>,
        /// Number of records in the answer.
        top_records: usize,
    },
    /// One service.
    Service(ServiceKey),
    /// One of several services.
    Split(Vec<WeightedService>),
}

/// Services that one request is sent to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Selection {
    /// Minimum number of parts in a success; `None` if the response of one replica is
    /// forwarded.
    pub min_parts: Option<usize>,
    /// Service of each leg.
    pub services: Vec<ServiceKey>,
}

/// A route of a configuration, with its services resolved to keys.
#[derive(Clone, Debug)]
pub struct Route {
    /// Digest of a gather's shards and `max_attempts`.
    pub legs_key: LegsKey,
    /// Priorities of the requests for gathers over the same shards, the most urgent first.
    pub priorities: Vec<u32>,
    /// The route as written in the configuration.
    pub spec: RouteSpec,
    /// Target of its requests.
    pub target: RouteTarget,
    /// Version of the configuration that contains the route.
    pub version: u64,
}

impl RouteSpec {
    /// Returns the value of [`Route::legs_key`].
    pub(crate) fn legs_key(&self) -> LegsKey {
        let shards: &[Arc<str>] = match &self.target {
            TargetSpec::Gather { shards, .. } => shards,
            TargetSpec::Service(_) | TargetSpec::Split(_) => &[],
        };
        LegsKey::new(shards, self.max_attempts)
    }
}

impl Route {
    /// Returns the number of more urgent priorities among the gathers over the same shards; the
    /// tenant's priority replaces the route's.
    #[must_use]
    pub fn rank(&self, tenant_priority: Option<u32>) -> u32 {
        let priority = tenant_priority.unwrap_or(self.spec.priority);
        self.priorities.partition_point(|other| *other < priority) as u32
    }

    /// Returns the number of records in the answer to a gather; 0 for other routes.
    #[must_use]
    pub fn top_records(&self) -> usize {
        match &self.target {
            RouteTarget::Gather { top_records, .. } => *top_records,
            RouteTarget::Service(_) | RouteTarget::Split(_) => 0,
        }
    }

    /// Returns all services that its requests may be sent to.
    #[must_use]
    pub fn services(&self) -> Vec<ServiceKey> {
        match &self.target {
            RouteTarget::Gather { shards, .. } => shards.clone(),
            RouteTarget::Service(service) => vec![*service],
            RouteTarget::Split(services) => services.iter().map(|entry| entry.service).collect(),
        }
    }

    /// Chooses the services of the next request.
    #[must_use]
    pub fn select(&self) -> Selection {
        match &self.target {
            RouteTarget::Gather {
                min_parts, shards, ..
            } => Selection {
                min_parts: Some(*min_parts),
                services: shards.clone(),
            },
            RouteTarget::Service(service) => Selection {
                min_parts: None,
                services: vec![*service],
            },
            RouteTarget::Split(services) => Selection {
                min_parts: None,
                services: next_split_service(services).into_iter().collect(),
            },
        }
    }
}

/// Smooth weighted round robin: each service is credited with its weight; the one with the
/// most credit is chosen and charged the sum of all weights.
fn next_split_service(services: &[WeightedService]) -> Option<ServiceKey> {
    let sum: f64 = services.iter().map(|entry| entry.weight).sum();
    for entry in services {
        entry.credit.set(entry.credit.get() + entry.weight);
    }
    let most_credit = services
        .iter()
        .filter(|entry| entry.weight > 0.0)
        .max_by(|a, b| a.credit.get().total_cmp(&b.credit.get()))?;
    most_credit.credit.set(most_credit.credit.get() - sum);
    Some(most_credit.service)
}
