use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use crate::Configuration;
use crate::LegsKey;
use crate::Pool;
use crate::RequestLimits;
use crate::Route;
use crate::RouteSpec;
use crate::RouteTarget;
use crate::ServiceKey;
use crate::TargetSpec;
use crate::Tenants;
use crate::WeightedService;

/// The routes of one configuration version, looked up by host and longest path prefix.
#[derive(Debug)]
pub struct RouteTable {
    /// Routes by host in lower case, the longest prefix first.
    by_host: HashMap<Arc<str>, Vec<Rc<Route>>>,
    /// Limits on callers' requests and connections.
    pub limits: RequestLimits,
    /// Names of the services that the configuration names.
    pub service_names: BTreeSet<Arc<str>>,
    /// Tenants, whose keys callers must present; `None` if callers need no keys.
    pub tenants: Option<Tenants>,
    /// Version of the configuration.
    pub version: u64,
}

impl RouteTable {
    /// Builds the table of a configuration; resolves the names of services in `pool`.
    #[must_use]
    pub fn new(configuration: &Configuration, pool: &mut Pool) -> Self {
        let mut by_host: HashMap<Arc<str>, Vec<Rc<Route>>> = HashMap::new();
        for spec in &configuration.routes {
            let route = Rc::new(Route {
                legs_key: spec.legs_key(),
                priorities: priorities(spec, configuration),
                spec: spec.clone(),
                target: resolve_target(spec, pool),
                version: configuration.version,
            });
            let host = Arc::from(spec.host.to_ascii_lowercase());
            by_host.entry(host).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.spec.path_prefix.len()));
        }
        Self {
            by_host,
            limits: configuration.limits,
            service_names: configuration.service_names(),
            tenants: configuration.tenants.as_deref().map(Tenants::new),
            version: configuration.version,
        }
    }

    /// Returns the services that a node sends to. The nodes of a data centre may divide the legs
    /// of a gather (its requests to one shard each); `own_legs` returns the indices of those that
    /// this node sends.
    pub fn services(&self, own_legs: impl Fn(&Route) -> Vec<usize>) -> BTreeSet<ServiceKey> {
        let mut services = BTreeSet::new();
        for route in self.routes() {
            match &route.target {
                RouteTarget::Gather { shards, .. } => {
                    let legs = own_legs(route);
                    services.extend(legs.into_iter().filter_map(|leg| shards.get(leg)));
                }
                RouteTarget::Service(service) => {
                    services.insert(*service);
                }
                RouteTarget::Split(entries) => {
                    let entries = entries.iter().filter(|entry| entry.weight > 0.0);
                    services.extend(entries.map(|entry| entry.service));
                }
            }
        }
        services
    }

    /// Returns each service with the number of nodes that send to it. `senders` returns this number
    /// for a gather, whose legs nodes may divide; for all other routes it is `nodes`.
    pub fn senders_by_service(
        &self,
        nodes: usize,
        senders: impl Fn(&Route) -> usize,
    ) -> BTreeMap<ServiceKey, usize> {
        let mut by_service = BTreeMap::new();
        for route in self.routes() {
            let services = route.services();
            let count = match route.target {
                RouteTarget::Gather { .. } => senders(route),
                RouteTarget::Service(_) | RouteTarget::Split(_) => nodes,
            };
            for service in services {
                let most: &mut usize = by_service.entry(service).or_default();
                *most = count.max(*most);
            }
        }
        by_service
    }

    /// Returns this node's share of the requests of all nodes to each service, from 0 to 1: the
    /// mean over the routes to the service. `shares` returns it for each leg of a gather; for all
    /// other routes it is one of `nodes`.
    pub fn sender_shares_by_service(
        &self,
        nodes: usize,
        shares: impl Fn(&Route) -> Vec<f64>,
    ) -> BTreeMap<ServiceKey, f64> {
        let mut by_service: BTreeMap<ServiceKey, Vec<f64>> = BTreeMap::new();
        for route in self.routes() {
            let services = route.services();
            let shares = match route.target {
                RouteTarget::Gather { .. } => shares(route),
                RouteTarget::Service(_) | RouteTarget::Split(_) => {
                    vec![1.0 / nodes.max(1) as f64; services.len()]
                }
            };
            for (service, share) in services.into_iter().zip(shares) {
                by_service.entry(service).or_default().push(share);
            }
        }
        let mean = |shares: Vec<f64>| shares.iter().sum::<f64>() / shares.len() as f64;
        let means = by_service.into_iter();
        means
            .map(|(service, shares)| (service, mean(shares)))
            .collect()
    }

    /// Returns the number of services that would newly have no replica in service. For each route
    /// that is also in the `current` table, counts how many more of its services have none than in
    /// that table.
    #[must_use]
    pub fn newly_unserved_services(&self, current: &Self, pool: &Pool, now_us: u64) -> usize {
        let services_without_replica = |route: &Route| {
            let services = route.services();
            let in_service = services
                .iter()
                .filter(|key| pool.has_replica_in_service(now_us, **key));
            services.len() - in_service.count()
        };
        let current_by_name = current.routes().map(|route| (&route.spec.name, route));
        let current_by_name: HashMap<&Arc<str>, &Rc<Route>> = current_by_name.collect();
        let newly_unserved = self.routes().filter_map(|route| {
            let current_route = current_by_name.get(&route.spec.name)?;
            Some(
                services_without_replica(route)
                    .saturating_sub(services_without_replica(current_route)),
            )
        });
        newly_unserved.sum()
    }

    /// Returns the number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.routes().count()
    }

    /// Returns whether the table has no routes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_host.is_empty()
    }

    fn routes(&self) -> impl Iterator<Item = &Rc<Route>> {
        self.by_host.values().flatten()
    }

    /// Returns the names of the gathers with a [`Route::legs_key`].
    pub fn gathers(&self, legs_key: LegsKey) -> impl Iterator<Item = &str> {
        let routes = self.routes().filter(move |route| {
            route.legs_key == legs_key && matches!(route.target, RouteTarget::Gather { .. })
        });
        routes.map(|route| &*route.spec.name)
    }

    /// Returns the route with the longest prefix of `path` for `host`.
    ///
    /// `host` may include a port and be in any case.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let routes = match self.by_host.get(name) {
            Some(routes) => routes,
            None => self.by_host.get(name.to_ascii_lowercase().as_str())?,
        };
        routes
            .iter()
            .find(|route| path.starts_with(&*route.spec.path_prefix))
    }
}

