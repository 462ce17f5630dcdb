//! Guards against a request that crashes one replica after the other, sent again with new ids to
//! different nodes.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering::Relaxed;

use wigeonhall_adapter::REQUEST_ID;
use wigeonhall_adapter_standins::Behaviour;
use wigeonhall_adapter_standins::HttpMessage;
use wigeonhall_adapter_standins::ReplicaStandin;
use wigeonhall_adapter_standins::StoreStandin;
use wigeonhall_dispatch::RouteKind;
use wigeonhall_dispatch::RouteSpec;

use crate::caller::ask;
use crate::deployment::Node;
use crate::deployment::configuration;
use crate::deployment::gather;
use crate::deployment::route;
use crate::deployment::route_to_a;
use crate::deployment::wait_until;

const NODES: usize = 3;

/// Number of copies of each shard, or replicas of a service.
const COPIES: usize = 4;

/// Starts replicas that crash when a request for a path that ends in `deadly` reaches them.
fn replicas(services: &[&str]) -> Vec<ReplicaStandin> {
    let decide = |request: &HttpMessage| {
        if request.path.ends_with("deadly") {
            Behaviour::Crash
        } else {
            Behaviour::answer([7; 16])
        }
    };
    let copies = services
        .iter()
        .flat_map(|name| (1..=COPIES).map(move |it| (*name, it)));
    copies
        .map(|(name, number)| ReplicaStandin::start(name, number, decide).unwrap())
        .collect()
}

/// Starts nodes that know each other.
fn fleet(routes: Vec<RouteSpec>, replicas: &[ReplicaStandin]) -> (StoreStandin, Vec<Node>) {
    let store = StoreStandin::start().unwrap();
    store.configure(&configuration(1, routes));
    for replica in replicas {
        store.register(&replica.registration("north"));
    }
    let start = |number| Node::start_named(&store, &format!("node-{number}"));
    let nodes: Vec<Node> = (0..NODES).map(start).collect();
    for node in &nodes {
        node.wait_ready();
        node.logged(|line| line["event"] == "nodes" && line["near"] == NODES);
    }
    (store, nodes)
}

/// Returns the number of replicas that a deadly request has reached.
fn crashed(replicas: &[ReplicaStandin]) -> usize {
    let deadly = |request: &HttpMessage| request.path.ends_with("deadly");
    replicas
        .iter()
        .filter(|it| it.runs().iter().any(deadly))
        .count()
}

/// Waits until a node holds this against a request.
fn wait_for_suspicion(node: &Node, state: &str) {
    node.logged(|line| line["event"] == "crash_suspicion" && line["state"] == state);
}

/// Asserts that nodes refuse the deadly request and serve others on its route.
fn assert_blocked(nodes: &[Node], prefix: &str) {
    for node in nodes {
        wait_for_suspicion(node, "blocked");
    }
    for (number, node) in nodes.iter().enumerate() {
        let ask = |name: &str| {
            let (path, id) = (format!("{prefix}/{name}"), format!("{name}-{number}"));
            ask(node.callers, "GET", &path, &id, "").status
        };
        assert_eq!(ask("deadly"), 503);
        assert_eq!(ask("x"), 200);
    }
}

#[test]
fn a_request_that_crashed_two_replicas_reaches_no_third_one_on_any_node() {
    let replicas = replicas(&["a"]);
    let (_store, nodes) = fleet(vec![route_to_a("one")], &replicas);
    assert_eq!(
        ask(nodes[0].callers, "GET", "/one/deadly", "q1", "").status,
        502
    );
    assert_blocked(&nodes, "/one");
    assert_eq!(crashed(&replicas), 2);
}

/// A node that starts does not know the suspicions of the others.
#[test]
fn a_blocked_request_crashes_no_replica_through_a_node_that_has_just_started() {
    let replicas = replicas(&["a"]);
    let (store, nodes) = fleet(vec![route_to_a("one")], &replicas);
    assert_eq!(
        ask(nodes[0].callers, "GET", "/one/deadly", "q1", "").status,
        502
    );
    assert_blocked(&nodes, "/one");
    let started = Node::start_named(&store, "node-late");
    started.wait_ready();
    assert_blocked(&[started], "/one");
    assert_eq!(crashed(&replicas), 2);
}

