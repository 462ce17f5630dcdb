//! Guards against a version that comes into force before the replicas of its services are
//! known: callers are then refused although the previous version could serve them.

mod common;

use std::collections::BTreeSet;
use std::sync::Arc;

use wigeonhall_dispatch::Pool;
use wigeonhall_dispatch::RecoveryTimes;
use wigeonhall_dispatch::RouteKind;
use wigeonhall_dispatch::RouteSpec;
use wigeonhall_dispatch::RouteTable;
use wigeonhall_dispatch::StoreHealth;
use wigeonhall_dispatch::TargetSpec;

use common::S;
use common::add;
use common::configuration;
use common::gather;
use common::pool;
use common::route_spec;

fn table(pool: &mut Pool, version: u64, routes: Vec<RouteSpec>) -> RouteTable {
    RouteTable::new(&configuration(version, routes), pool)
}

fn gather_over(shards: &[&str]) -> Vec<RouteSpec> {
    vec![route_spec(RouteKind::Idempotent, gather(shards, 0.5))]
}

#[test]
fn version_waits_for_the_replicas_of_its_shards() {
    let mut pool = pool();
    for (number, service) in ["a", "b"].into_iter().enumerate() {
        add(&mut pool, service, number as u16);
    }
    let current = table(&mut pool, 1, gather_over(&["a", "b"]));
    let next = table(&mut pool, 2, gather_over(&["c", "d", "e"]));
    assert_eq!(next.newly_unserved_services(&current, &pool, 0), 3);
    add(&mut pool, "c", 10);
    add(&mut pool, "d", 11);
    assert_eq!(next.newly_unserved_services(&current, &pool, 0), 1);
    add(&mut pool, "e", 12);
    assert_eq!(next.newly_unserved_services(&current, &pool, 0), 0);
}

/// Waiting has no use if the route is new or lacked the same replicas in the previous
/// version.
#[test]
fn version_does_not_wait_if_the_previous_one_serves_no_better() {
    let mut pool = pool();
    add(&mut pool, "a", 1);
    let current = table(&mut pool, 1, gather_over(&["a", "lost"]));
    let same = table(&mut pool, 2, gather_over(&["a", "lost"]));
    assert_eq!(same.newly_unserved_services(&current, &pool, 0), 0);
    let mut routes = gather_over(&["a", "lost"]);
    let target = TargetSpec::Service(Arc::from("unknown"));
    let mut added = route_spec(RouteKind::Idempotent, target);
    added.name = "added".into();
    routes.push(added);
    let more = table(&mut pool, 3, routes);
    assert_eq!(more.newly_unserved_services(&current, &pool, 0), 0);
}

/// Replicas in an evacuated data centre do not count for the current version either, so the
/// next version does not wait for them.
#[test]
fn evacuated_replicas_do_not_delay_a_version() {
    let mut pool = pool();
    add(&mut pool, "a", 1);
    add(&mut pool, "b", 2);
    let current = table(&mut pool, 1, gather_over(&["a"]));
    let next = table(&mut pool, 2, gather_over(&["b"]));
    pool.set_evacuated_data_centres(BTreeSet::from([Arc::from("north")]));
    assert_eq!(next.newly_unserved_services(&current, &pool, 0), 0);
}

/// Without an outage a version comes into force at once: when versions change in quick
/// succession and nodes fall behind, versions that wait come into force too late.
#[test]
fn versions_wait_only_while_registrations_are_restored_after_an_outage() {
    let mut health = StoreHealth::new(1_200, RecoveryTimes::new(4_000));
    assert!(!health.is_settling(S));
    health.record_response(5 * S, 5 * S);
    health.suspect_outage(6 * S);
    health.record_response(10 * S, 10 * S);
    assert!(health.is_settling(10 * S));
    assert!(health.is_settling(12 * S));
    // Registrations are restored about two seconds after the end of an outage; one that is still
    // missing by then counts as removed.
    assert!(!health.is_settling(13 * S));
}
