//! Guards against gathers that lose or duplicate a part when nodes divide their shards among
//! themselves, and against waiting for a peer that was killed or suspended.

use std::collections::BTreeSet;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;

use serde_json::Value;
use serde_json::json;

use wigeonhall_adapter::Collection;
use wigeonhall_adapter::EXPECTED_INSTANCE;
use wigeonhall_adapter::REMAINING_MS;
use wigeonhall_adapter::REQUEST_ID;
use wigeonhall_adapter_standins::Behaviour;
use wigeonhall_adapter_standins::Listener;
use wigeonhall_adapter_standins::ReplicaStandin;
use wigeonhall_adapter_standins::StoreStandin;
use wigeonhall_adapter_standins::parts_of;
use wigeonhall_dispatch::RouteKind;
use wigeonhall_dispatch::RouteSpec;
use wigeonhall_dispatch::TargetSpec;

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
    fleet_of_shards("s", store, count, decide)
}

/// Starts a fleet whose shards and replicas have names with this beginning.
fn fleet_of_shards(
    prefix: &str,
    store: StoreStandin,
    count: usize,
    decide: impl Fn(usize) -> Behaviour + Clone + Send + Sync + 'static,
) -> Fleet {
    let name = |index| format!("{prefix}{index:02}");
    let names: Vec<String> = (0..SHARDS).map(name).collect();
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

/// Nodes name replicas in headers, to the replicas and to each other, whatever their ids are. A
/// request that does not name its replica may be run by another one, and a peer that cannot read
/// the ids does not collect parts.
#[test]
fn a_gather_is_shared_although_ids_of_replicas_have_odd_characters() {
    for prefix in ["é", "s,%2C "] {
        let store = StoreStandin::start().unwrap();
        let answer = |index| Behaviour::answer(record(index));
        let fleet = fleet_of_shards(prefix, store, NODES, answer);
        let second = |index| {
            let name = format!("{prefix}{index:02}");
            ReplicaStandin::start(&name, 2, move |_| answer(index)).unwrap()
        };
        let seconds: Vec<ReplicaStandin> = (0..SHARDS).map(second).collect();
        for replica in &seconds {
            fleet.store.register(&replica.registration("north"));
        }
        for node in &fleet.nodes {
            node.logged(|line| line["event"] == "replicas" && line["ready"] == 2 * SHARDS);
        }
        assert_whole(&fleet, "q1");
        assert!(nodes_of(&fleet, "q1") > 1, "{prefix:?}");
        let refused = fleet.nodes[0].all_logged(|line| line["event"] == "relay");
        assert!(refused.is_empty(), "{refused:?}");
        for replica in fleet.replicas.iter().chain(&seconds) {
            let id = &*replica.registration("north").id;
            for run in replica.runs() {
                assert_eq!(run.header(EXPECTED_INSTANCE.as_str()), Some(id));
            }
        }
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

/// Peers may have an older or a newer configuration, in which the path selects a nested route that
/// returns fewer records; parts merged by that route lack records of the answer.
#[test]
fn a_gather_has_all_records_although_peers_have_another_route_for_its_path() {
    const PEERS: usize = 6;
    let names: Vec<String> = (0..SHARDS).map(|index| format!("s{index:02}")).collect();
    let gather = |name: &str, prefix: &str, top_records| {
        let target = TargetSpec::Gather {
            min_fraction: 1.0,
            shards: names.iter().map(|name| Arc::from(&**name)).collect(),
            top_records,
        };
        RouteSpec {
            target_latency_ms: 600,
            ..route(name, prefix, RouteKind::Idempotent, target)
        }
    };
    let all = gather("all", "/all/", SHARDS);
    let short = gather("short", "/all/short/", 1);
    let store = StoreStandin::start().unwrap();
    store.configure(&configuration(1, vec![all.clone()]));
    let peer_store = StoreStandin::start().unwrap();
    peer_store.configure(&configuration(2, vec![all, short]));
    let start = |(index, name): (usize, &String)| {
        ReplicaStandin::start(name, 1, move |_| Behaviour::answer(record(index))).unwrap()
    };
    let replicas: Vec<ReplicaStandin> = names.iter().enumerate().map(start).collect();
    for replica in &replicas {
        store.register(&replica.registration("north"));
        peer_store.register(&replica.registration("north"));
    }
    let peer = Node::start_named(&peer_store, "peer");
    peer.wait_ready();
    let address = internal_address(&peer_store, "peer");
    let relay = || Listener::start(move |stream| forward_relay_requests(stream, address)).unwrap();
    let relays: Vec<Listener> = (0..PEERS).map(|_| relay()).collect();
    for (index, relay) in relays.iter().enumerate() {
        let spec = json!({
            "address": relay.address(), "data_centre": "north", "processor_share": 0.1
        });
        store.put(Collection::Nodes, &format!("peer-{index}"), &spec);
    }
    let node = Node::start(&store);
    node.wait_ready();
    node.logged(|line| line["event"] == "nodes" && line["near"] == PEERS + 1);

    let answer = ask(node.callers, "GET", "/all/short/x", "q1", "");

    let relayed = |line: &Value| line["event"] == "relayed" && line["request_id"] == "q1";
    peer.logged(relayed);
    assert_eq!(answer.status, 200);
    assert_eq!(parts_of(&answer.message), (SHARDS, 0));
    let expected: Vec<u8> = (0..SHARDS).rev().flat_map(record).collect();
    assert_eq!(answer.message.body, expected);
}

/// A node of another release that does not state the number of records would get too few of them.
#[test]
fn a_peer_that_does_not_state_the_number_of_records_collects_its_parts_itself() {
    let fleet = fleet(|index| Behaviour::answer(record(index)));
    let address = internal_address(&fleet.store, "node-1");
    let mut stream = TcpStream::connect(address).unwrap();
    let request = format!(
        "GET /all/x HTTP/1.1\r\nHost: shop.example\r\n{REQUEST_ID}: q1\r\n{REMAINING_MS}: 900\r\n\
         X-Wigeonhall-Legs-Key: 1\r\nX-Wigeonhall-Legs: 0\r\n\
         X-Wigeonhall-Fallbacks: \r\nX-Wigeonhall-Soft-Ms: 500\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).unwrap();
    let mut status = String::new();
    BufReader::new(stream).read_line(&mut status).unwrap();
    assert!(status.starts_with("HTTP/1.1 409"), "{status}");
}

/// Returns the address on which a node listens for other nodes.
pub fn internal_address(store: &StoreStandin, node: &str) -> SocketAddr {
    let mut spec = None;
    wait_until("the node to register", || {
        spec = store.spec(Collection::Nodes, node);
        spec.is_some()
    });
    spec.unwrap()["address"].as_str().unwrap().parse().unwrap()
}

/// A peer may have sent its legs before a connection that was used before ends; asked again, more
/// replicas run them than the route allows.
#[test]
fn a_peer_is_not_asked_again_after_it_has_read_the_request() {
    let peer_store = StoreStandin::start().unwrap();
    let peer_fleet = fleet_of(peer_store, 1, |index| Behaviour::answer(record(index)));
    let address = internal_address(&peer_fleet.store, "node-1");
    let asked: Arc<Mutex<Vec<String>>> = Arc::default();
    let recorded = asked.clone();
    let relay = Listener::start(move |stream| forward_first_request(stream, address, &recorded));
    let relay = relay.unwrap();
    let store = StoreStandin::start().unwrap();
    for index in 0..4 {
        let spec = json!({
            "address": relay.address(), "data_centre": "north", "processor_share": 0.1
        });
        store.put(Collection::Nodes, &format!("peer-{index}"), &spec);
    }
    let fleet = fleet_of(store, 1, |index| Behaviour::answer(record(index)));
    for index in 0..8 {
        assert_whole(&fleet, &format!("q{index}"));
    }
    let asked = asked.lock().unwrap();
    assert!(asked.iter().any(|request| request.starts_with("again ")));
    // One request for the legs of each of the four peers.
    for index in 0..8 {
        let legs: Vec<&String> = asked
            .iter()
            .filter(|it| it.contains(&format!(" q{index} ")))
            .collect();
        let distinct: BTreeSet<&str> = legs.iter().filter_map(|it| it.rsplit(' ').next()).collect();
        assert_eq!(legs.len(), distinct.len(), "{legs:?}");
    }
}

/// Forwards the first request of a connection to a peer, then reads another one and closes the
/// connection. Records for each whether it is another one, its id and its legs.
fn forward_first_request(stream: TcpStream, peer: SocketAddr, asked: &Mutex<Vec<String>>) {
    let mut input = BufReader::new(stream);
    let Some(head) = read_relay_head(&mut input) else {
        return;
    };
    let described = |head: &str| {
        format!(
            "{} {}",
            header(head, REQUEST_ID.as_str()),
            header(head, "legs")
        )
    };
    asked
        .lock()
        .unwrap()
        .push(format!("first {}", described(&head)));
    let mut to_peer = TcpStream::connect(peer).unwrap();
    let mut from_peer = to_peer.try_clone().unwrap();
    let mut output = input.get_ref().try_clone().unwrap();
    thread::spawn(move || io::copy(&mut from_peer, &mut output));
    to_peer.write_all(head.as_bytes()).unwrap();
    if let Some(head) = read_relay_head(&mut input) {
        asked
            .lock()
            .unwrap()
            .push(format!("again {}", described(&head)));
    }
    // Fails if the peer has closed the connection already.
    drop(to_peer.shutdown(Shutdown::Both));
}

/// Returns the value of the first header whose name ends in `name`.
fn header<'a>(head: &'a str, name: &str) -> &'a str {
    let headers = head.lines().filter_map(|line| line.split_once(": "));
    let mut found = headers.filter(|(key, _)| key.to_lowercase().ends_with(name));
    found.next().map_or("", |(_, value)| value)
}

/// Reads the head of a request for parts; `None` for another request or at the end.
fn read_relay_head(input: &mut BufReader<TcpStream>) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if input.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    (!head.contains("/wigeonhall/changes")).then_some(head)
}

/// Forwards a connection to a peer, but closes it if it is to follow the peer, so that the asking
/// node keeps its own configuration.
pub fn forward_relay_requests(stream: TcpStream, peer: SocketAddr) {
    let mut input = BufReader::new(stream);
    let mut head = String::new();
    if input.read_line(&mut head).is_err() || head.contains("/wigeonhall/changes") {
        return;
    }
    let mut to_peer = TcpStream::connect(peer).unwrap();
    let mut from_peer = to_peer.try_clone().unwrap();
    let mut output = input.get_ref().try_clone().unwrap();
    thread::spawn(move || io::copy(&mut from_peer, &mut output));
    to_peer.write_all(head.as_bytes()).unwrap();
    // Fails if a side closes the connection in the middle of a message.
    drop(io::copy(&mut input, &mut to_peer));
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
