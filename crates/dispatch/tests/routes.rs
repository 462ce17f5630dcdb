//! Guards against requests that are sent along the wrong route or to the wrong service.

mod common;

use std::collections::BTreeMap;

use wigeonhall_dispatch::RouteKind;
use wigeonhall_dispatch::RouteSpec;
use wigeonhall_dispatch::RouteTable;
use wigeonhall_dispatch::TargetSpec;
use wigeonhall_dispatch::TenantSpec;

use common::configuration;
use common::gather;
use common::pool;
use common::route;
use common::route_spec;
use common::service;

fn spec_named(name: &str, host: &str, prefix: &str) -> RouteSpec {
    let mut spec = route_spec(RouteKind::Idempotent, service("a"));
    spec.name = name.into();
    spec.host = host.into();
    spec.path_prefix = prefix.into();
    spec
}

fn find_name(table: &RouteTable, host: &str, path: &str) -> Option<String> {
    table
        .find(host, path)
        .map(|route| route.spec.name.to_string())
}

#[test]
fn route_with_the_longest_prefix_of_the_host_is_found() {
    let routes = vec![
        spec_named("short", "a.example", "/x/"),
        spec_named("long", "a.example", "/x/y/"),
        spec_named("other", "b.example", "/x/y/z/"),
    ];
    let table = RouteTable::new(&configuration(1, routes), &mut pool());
    assert_eq!(
        find_name(&table, "a.example", "/x/y/z/1").as_deref(),
        Some("long")
    );
    assert_eq!(
        find_name(&table, "A.Example:8080", "/x/q").as_deref(),
        Some("short")
    );
    assert_eq!(find_name(&table, "a.example", "/xy/"), None);
    assert_eq!(find_name(&table, "a.example", "/x"), None);
    assert_eq!(find_name(&table, "c.example", "/x/"), None);
}

#[test]
fn split_follows_its_weights() {
    let mut pool = pool();
    let weights = vec![
        ("a".into(), 7.0),
        ("b".into(), 2.0),
        ("c".into(), 0.0),
        ("d".into(), 1.0),
    ];
    let route = route(
        &mut pool,
        route_spec(RouteKind::Idempotent, TargetSpec::Split(weights)),
    );
    let mut counts = BTreeMap::new();
    for _ in 0..100 {
        let selection = route.select();
        let name = pool.service_name(selection.services[0]).to_string();
        *counts.entry(name).or_insert(0) += 1;
    }
    insta::assert_json_snapshot!(counts, @r#"
    {
      "a": 70,
      "b": 20,
      "d": 10
    }
    "#);
}

#[test]
fn minimum_fraction_of_shards_is_rounded_up() {
    let shards: Vec<String> = (0..20).map(|number| format!("s{number}")).collect();
    let shards: Vec<&str> = shards.iter().map(String::as_str).collect();
    let min_parts = |fraction| {
        let spec = route_spec(RouteKind::Idempotent, gather(&shards, fraction));
        route(&mut pool(), spec).select().min_parts
    };
    assert_eq!(min_parts(0.89), Some(18));
    assert_eq!(min_parts(0.75), Some(15));
    assert_eq!(min_parts(0.95), Some(19));
    assert_eq!(min_parts(1.0), Some(20));
    assert_eq!(min_parts(0.0), Some(1));
}

/// Nodes divide the legs of a gather only if their legs keys are equal; nodes with different
/// versions must still do so if the legs are the same, or each sends all legs alone.
#[test]
fn versions_with_the_same_legs_have_the_same_legs_key() {
    let key = |shards: &[&str], change: &dyn Fn(&mut RouteSpec)| {
        let mut spec = route_spec(RouteKind::Idempotent, gather(shards, 0.5));
        change(&mut spec);
        route(&mut pool(), spec).legs_key
    };
    let same = key(&["a", "b"], &|_| {});
    assert_eq!(key(&["a", "b"], &|spec| spec.timeout_ms += 1), same);
    assert_ne!(key(&["a", "c"], &|_| {}), same);
    assert_ne!(key(&["b", "a"], &|_| {}), same);
    assert_ne!(key(&["a", "b", "c"], &|_| {}), same);
    assert_ne!(key(&["a", "b"], &|spec| spec.max_attempts += 1), same);
}

/// Nodes of two releases run side by side during a rollout; a key that depends on the build would
/// keep them from dividing gathers, or let them divide different ones.
#[test]
fn legs_key_does_not_depend_on_the_build() {
    let spec = route_spec(RouteKind::Idempotent, gather(&["a", "bc"], 0.5));
    let key = route(&mut pool(), spec).legs_key;
    insta::assert_snapshot!(key, @"4a43d4aa75d1c97c3a5e979080383e46");
    assert_eq!(key.to_string().parse(), Ok(key));
    let spec = route_spec(RouteKind::Idempotent, gather(&["ab", "c"], 0.5));
    assert_ne!(route(&mut pool(), spec).legs_key, key);
}

/// The less urgent gathers are refused first, so the rank must come from the priorities of the
/// gathers over the same shards alone.
#[test]
fn gathers_are_ranked_by_priority_among_those_over_the_same_shards() {
    let spec = |name: &str, priority, shards: &[&str]| {
        let mut spec = spec_named(name, "a.example", &format!("/{name}/"));
        spec.target = gather(shards, 0.5);
        spec.priority = priority;
        spec
    };
    let routes = vec![
        spec("urgent", 3, &["a", "b"]),
        spec("later", 7, &["a", "b"]),
        spec("last", 9, &["a", "b"]),
        spec("elsewhere", 9, &["c"]),
    ];
    let table = RouteTable::new(&configuration(1, routes), &mut pool());
    let rank = |name: &str| {
        let route = table.find("a.example", &format!("/{name}/x"));
        route.unwrap().rank(None)
    };
    let ranks = ["urgent", "later", "last", "elsewhere"].map(rank);
    assert_eq!(ranks, [0, 1, 2, 0]);
}

/// The priority of a tenant replaces that of the route in the comparison with all other requests.
#[test]
fn a_tenants_priority_ranks_its_gathers() {
    let spec = |name: &str, priority, anonymous| {
        let mut spec = spec_named(name, "a.example", &format!("/{name}/"));
        spec.target = gather(&["a", "b"], 0.5);
        spec.priority = priority;
        spec.allows_anonymous = anonymous;
        spec
    };
    let tenant = |name: &str, priority| TenantSpec {
        burst: 0.0,
        key_digests: Vec::new(),
        name: name.into(),
        priority,
        rate_per_s: 0.0,
    };
    let mut with_tenants = configuration(1, vec![spec("one", 4, false), spec("two", 6, true)]);
    let tenants = vec![tenant("urgent", Some(0)), tenant("late", Some(9))];
    with_tenants.tenants = Some(tenants.clone());
    let ranks = |table: &RouteTable| {
        let ranks = ["one", "two"].map(|name| {
            let route = table.find("a.example", &format!("/{name}/x")).unwrap();
            [Some(0), None, Some(9)].map(|priority| route.rank(priority))
        });
        ranks.concat()
    };
    // Nobody has the priority of the route `one`: each tenant has its own.
    let table = RouteTable::new(&with_tenants, &mut pool());
    assert_eq!(ranks(&table), [0, 1, 2, 0, 1, 2]);
    with_tenants.tenants = Some([tenants, vec![tenant("other", None)]].concat());
    let table = RouteTable::new(&with_tenants, &mut pool());
    assert_eq!(ranks(&table), [0, 1, 3, 0, 2, 3]);
}