/// A trial must not be made for a gather that cannot be answered, and a refusal states that the
/// request has not run.
#[test]
fn a_suspected_gather_that_is_refused_has_not_run() {
    let crashes = Arc::new(AtomicUsize::new(1));
    let decide = move |request: &HttpMessage| {
        let crash = request.path.ends_with("suspected")
            && crashes
                .fetch_update(Relaxed, Relaxed, |left| left.checked_sub(1))
                .is_ok();
        if crash {
            Behaviour::Crash
        } else {
            Behaviour::answer([7; 16])
        }
    };
    let copy = |number| ReplicaStandin::start("s0", number, decide.clone()).unwrap();
    let mut replicas: Vec<ReplicaStandin> = (1..=COPIES).map(copy).collect();
    replicas.push(ReplicaStandin::start("s1", 1, |_| Behaviour::answer([7; 16])).unwrap());
    let all = route(
        "all",
        "/all/",
        RouteKind::Idempotent,
        gather(&["s0", "s1"], 1.0),
    );
    let (store, nodes) = fleet(vec![all], &replicas);
    let first = ask(nodes[0].callers, "GET", "/all/suspected", "q1", "");
    assert_eq!(first.status, 200);
    wait_for_suspicion(&nodes[0], "suspected");
    store.unregister("s1-1");
    let mut number = 0;
    wait_until("gathers to be refused", || {
        number += 1;
        let id = format!("other-{number}");
        ask(nodes[0].callers, "GET", "/all/x", &id, "").status == 503
    });
    assert_eq!(
        ask(nodes[0].callers, "GET", "/all/suspected", "q2", "").status,
        503
    );
    let ran = |request: &HttpMessage| request.header(REQUEST_ID.as_str()) == Some("q2");
    assert!(!replicas.iter().any(|it| it.runs().iter().any(ran)));
}

/// All shards lose a replica to the first gather; one more is risked to find out which of the gathers
/// that ran there was the cause.
#[test]
fn a_gather_that_crashed_replicas_of_its_shards_crashes_one_more_at_most() {
    let shards = ["s0", "s1", "s2", "s3"];
    let replicas = replicas(&shards);
    let all = route("all", "/all/", RouteKind::Idempotent, gather(&shards, 0.5));
    let (_store, nodes) = fleet(vec![all], &replicas);
    assert_eq!(
        ask(nodes[0].callers, "GET", "/all/deadly", "q1", "").status,
        502
    );
    wait_for_suspicion(&nodes[1], "suspected");
    let crashed_first = crashed(&replicas);
    assert_ne!(
        ask(nodes[1].callers, "GET", "/all/deadly", "q2", "").status,
        200
    );
    assert_blocked(&nodes, "/all");
    assert!(crashed(&replicas) <= crashed_first + 1);
}

/// Starts replicas that answer a popular request; as many as the counter states crash under it.
fn replicas_of_a_popular_request(copies: usize) -> (Vec<ReplicaStandin>, Arc<AtomicUsize>) {
    let crashes = Arc::new(AtomicUsize::new(0));
    let left = crashes.clone();
    let decide = move |_: &HttpMessage| {
        let crash = left.fetch_update(Relaxed, Relaxed, |left| left.checked_sub(1));
        if crash.is_ok() {
            Behaviour::Crash
        } else {
            Behaviour::answer([7; 16])
        }
    };
    let copy = |number| ReplicaStandin::start("a", number, decide.clone()).unwrap();
    ((1..=copies).map(copy).collect(), crashes)
}

fn ask_popular(node: &Node, id: &str) -> u16 {
    ask(node.callers, "GET", "/one/popular", id, "").status
}

/// Replicas that end one after the other for another reason took popular requests with them, which
/// all nodes then refused for a minute.
#[test]
fn a_request_that_was_answered_is_served_after_two_replicas_crashed_under_it() {
    let (replicas, crashes) = replicas_of_a_popular_request(COPIES);
    let (_store, nodes) = fleet(vec![route_to_a("one")], &replicas);
    for (number, node) in nodes.iter().enumerate() {
        assert_eq!(ask_popular(node, &format!("before-{number}")), 200);
    }
    crashes.store(2, Relaxed);
    assert_eq!(ask_popular(&nodes[0], "crash"), 502);
    assert_served_soon(&nodes);
}

/// A node that has not sent a popular request itself learns from another one that it was answered.
#[test]
fn a_request_that_another_node_answered_is_served_after_two_replicas_crashed_under_it() {
    let (replicas, crashes) = replicas_of_a_popular_request(COPIES);
    let (_store, nodes) = fleet(vec![route_to_a("one")], &replicas);
    assert_eq!(ask_popular(&nodes[1], "before"), 200);
    crashes.store(2, Relaxed);
    assert_eq!(ask_popular(&nodes[0], "crash"), 502);
    assert_served_soon(&nodes);
}

/// The last replica of a service is not risked for a request that may crash it, but a popular request
/// that it has answered must not be refused for a minute after it has started again.
#[test]
fn a_request_that_was_answered_is_served_by_the_only_replica_after_it_crashed() {
    let (replicas, crashes) = replicas_of_a_popular_request(1);
    let (_store, nodes) = fleet(vec![route_to_a("one")], &replicas);
    assert_eq!(ask_popular(&nodes[0], "before"), 200);
    crashes.store(1, Relaxed);
    assert_eq!(ask_popular(&nodes[0], "crash"), 502);
    let address = replicas[0].registration("north").address;
    let answer = |_: &HttpMessage| Behaviour::answer([7; 16]);
    let _restarted = ReplicaStandin::start_at(address, "a", 1, answer).unwrap();
    assert_served_soon(&nodes);
}

/// Asserts that all nodes serve the popular request long before a block for a minute would end.
fn assert_served_soon(nodes: &[Node]) {
    for (number, node) in nodes.iter().enumerate() {
        let mut attempt = 0;
        wait_until("the popular request to be served", || {
            attempt += 1;
            ask_popular(node, &format!("after-{number}-{attempt}")) == 200
        });
    }
}
