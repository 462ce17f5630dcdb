use std::cell::Cell;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;

use crate::ServiceKey;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// Runs at most once for each request id.
    AtMostOnce,
    /// May run any number of times.
    Idempotent,
}

/// A route as the operators wrote it.
#[derive(Clone, Debug)]
pub struct RouteSpec {
    /// Host that the request names.
    pub host: Arc<str>,
    /// Whether its requests may be repeated.
    pub kind: RouteKind,
    /// Replicas to which one request may be sent, for each service.
    pub max_attempts: u32,
    /// Name of the route.
    pub name: Arc<str>,
    /// Begins the path; begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// Where its requests go.
    pub target: TargetSpec,
    /// Time within which an answer is worth most to the caller.
    pub target_latency_ms: u64,
    /// Longest time that a request is kept waiting.
    pub timeout_ms: u64,
}

/// Where the requests of a route go, by names of services.
#[derive(Clone, Debug)]
pub enum TargetSpec {
    /// To one replica of each shard; the greatest records are merged.
    Gather {
        /// Least share of the shards in a success, 0 to 1.
        min_fraction: f64,
        /// Services of the shards.
        shards: Vec<Arc<str>>,
        /// Records in the answer.
        top_records: usize,
    },
    /// To one service.
    Service(Arc<str>),
    /// To one of several services, in proportion to the weights.
    Split(Vec<(Arc<str>, f64)>),
}

/// A service of a weighted split.
#[derive(Clone, Debug)]
pub struct WeightedService {
    /// Credit of smooth weighted round robin.
    credit: Cell<f64>,
    /// The service.
    pub service: ServiceKey,
    /// Its weight, 0 or more.
    pub weight: f64,
}

impl WeightedService {
    /// A service without credit.
    #[must_use]
    pub const fn new(service: ServiceKey, weight: f64) -> Self {
        Self {
            credit: Cell::new(0.0),
            service,
            weight,
        }
    }
}

/// Where the requests of a route go, by keys of services.
#[derive(Clone, Debug)]
pub enum RouteTarget {
    /// To one replica of each shard.
    Gather {
        /// Fewest parts in a success.
        min_parts: usize,
        /// Services of the shards.
        shards: Vec<ServiceKey>,
        /// Records in the answer.
        top_records: usize,
    },
    /// To one service.
    Service(ServiceKey),
    /// To one of several services.
    Split(Vec<WeightedService>),
}

/// Services that one request goes to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Selection {
    /// Fewest parts in a success; `None` where the answer of one replica is passed on.
    pub min_parts: Option<usize>,
    /// One service a leg.
    pub services: Vec<ServiceKey>,
}

/// A route of the configuration in force.
#[derive(Clone, Debug)]
pub struct Route {
    /// Stands for the legs of its requests: equal where two versions send the same legs to
    /// the same services, each to as many replicas.
    pub legs_key: u64,
    /// What the operators wrote.
    pub spec: RouteSpec,
    /// Where its requests go.
    pub target: RouteTarget,
    /// Version of the configuration that it belongs to.
    pub version: u64,
}

impl RouteSpec {
    /// The value of [`Route::legs_key`].
    pub(crate) fn legs_key(&self) -> u64 {
        let shards: &[Arc<str>] = match &self.target {
            TargetSpec::Gather { shards, .. } => shards,
            TargetSpec::Service(_) | TargetSpec::Split(_) => &[],
        };
        let mut hasher = DefaultHasher::new();
        shards.hash(&mut hasher);
        self.max_attempts.hash(&mut hasher);
        hasher.finish()
    }
}

impl Route {
    /// All services that its requests may go to.
    #[must_use]
    pub fn services(&self) -> Vec<ServiceKey> {
        match &self.target {
            RouteTarget::Gather { shards, .. } => shards.clone(),
            RouteTarget::Service(service) => vec![*service],
            RouteTarget::Split(parts) => parts.iter().map(|part| part.service).collect(),
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
            RouteTarget::Split(parts) => Selection {
                min_parts: None,
                services: next_of_split(parts).into_iter().collect(),
            },
        }
    }
}

/// Smooth weighted round robin: each part earns its weight, the richest pays the sum.
fn next_of_split(parts: &[WeightedService]) -> Option<ServiceKey> {
    let sum: f64 = parts.iter().map(|part| part.weight).sum();
    for part in parts {
        part.credit.set(part.credit.get() + part.weight);
    }
    let richest = parts
        .iter()
        .filter(|part| part.weight > 0.0)
        .max_by(|a, b| a.credit.get().total_cmp(&b.credit.get()))?;
    richest.credit.set(richest.credit.get() - sum);
    Some(richest.service)
}
