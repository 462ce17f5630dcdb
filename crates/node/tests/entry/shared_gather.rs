//! Guards against gathers that lose or duplicate a part when nodes divide their shards among
//! themselves, and against waiting for a peer that was killed or suspended.

use std::collections::BTreeSet;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;

use serde_json::Value;
use serde_json::json;

use wigeonhall_adapter::Collection;
use wigeonhall_adapter::REQUEST_ID;
use wigeonhall_adapter_standins::Behaviour;
use wigeonhall_adapter_standins::Listener;
use wigeonhall_adapter_standins::ReplicaStandin;
use wigeonhall_adapter_standins::StoreStandin;
use wigeonhall_adapter_standins::parts_of;
use wigeonhall_dispatch::RouteKind;

use crate::caller::Caller;
use crate::caller::ask;
use crate::deployment::Node;
use crate::deployment::configuration;
use crate::deployment::gather;
use crate::deployment::route;
use crate::deployment::wait_until;

/// Number of shards. A node divides a gather among nodes if its share of a core is too small to
/// collect all parts itself in time for the route's target latency.
const SHARDS: usize = 24;

const NODES: usize = 5;

struct Fleet {
    nodes: Vec<Node>,
    replicas: Vec<ReplicaStandin>,
    store: StoreStandin,
}

/// Returns a record of 16 bytes that sorts by `first`. The gather returns the three greatest.
fn record(first: usize) -> Vec<u8> {
    let mut record = vec![0; 16];
    record[0] = first as u8;
    record
}

/// Starts a fleet and waits until all nodes know each other.
fn fleet(decide: impl Fn(usize) -> Behaviour + Clone + Send + Sync + 'static) -> Fleet {
    fleet_of(StoreStandin::start().unwrap(), NODES, decide)
}

