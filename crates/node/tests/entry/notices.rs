//! Guards against requests to replicas that announced in a response that they are draining, or
//! that asked for a hold-off, a time without requests, and against more requests than they accept.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use wigeonhall_adapter_standins::Behaviour;
use wigeonhall_adapter_standins::ReplicaStandin;

use crate::caller::ask;
use crate::deployment::Node;
use crate::deployment::deploy;
use crate::deployment::route_to_a;

/// Starts a replica whose first response differs from the later ones.
fn first_then(first: Behaviour, later: Behaviour) -> ReplicaStandin {
    let asked = AtomicUsize::new(0);
    let decide = move |_: &_| match asked.fetch_add(1, Ordering::Relaxed) {
        0 => first.clone(),
        _ => later.clone(),
    };
    ReplicaStandin::start("a", 1, decide).unwrap()
}

/// The store may learn that the replica is draining much later, or never.
#[test]
fn a_replica_that_announces_that_it_is_draining_gets_no_more_requests() {
    let leaving = Behaviour::Leaving {
        body: b"last".to_vec(),
    };
    let replica = first_then(leaving, Behaviour::answer("more"));
    let (store, node) = deploy(vec![route_to_a("one")], &[&replica]);
    let last = ask(node.callers, "GET", "/one/x", "q1", "");
    assert_eq!(
        (last.status, &*last.message.body),
        (200, b"last".as_slice())
    );
    let mut heartbeat = replica.registration("north");
    heartbeat.sequence = 2;
    store.register(&heartbeat);
    node.logged(|line| line["event"] == "notice" && line["leaving"] == true);
    assert_eq!(ask(node.callers, "GET", "/one/x", "q2", "").status, 503);
    assert_eq!(replica.runs().len(), 1);
}

/// The only replica asks for a hold-off of 60.5 s; it must not be tried as a last resort.
#[test]
fn a_replica_that_asks_for_a_hold_off_gets_no_requests() {
    let asked = Arc::new(AtomicUsize::new(0));
    let counted = asked.clone();
    let decide = move |_: &_| {
        counted.fetch_add(1, Ordering::Relaxed);
        Behaviour::BusyFor { seconds: "60.5" }
    };
    let replica = ReplicaStandin::start("a", 1, decide).unwrap();
    let (_store, node) = deploy(vec![route_to_a("one")], &[&replica]);
    for number in 0..8 {
        let id = format!("q{number}");
        let answer = ask(node.callers, "GET", "/one/x", &id, "");
        assert_eq!(answer.status, 503);
    }
    node.logged(|line| line["event"] == "notice" && line["hold_off_ms"] == 60_500);
    assert_eq!(asked.load(Ordering::Relaxed), 1);
}

/// Three nodes that together ask much more of a replica than the limit that it names.
#[test]
fn replicas_do_not_get_more_requests_than_the_limit_that_they_name() {
    const WINDOW: Duration = Duration::from_secs(4);
    const LIMIT_PER_S: usize = 5;
    let limited = Behaviour::Limited {
        body: b"some".to_vec(),
        per_s: "5",
    };
    let replica = ReplicaStandin::start("a", 1, move |_| limited.clone()).unwrap();
    let (store, first) = deploy(vec![route_to_a("one")], &[&replica]);
    let others = ["node-2", "node-3"].map(|name| Node::start_named(&store, name));
    let nodes = [&first, &others[0], &others[1]];
    for node in nodes {
        node.wait_ready();
        node.logged(|line| line["event"] == "nodes" && line["near"] == 3);
    }
    let start = Instant::now();
    let mut number = 0;
    while number < 150 && start.elapsed() < WINDOW {
        for node in nodes {
            number += 1;
            ask(node.callers, "GET", "/one/x", &format!("q{number}"), "");
        }
    }
    let runs = replica.runs().len();
    assert!(
        runs <= LIMIT_PER_S * 4 * 3 / 2 + 5,
        "{runs} requests in 4 s"
    );
}