/// Returns the priorities of the requests for gathers over the same shards as a route, each once,
/// the most urgent first. The priority of a tenant replaces that of a route.
fn priorities(spec: &RouteSpec, configuration: &Configuration) -> Vec<u32> {
    let TargetSpec::Gather { shards, .. } = &spec.target else {
        return Vec::new();
    };
    let same_shards = |other: &&RouteSpec| match &other.target {
        TargetSpec::Gather { shards: others, .. } => others == shards,
        TargetSpec::Service(_) | TargetSpec::Split(_) => false,
    };
    let mut all = BTreeSet::new();
    for route in configuration.routes.iter().filter(same_shards) {
        let tenants = configuration.tenants.as_deref();
        if tenants.is_none() || route.allows_anonymous {
            all.insert(route.priority);
        }
        let tenants = tenants.unwrap_or_default().iter();
        all.extend(tenants.map(|tenant| tenant.priority.unwrap_or(route.priority)));
    }
    all.into_iter().collect()
}

fn resolve_target(spec: &RouteSpec, pool: &mut Pool) -> RouteTarget {
    match &spec.target {
        TargetSpec::Gather {
            min_fraction,
            shards,
            top_records,
        } => RouteTarget::Gather {
            min_parts: min_parts(shards.len(), *min_fraction),
            shards: shards.iter().map(|name| pool.service_key(name)).collect(),
            top_records: *top_records,
        },
        TargetSpec::Service(name) => RouteTarget::Service(pool.service_key(name)),
        TargetSpec::Split(entries) => RouteTarget::Split(
            entries
                .iter()
                .map(|(name, weight)| WeightedService::new(pool.service_key(name), *weight))
                .collect(),
        ),
    }
}

/// Returns the minimum number of parts that make up `min_fraction` of `shards`, at least one.
fn min_parts(shards: usize, min_fraction: f64) -> usize {
    // The product of fraction and count may exceed a whole number by a rounding error.
    const ROUNDING_TOLERANCE: f64 = 1e-9;
    let parts = (shards as f64 * min_fraction - ROUNDING_TOLERANCE)
        .ceil()
        .max(1.0);
    parts as usize
}