fn fleet_of(
    store: StoreStandin,
    count: usize,
    decide: impl Fn(usize) -> Behaviour + Clone + Send + Sync + 'static,
) -> Fleet {
    let names: Vec<String> = (0..SHARDS).map(|index| format!("s{index:02}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut all = route("all", "/all/", RouteKind::Idempotent, gather(&names, 1.0));
    all.target_latency_ms = 600;
    store.configure(&configuration(1, vec![all]));
    let start = |(index, name): (usize, &&str)| {
        let decide = decide.clone();
        ReplicaStandin::start(name, 1, move |_| decide(index)).unwrap()
    };
    let replicas: Vec<ReplicaStandin> = names.iter().enumerate().map(start).collect();
    for replica in &replicas {
        store.register(&replica.registration("north"));
    }
    let start = |number| Node::start_named(&store, &format!("node-{number}"));
    let nodes: Vec<Node> = (1..=count).map(start).collect();
    for node in &nodes {
        node.wait_ready();
        // `near` is the number of known nodes in the data centre; it is logged when it changes.
        if count > 1 {
            node.logged(|line| line["event"] == "nodes" && line["near"] == count);
        }
    }
    Fleet {
        nodes,
        replicas,
        store,
    }
}

/// Asks the first node and asserts that the answer holds the greatest records of all shards.
fn assert_whole(fleet: &Fleet, id: &str) {
    let answer = ask(fleet.nodes[0].callers, "GET", "/all/x", id, "");
    assert_eq!(answer.status, 200);
    assert_eq!(parts_of(&answer.message), (SHARDS, 0));
    let expected: Vec<u8> = (SHARDS - 3..SHARDS).rev().flat_map(record).collect();
    assert_eq!(answer.message.body, expected);
}

fn nodes_of(fleet: &Fleet, id: &str) -> u64 {
    let line = fleet.nodes[0].logged(|line| line["event"] == "request" && line["request_id"] == id);
    line["nodes"].as_u64().unwrap()
}

/// The node that answers may send to these replicas later, and then counts toward their limit.
#[test]
fn a_limit_that_a_replica_names_to_a_peer_is_known_to_the_node_that_answers() {
    let fleet = fleet(|index| Behaviour::Limited {
        body: record(index),
        per_s: "40.5",
    });
    assert_whole(&fleet, "q1");
    assert!(nodes_of(&fleet, "q1") > 1);
    for replica in &fleet.replicas {
        let id = &*replica.registration("north").id;
        fleet.nodes[0].logged(|line| {
            line["event"] == "notice" && line["replica"] == id && line["limit_per_s"] == 40.5
        });
    }
}

#[test]
fn a_shared_gather_is_whole_and_each_replica_runs_it_once() {
    let fleet = fleet(|index| Behaviour::answer(record(index)));
    assert_whole(&fleet, "q1");
    assert!(nodes_of(&fleet, "q1") > 1);
    for replica in &fleet.replicas {
        assert_eq!(replica.runs().len(), 1);
    }
}

#[test]
fn a_gather_is_whole_while_peers_are_killed_or_suspended() {
    let fleet = fleet(|index| Behaviour::answer(record(index)));
    assert_whole(&fleet, "q1");
    fleet.nodes[1].signal("KILL");
    fleet.nodes[2].signal("STOP");
    for index in 2..6 {
        assert_whole(&fleet, &format!("q{index}"));
    }
    fleet.nodes[2].signal("CONT");
}

/// A disconnected caller must also cancel the sub-requests of peers.
#[test]
fn a_disconnected_caller_cancels_its_request_on_all_nodes() {
    let fleet = fleet(|_| Behaviour::Silent);
    let mut caller = Caller::connect(fleet.nodes[0].callers);
    caller.ask("GET", "/all/x", "q1", "");
    wait_until("all replicas to run the request", || {
        fleet.replicas.iter().all(|it| !it.runs().is_empty())
    });
    drop(caller);
    wait_until("all replicas to be cancelled", || {
        fleet.replicas.iter().all(|it| it.cancelled() > 0)
    });
}

/// If peers are asked for the parts of a gather that can't succeed, the caller gets an answer
/// that it may have run instead of a refusal.
#[test]
fn a_gather_with_too_few_replicas_is_refused_before_peers_are_asked() {
    let fleet = fleet(|index| Behaviour::answer(record(index)));
    fleet.store.unregister("s00-1");
    let mut id = String::new();
    let mut asked = 0;
    wait_until("a refusal", || {
        asked += 1;
        id = format!("q{asked}");
        ask(fleet.nodes[0].callers, "GET", "/all/x", &id, "").status == 503
    });
    let ran = |replica: &ReplicaStandin| {
        let runs = replica.runs();
        runs.iter()
            .any(|run| run.header(REQUEST_ID.as_str()) == Some(&id))
    };
    assert!(!fleet.replicas.iter().any(ran));
}

/// A peer that ends in the middle of the head of its response has delivered nothing; its legs must
/// be sent again, and no part of it may count.
#[test]
fn a_gather_is_whole_although_peers_close_at_any_byte_of_a_head() {
    const HEAD: &str = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n";
    let store = StoreStandin::start().unwrap();
    let asked: Arc<Mutex<BTreeSet<usize>>> = Arc::default();
    let peer = |bytes: usize| {
        let asked = asked.clone();
        let close_in_head = move |stream| {
            asked.lock().unwrap().insert(bytes);
            send_head(stream, &HEAD[..bytes]);
        };
        Listener::start(close_in_head).unwrap()
    };
    let peers: Vec<Listener> = (0..=HEAD.len()).map(peer).collect();
    for (bytes, peer) in peers.iter().enumerate() {
        let spec = json!({
            "address": peer.address(), "data_centre": "north", "processor_share": 0.1
        });
        store.put(Collection::Nodes, &format!("peer-{bytes:02}"), &spec);
    }
    let fleet = fleet_of(store, 1, |index| Behaviour::answer(record(index)));
    // A node avoids peers that failed for a while, so that each gather asks others.
    let mut gathers = 0..20 * peers.len();
    while asked.lock().unwrap().len() < peers.len() {
        let gather = gathers.next().expect("all peers to be asked");
        assert_whole(&fleet, &format!("q{gather}"));
    }
    let relay_failed = |line: &Value| line["event"] == "relay" && line["request_id"] == "q0";
    fleet.nodes[0].logged(relay_failed);
}

/// Reads a request and sends the beginning of a response, then closes the connection.
fn send_head(stream: TcpStream, head: &str) {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    while reader.read_line(&mut line).is_ok_and(|bytes| bytes > 0) {
        if line == "\r\n" {
            drop(reader.get_mut().write_all(head.as_bytes()));
            return;
        }
        line.clear();
    }
}
