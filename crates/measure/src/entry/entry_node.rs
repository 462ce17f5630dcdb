use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use wigeonhall_dispatch::Configuration;
use wigeonhall_dispatch::ExtraAllowance;
use wigeonhall_dispatch::Policy;
use wigeonhall_dispatch::Pool;
use wigeonhall_dispatch::Registration;
use wigeonhall_dispatch::RegistrationState;
use wigeonhall_dispatch::ReplicaKey;
use wigeonhall_dispatch::RequestLimits;
use wigeonhall_dispatch::Route;
use wigeonhall_dispatch::RouteKind;
use wigeonhall_dispatch::RouteLatency;
use wigeonhall_dispatch::RouteSpec;
use wigeonhall_dispatch::RouteTable;
use wigeonhall_dispatch::TargetSpec;

use crate::entry::DeploymentShape;
use crate::entry::RouteShape;
use crate::entry::budget_use::EXTRA_RATIO;
use crate::entry::budget_use::EXTRA_SLACK_PER_NODE;
use crate::entry::budget_use::EXTRA_WINDOW_US;
use crate::entry::fake_replica::replica_data_centre;

/// Number of connections that each node has opened before.
const EARLIER_CONNECTIONS: usize = 200;

/// What one node of the entry tier knows.
#[derive(Debug)]
pub(crate) struct EntryNode {
    pub(crate) data_centre: usize,
    pub(crate) latencies: Vec<RouteLatency>,
    pub(crate) pool: Pool,
    pub(crate) replicas: HashMap<ReplicaKey, usize>,
    pub(crate) routes: Vec<Rc<Route>>,
}

impl EntryNode {
    pub(crate) fn new(shape: &DeploymentShape, policy: Policy, number: usize, seed: u64) -> Self {
        let data_centre = number % shape.data_centres;
        let mut pool = Pool::new(data_centre_name(data_centre), seed);
        pool.set_policy(policy);
        pool.set_nodes(shape.nodes);
        pool.set_extra_allowance(ExtraAllowance {
            ratio: EXTRA_RATIO,
            slack: EXTRA_SLACK_PER_NODE * shape.nodes as f64,
            window_ms: EXTRA_WINDOW_US / 1_000,
        });
        let mut replicas = HashMap::new();
        for index in 0..shape.shards * shape.replicas {
            if let Some(key) = pool.register(0, registration(shape, index)) {
                replicas.insert(key, index);
            }
        }
        for number in 0..EARLIER_CONNECTIONS {
            let index = number % (shape.shards * shape.replicas);
            if let Some(key) = pool.key_of(&format!("replica-{index}")) {
                pool.observe_connect(key, connect_us(shape, data_centre, index));
            }
        }
        for shard in 0..shape.shards {
            let service = pool.service_key(&shard_name(shard));
            pool.set_senders(service, shape.nodes);
        }
        let table = RouteTable::new(&configuration(shape), &mut pool);
        let routes = shape.routes.iter().enumerate();
        let routes =
            routes.filter_map(|(index, _)| table.find("a", &format!("/{index}/")).cloned());
        Self {
            data_centre,
            latencies: vec![RouteLatency::default(); shape.routes.len()],
            replicas,
            routes: routes.collect(),
            pool,
        }
    }
}

/// Returns the latency of a new connection of a node to a replica.
const fn connect_us(shape: &DeploymentShape, data_centre: usize, replica: usize) -> u64 {
    if replica_data_centre(shape, replica) == data_centre {
        2 * shape.local_us
    } else {
        2 * shape.cross_us
    }
}

fn data_centre_name(number: usize) -> Arc<str> {
    format!("dc-{number}").into()
}

fn shard_name(number: usize) -> Arc<str> {
    format!("shard-{number}").into()
}

fn registration(shape: &DeploymentShape, index: usize) -> Registration {
    Registration {
        address: SocketAddr::from(([10, 0, (index / 256) as u8, (index % 256) as u8], 9_000)),
        cold_for_ms: 0,
        version: Arc::default(),
        data_centre: data_centre_name(replica_data_centre(shape, index)),
        id: format!("replica-{index}").into(),
        sequence: 1,
        service: shard_name(index / shape.replicas),
        slots: shape.slots,
        started_unix_ms: 1,
        state: RegistrationState::Ready,
    }
}

/// Returns a gather over all shards, or the service if there is only one.
fn target(shape: &DeploymentShape, route: &RouteShape) -> TargetSpec {
    if shape.shards == 1 {
        return TargetSpec::Service(shard_name(0));
    }
    TargetSpec::Gather {
        min_fraction: route.min_fraction,
        shards: (0..shape.shards).map(shard_name).collect(),
        top_records: 10,
    }
}

fn configuration(shape: &DeploymentShape) -> Configuration {
    let routes = shape.routes.iter().enumerate();
    let routes = routes.map(|(index, route)| RouteSpec {
        allows_anonymous: false,
        host: "a".into(),
        kind: RouteKind::Idempotent,
        max_attempts: route.max_attempts,
        name: format!("route-{index}").into(),
        priority: index as u32,
        path_prefix: format!("/{index}/").into(),
        target: target(shape, route),
        target_latency_ms: route.target_ms,
        timeout_ms: route.timeout_ms,
    });
    Configuration {
        limits: RequestLimits {
            body_bytes: 0,
            header_bytes: 0,
            header_timeout_ms: 0,
            idle_timeout_ms: 0,
        },
        routes: routes.collect(),
        services: Vec::new(),
        tenants: None,
        version: 1,
    }
}
