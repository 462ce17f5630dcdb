use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use crate::Configuration;
use crate::Pool;
use crate::RequestLimits;
use crate::Route;
use crate::RouteSpec;
use crate::RouteTarget;
use crate::ServiceKey;
use crate::TargetSpec;
use crate::WeightedService;

/// The routes of one version, found by host and longest prefix.
#[derive(Debug)]
pub struct RouteTable {
    /// Routes of a host, longest prefix first.
    by_host: HashMap<Arc<str>, Vec<Rc<Route>>>,
    /// Bounds on what callers may send.
    pub limits: RequestLimits,
    /// Version of the configuration.
    pub version: u64,
}

impl RouteTable {
    /// Resolves the services of a configuration in `pool`.
    #[must_use]
    pub fn new(configuration: &Configuration, pool: &mut Pool) -> Self {
        let mut by_host: HashMap<Arc<str>, Vec<Rc<Route>>> = HashMap::new();
        for spec in &configuration.routes {
            let route = Rc::new(Route {
                legs_key: spec.legs_key(),
                spec: spec.clone(),
                target: resolve(spec, pool),
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
            version: configuration.version,
        }
    }

    /// Services that a node sends to, which handles the legs `own_legs` of a gather with so
    /// many legs and such a target latency in milliseconds.
    pub fn services(&self, own_legs: impl Fn(usize, u64) -> Vec<usize>) -> BTreeSet<ServiceKey> {
        let mut services = BTreeSet::new();
        for route in self.routes() {
            match &route.target {
                RouteTarget::Gather { shards, .. } => {
                    let legs = own_legs(shards.len(), route.spec.target_latency_ms);
                    services.extend(legs.into_iter().filter_map(|leg| shards.get(leg)));
                }
                RouteTarget::Service(service) => {
                    services.insert(*service);
                }
                RouteTarget::Split(parts) => {
                    let parts = parts.iter().filter(|part| part.weight > 0.0);
                    services.extend(parts.map(|part| part.service));
                }
            }
        }
        services
    }

    /// Each service with the number of nodes that send to it, where `senders` is that of a
    /// gather with so many legs and such a target latency in milliseconds, and `nodes` that
    /// of all nodes.
    pub fn senders(
        &self,
        nodes: usize,
        senders: impl Fn(usize, u64) -> usize,
    ) -> BTreeMap<ServiceKey, usize> {
        let mut by_service = BTreeMap::new();
        for route in self.routes() {
            let services = route.services();
            let count = match route.target {
                RouteTarget::Gather { .. } => senders(services.len(), route.spec.target_latency_ms),
                RouteTarget::Service(_) | RouteTarget::Split(_) => nodes,
            };
            for service in services {
                let most: &mut usize = by_service.entry(service).or_default();
                *most = count.max(*most);
            }
        }
        by_service
    }

    /// Services without a known replica to which routes go that the `current` table serves
    /// better.
    #[must_use]
    pub fn lacking(&self, current: &Self, pool: &Pool, now_us: u64) -> usize {
        let unserved = |route: &Route| {
            let services = route.services();
            let open = services.iter().filter(|key| pool.is_open(now_us, **key));
            services.len() - open.count()
        };
        let former = current.routes().map(|route| (&route.spec.name, route));
        let former: HashMap<&Arc<str>, &Rc<Route>> = former.collect();
        let lacking = self.routes().filter_map(|route| {
            let before = former.get(&route.spec.name)?;
            Some(unserved(route).saturating_sub(unserved(before)))
        });
        lacking.sum()
    }

    /// Number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.routes().count()
    }

    /// Whether it has no route.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_host.is_empty()
    }

    fn routes(&self) -> impl Iterator<Item = &Rc<Route>> {
        self.by_host.values().flatten()
    }

    /// The route with the longest prefix that begins `path`.
    ///
    /// `host` may carry a port and any case.
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

fn resolve(spec: &RouteSpec, pool: &mut Pool) -> RouteTarget {
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
        TargetSpec::Split(parts) => RouteTarget::Split(
            parts
                .iter()
                .map(|(name, weight)| WeightedService::new(pool.service_key(name), *weight))
                .collect(),
        ),
    }
}

/// Fewest parts that make up `min_fraction` of `shards`; a success has one at least.
fn min_parts(shards: usize, min_fraction: f64) -> usize {
    // A share of parts is compared as a fraction, so the product may be a hair too high.
    const ROUNDING: f64 = 1e-9;
    let parts = (shards as f64 * min_fraction - ROUNDING).ceil().max(1.0);
    parts as usize
}
