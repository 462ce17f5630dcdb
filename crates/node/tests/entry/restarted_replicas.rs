//! Guards against a replica that starts again under its id, cold, and gets the load of a warm one until
//! its registration has reached the nodes.

use std::time::Instant;

use wigeonhall_adapter_standins::Behaviour;
use wigeonhall_adapter_standins::HttpMessage;
use wigeonhall_adapter_standins::ReplicaStandin;
use wigeonhall_adapter_standins::StoreStandin;
use wigeonhall_dispatch::ServiceSpec;

use crate::caller::ask;
use crate::deployment::Node;
use crate::deployment::configuration;
use crate::deployment::route_to_a;

/// Requests per second that a cold replica accepts, and the tolerance of its operators.
const COLD_RATE_PER_S: f64 = 10.0;
const COLD_OVERAGE: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;

/// Requests after the restart; a warm replica would get about half of them.
const REQUESTS: usize = 200;

fn answer_or_crash(request: &HttpMessage) -> Behaviour {
    if request.path.ends_with("crash") {
        Behaviour::Crash
    } else {
        Behaviour::answer([7; 16])
    }
}

fn replica(number: usize) -> ReplicaStandin {
    ReplicaStandin::start("a", number, answer_or_crash).unwrap()
}

/// Starts a store and a node with replicas of a service whose cold replicas accept few requests.
fn deploy(replicas: &[&ReplicaStandin]) -> (StoreStandin, Node) {
    let store = StoreStandin::start().unwrap();
    let mut configuration = configuration(1, vec![route_to_a("one")]);
    configuration.services.push(ServiceSpec {
        cold_rate_per_s: COLD_RATE_PER_S,
        cold_start_ms: 10_000,
        max_connections: 50,
        name: "a".into(),
    });
    store.configure(&configuration);
    for replica in replicas {
        store.register(&replica.registration("north"));
    }
    let node = Node::start(&store);
    node.wait_ready();
    (store, node)
}

#[test]
fn a_replica_that_starts_again_after_a_crash_is_not_flooded_before_its_registration_is_read() {
    let (first, second) = (replica(1), replica(2));
    let (_store, node) = deploy(&[&first, &second]);
    let answer = ask(node.callers, "GET", "/one/crash", "q1", "");
    assert_eq!(answer.status, 502, "both replicas crashed");
    let restart = |number: usize, former: &ReplicaStandin| {
        let address = former.registration("north").address;
        ReplicaStandin::start_at(address, "a", number, answer_or_crash).unwrap()
    };
    let restarted = [restart(1, &first), restart(2, &second)];
    let start = Instant::now();
    for number in 0..REQUESTS {
        ask(
            node.callers,
            "GET",
            &format!("/one/{number}"),
            &format!("r{number}"),
            "",
        );
    }
    let seconds = start.elapsed().as_secs_f64().ceil();
    let allowed = seconds * (COLD_RATE_PER_S * COLD_OVERAGE + COLD_SLACK);
    let runs = restarted.map(|replica| replica.runs().len());
    assert!(
        runs.iter().sum::<usize>() > 0,
        "cold replicas get some requests"
    );
    assert!(
        runs.iter().all(|runs| *runs as f64 <= allowed),
        "{runs:?} requests in {seconds} s"
    );
}
