//! Guards against a version that comes into force before the replicas of the services that
//! it names are known: callers were refused although the version before could serve them.

mod common;

use std::collections::BTreeSet;
use std::sync::Arc;

use wigeonhall_dispatch::Pool;
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

fn all(shards: &[&str]) -> Vec<RouteSpec> {
    vec![route_spec(RouteKind::Idempotent, gather(shards, 0.5))]
}

#[test]
fn a_version_waits_for_the_replicas_of_the_shards_that_it_names() {
    let mut pool = pool();
    for (number, service) in ["a", "b"].into_iter().enumerate() {
        add(&mut pool, service, number as u16);
    }
    let current = table(&mut pool, 1, all(&["a", "b"]));
    let next = table(&mut pool, 2, all(&["c", "d", "e"]));
    assert_eq!(next.lacking(&current, &pool, 0), 3);
    add(&mut pool, "c", 10);
    add(&mut pool, "d", 11);
    assert_eq!(next.lacking(&current, &pool, 0), 1);
    add(&mut pool, "e", 12);
    assert_eq!(next.lacking(&current, &pool, 0), 0);
}

/// Waiting would serve nobody better: the route is new, or as badly off before.
#[test]
fn a_version_does_not_wait_where_the_one_before_serves_no_better() {
    let mut pool = pool();
    add(&mut pool, "a", 1);
    let current = table(&mut pool, 1, all(&["a", "lost"]));
    let same = table(&mut pool, 2, all(&["a", "lost"]));
    assert_eq!(same.lacking(&current, &pool, 0), 0);
    let mut routes = all(&["a", "lost"]);
    let target = TargetSpec::Service(Arc::from("unknown"));
    let mut added = route_spec(RouteKind::Idempotent, target);
    added.name = "added".into();
    routes.push(added);
    let more = table(&mut pool, 3, routes);
    assert_eq!(more.lacking(&current, &pool, 0), 0);
}

/// The replicas of the version before are taken out of service when it is over.
#[test]
fn a_replica_in_a_data_centre_that_is_out_serves_nobody() {
    let mut pool = pool();
    add(&mut pool, "a", 1);
    add(&mut pool, "b", 2);
    let current = table(&mut pool, 1, all(&["a"]));
    let next = table(&mut pool, 2, all(&["b"]));
    pool.set_evacuated_data_centres(BTreeSet::from([Arc::from("north")]));
    assert_eq!(next.lacking(&current, &pool, 0), 0);
}

/// In steady state a version is in force at once: while versions came in quick succession
/// and nodes fell behind, those that waited came into force too late.
#[test]
fn versions_wait_only_while_entries_come_back_after_an_outage() {
    let mut health = StoreHealth::default();
    assert!(!health.is_settling(S));
    health.outage_ended(10 * S, 6 * S);
    assert!(health.is_settling(10 * S));
    assert!(health.is_settling(12 * S));
    // Entries are back about two seconds after the end; one still missing counts as gone.
    assert!(!health.is_settling(13 * S));
}
