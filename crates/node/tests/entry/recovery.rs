//! Guards against versions that come into force too late after a disturbance of the store.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use wigeonhall_adapter::Collection;
use wigeonhall_adapter_standins::Behaviour;
use wigeonhall_adapter_standins::ReplicaStandin;
use wigeonhall_adapter_standins::StoreStandin;
use wigeonhall_dispatch::RouteKind;
use wigeonhall_dispatch::TargetSpec;
use wigeonhall_dispatch::watch_pause_ms;

use crate::caller::ask;
use crate::deployment::Node;
use crate::deployment::configuration;
use crate::deployment::deploy;
use crate::deployment::route;
use crate::deployment::route_to_a;
use crate::deployment::wait_until;
use crate::feed::wait_for_reader;
use crate::proxy::Mode;
use crate::proxy::Proxy;

/// Time after a disturbance from which the bounds hold again; the settings have the default.
const STABILIZATION: Duration = Duration::from_secs(4);

/// Time that a busy store takes for an answer.
const ANSWER_DELAY: Duration = Duration::from_millis(50);

fn replica() -> ReplicaStandin {
    ReplicaStandin::start("a", 1, |_| Behaviour::answer("1")).unwrap()
}

/// Writes a version with one more route.
fn add_route(store: &StoreStandin, version: u64) {
    let routes = vec![route_to_a("first"), route_to_a(&format!("at-{version}"))];
    store.configure(&configuration(version, routes));
}

/// Returns how long after `since` a node serves the route that a version added.
fn time_in_force(node: &Node, version: u64, since: Instant) -> Duration {
    let path = format!("/at-{version}/x");
    wait_until("the new route", || {
        ask(node.callers, "GET", &path, "q", "").status == 200
    });
    since.elapsed()
}

/// A lost check of a node whose reader stays without the store delayed the next one too long.
#[test]
fn a_version_of_an_outage_is_in_force_in_time_after_a_lost_health_check() {
    let replica = replica();
    let store = StoreStandin::start().unwrap();
    store.configure(&configuration(1, vec![route_to_a("first")]));
    store.register(&replica.registration("north"));
    let proxies = [0, 1].map(|_| Proxy::start(store.address()));
    let nodes: Vec<Node> = (0..proxies.len())
        .map(|index| Node::start_at(proxies[index].address(), &format!("node-{index}")))
        .collect();
    nodes.iter().for_each(Node::wait_ready);
    let reader = wait_for_reader(&nodes);
    let follower = &nodes[1 - reader];
    store.set_silent(true);
    proxies[reader].set_mode(Mode::Refuse);
    proxies[reader].reset();
    store.set_answer_delay(ANSWER_DELAY);
    add_route(&store, 2);
    follower.logged(|line| line["event"] == "dependency" && line["name"] == "store");
    let checks = store.lists_of(Collection::Evacuations);
    wait_until("the next health check", || {
        store.lists_of(Collection::Evacuations) > checks
    });
    store.set_silent(false);
    let elapsed = time_in_force(follower, 2, Instant::now());
    assert!(elapsed <= STABILIZATION, "in force after {elapsed:?}");
}

/// A version was held back for 2.3 s from the moment at which the node noticed the end.
#[test]
fn a_version_held_back_for_its_replicas_is_in_force_in_time() {
    let replica = replica();
    let (store, node) = deploy(vec![route_to_a("moved")], &[&replica]);
    store.set_silent(true);
    store.set_answer_delay(ANSWER_DELAY);
    let missing = TargetSpec::Service("b".into());
    let moved = route("moved", "/moved/", RouteKind::Idempotent, missing);
    store.configure(&configuration(2, vec![route_to_a("at-2"), moved]));
    node.logged(|line| line["event"] == "dependency" && line["name"] == "store");
    let checks = store.lists_of(Collection::Evacuations);
    wait_until("the next health check", || {
        store.lists_of(Collection::Evacuations) > checks
    });
    store.set_silent(false);
    let elapsed = time_in_force(&node, 2, Instant::now());
    assert!(elapsed <= STABILIZATION, "in force after {elapsed:?}");
    node.logged(|line| line["outcome"] == "held" && line["version"] == 2);
}

/// A lost watch was replaced in time only for changes made after the disturbance.
#[test]
fn a_version_whose_answer_was_lost_is_in_force_in_time() {
    let replica = replica();
    let (store, node) = deploy(vec![route_to_a("first")], &[&replica]);
    add_route(&store, 2);
    time_in_force(&node, 2, Instant::now());
    // The next watch begins after the pause.
    let pause = Duration::from_millis(watch_pause_ms(1, 3_000));
    thread::sleep(pause + pause / 4);
    store.lose_answers(Collection::Configuration, 1);
    add_route(&store, 3);
    let elapsed = time_in_force(&node, 3, Instant::now());
    assert!(elapsed <= STABILIZATION, "in force after {elapsed:?}");
}
