//! Builders for a pool, routes and exchanges of a small deployment.

#![allow(dead_code, reason = "each test file uses a part of these")]

pub mod case;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use wigeonhall_dispatch::Arrival;
use wigeonhall_dispatch::Configuration;
use wigeonhall_dispatch::Exchange;
use wigeonhall_dispatch::Pool;
use wigeonhall_dispatch::Registration;
use wigeonhall_dispatch::RegistrationState;
use wigeonhall_dispatch::ReplicaKey;
use wigeonhall_dispatch::RequestLimits;
use wigeonhall_dispatch::Route;
use wigeonhall_dispatch::RouteKind;
use wigeonhall_dispatch::RouteSpec;
use wigeonhall_dispatch::RouteTable;
use wigeonhall_dispatch::ServiceSpec;
use wigeonhall_dispatch::TargetSpec;

pub const MS: u64 = 1_000;
pub const S: u64 = 1_000_000;

/// Deadline of the requests ([`Exchange`]) made here, which arrive at 0.
pub const DEADLINE_US: u64 = S;

/// Hedge delay of the requests made here.
pub const HEDGE_US: u64 = 30 * MS;

pub fn pool() -> Pool {
    Pool::new("north".into(), 7)
}

pub fn registration(service: &str, number: u16, data_centre: &str) -> Registration {
    Registration {
        address: SocketAddr::from(([10, 0, 0, 1], 9_000 + number)),
        started_unix_ms: 1_000,
        data_centre: data_centre.into(),
        id: format!("{service}-{number}").into(),
        sequence: 1,
        service: service.into(),
        slots: 2,
        state: RegistrationState::Ready,
        cold_for_ms: 0,
        version: "v1".into(),
    }
}

/// Registers a replica in the node's own data centre, `north`.
pub fn add(pool: &mut Pool, service: &str, number: u16) -> ReplicaKey {
    pool.register(0, registration(service, number, "north"))
        .unwrap()
}

/// Returns the settings of the service `a`, whose replicas accept this rate while they are cold.
pub fn spec_with_cold_start(cold_rate_per_s: f64, cold_start_ms: u64) -> ServiceSpec {
    ServiceSpec {
        cold_rate_per_s,
        cold_start_ms,
        max_connections: 50,
        name: "a".into(),
    }
}

pub fn route_spec(kind: RouteKind, target: TargetSpec) -> RouteSpec {
    RouteSpec {
        allows_anonymous: false,
        host: "shop.example".into(),
        kind,
        max_attempts: 2,
        name: "route".into(),
        path_prefix: "/find/".into(),
        priority: 0,
        target,
        target_latency_ms: 120,
        timeout_ms: 1_000,
    }
}

pub fn gather(shards: &[&str], min_fraction: f64) -> TargetSpec {
    TargetSpec::Gather {
        min_fraction,
        shards: shards.iter().map(|name| Arc::from(*name)).collect(),
        top_records: 5,
    }
}

pub fn configuration(version: u64, routes: Vec<RouteSpec>) -> Configuration {
    Configuration {
        limits: RequestLimits {
            body_bytes: 1_024,
            header_bytes: 8_192,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
        routes,
        services: Vec::<ServiceSpec>::new(),
        tenants: None,
        version,
    }
}

pub fn route(pool: &mut Pool, spec: RouteSpec) -> Rc<Route> {
    let table = RouteTable::new(&configuration(1, vec![spec]), pool);
    table.find("shop.example", "/find/x").unwrap().clone()
}

pub fn exchange(pool: &mut Pool, kind: RouteKind, target: TargetSpec) -> Exchange {
    let route = route(pool, route_spec(kind, target));
    Exchange::new(Arrival::default(), DEADLINE_US, HEDGE_US, route)
}

pub fn service(name: &str) -> TargetSpec {
    TargetSpec::Service(name.into())
}
