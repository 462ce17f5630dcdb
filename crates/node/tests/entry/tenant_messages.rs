//! Guards against API keys that leave a node, and against parts that name no tenant.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;

use serde_json::json;

use wigeonhall_adapter::Collection;
use wigeonhall_adapter::TENANT;
use wigeonhall_adapter_standins::Behaviour;
use wigeonhall_adapter_standins::Listener;
use wigeonhall_adapter_standins::ReplicaStandin;
use wigeonhall_adapter_standins::StoreStandin;
use wigeonhall_dispatch::Configuration;
use wigeonhall_dispatch::RouteKind;

use crate::caller::ask;
use crate::caller::ask_with;
use crate::deployment::Node;
use crate::deployment::gather;
use crate::deployment::route;
use crate::deployment::wait_until;
use crate::shared_gather::forward_relay_requests;
use crate::shared_gather::internal_address;
use crate::tenants::KEY;
use crate::tenants::OTHER_KEY;
use crate::tenants::UNKNOWN_KEY;
use crate::tenants::assert_run;
use crate::tenants::authorization;
use crate::tenants::tenants_configuration;
use crate::tenants::wait_in_force;

/// Records what passes between nodes in either direction.
type Recording = Arc<Mutex<Vec<u8>>>;

fn record(stream: TcpStream, node: SocketAddr, recording: &Recording) {
    let Ok(to_node) = TcpStream::connect(node) else {
        return;
    };
    let copies = (stream.try_clone().unwrap(), to_node.try_clone().unwrap());
    let responses = recording.clone();
    thread::spawn(move || copy(copies.1, copies.0, &responses));
    copy(stream, to_node, recording);
}

fn copy(mut from: TcpStream, mut to: TcpStream, recording: &Recording) {
    let mut buffer = [0; 16_384];
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        recording.lock().unwrap().extend(&buffer[..count]);
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    // Fails if the other side has closed the connection already.
    drop(to.shutdown(Shutdown::Both));
}

/// Two nodes, of which the second one reaches the first only through recorded connections: it
/// follows the first one's changes and asks it for parts.
struct RecordedPair {
    _listeners: Vec<Listener>,
    nodes: [Node; 2],
    recording: Recording,
    replicas: Vec<ReplicaStandin>,
    store: StoreStandin,
    _other_store: StoreStandin,
}

/// Number of shards, so large that the node divides the gather.
const SHARDS: usize = 24;

/// Number of addresses under which the second node knows the first one.
const PEERS: usize = 4;

fn pair_configuration(version: u64) -> Configuration {
    let names: Vec<String> = (0..SHARDS).map(|index| format!("s{index:02}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut all = route("all", "/all/", RouteKind::Idempotent, gather(&names, 1.0));
    all.target_latency_ms = 600;
    Configuration {
        routes: vec![all],
        ..tenants_configuration(version)
    }
}

fn start_replicas(store: &StoreStandin) -> Vec<ReplicaStandin> {
    let start = |index| {
        let name = format!("s{index:02}");
        ReplicaStandin::start(&name, 1, move |_| Behaviour::answer([index as u8; 16])).unwrap()
    };
    let replicas: Vec<ReplicaStandin> = (0..SHARDS).map(start).collect();
    for replica in &replicas {
        store.register(&replica.registration("north"));
    }
    replicas
}

/// Adds peers to a store, all of which are served by `serve`.
fn add_peers(
    store: &StoreStandin,
    serve: impl Fn(TcpStream) + Clone + Send + 'static,
) -> Vec<Listener> {
    let start = |_| Listener::start(serve.clone()).unwrap();
    let listeners: Vec<Listener> = (0..PEERS).map(start).collect();
    for (index, listener) in listeners.iter().enumerate() {
        let entry = json!({
            "address": listener.address(), "data_centre": "north", "processor_share": 0.1
        });
        store.put(Collection::Nodes, &format!("peer-{index}"), &entry);
    }
    listeners
}

fn recorded_pair() -> RecordedPair {
    let store = StoreStandin::start().unwrap();
    store.configure_with_keys(
        &pair_configuration(1),
        &[("acme", KEY), ("zeta", OTHER_KEY)],
    );
    let replicas = start_replicas(&store);
    let first = Node::start_named(&store, "node-1");
    first.wait_ready();
    let mut entry = None;
    wait_until("the node to register", || {
        entry = store.spec(Collection::Nodes, "node-1");
        entry.is_some()
    });
    let address = entry.unwrap()["address"].as_str().unwrap().parse().unwrap();
    let recording = Recording::default();
    let other_store = StoreStandin::start().unwrap();
    let recorded = recording.clone();
    let listeners = add_peers(&other_store, move |stream| {
        record(stream, address, &recorded);
    });
    let second = Node::start_named(&other_store, "node-2");
    second.wait_ready();
    second.logged(|line| line["event"] == "nodes" && line["near"] == PEERS + 1);
    RecordedPair {
        _listeners: listeners,
        nodes: [first, second],
        recording,
        replicas,
        store,
        _other_store: other_store,
    }
}

fn contains(bytes: &[u8], text: &str) -> bool {
    bytes
        .windows(text.len())
        .any(|window| window == text.as_bytes())
}

#[test]
fn parts_that_a_peer_collects_name_the_tenant() {
    let pair = recorded_pair();
    let answer = ask_with(
        pair.nodes[1].callers,
        "/all/x",
        "q1",
        &format!("{}Connection: {TENANT}\r\n", authorization(KEY)),
    );
    assert_eq!(answer.status, 200);
    pair.nodes[0].logged(|line| line["event"] == "relayed" && line["request_id"] == "q1");
    for replica in &pair.replicas {
        let runs = replica.runs();
        assert_eq!(runs.len(), 1);
        assert_run(&runs[0], &["acme"]);
    }
}

/// The asking node has not checked the credentials, as its configuration names no tenants yet.
#[test]
fn a_peer_with_tenants_collects_no_parts_for_unchecked_credentials() {
    let peer_store = StoreStandin::start().unwrap();
    peer_store.configure_with_keys(&pair_configuration(2), &[("acme", KEY)]);
    let peer = Node::start_named(&peer_store, "node-1");
    peer.wait_ready();
    let address = internal_address(&peer_store, "node-1");
    let store = StoreStandin::start().unwrap();
    let without_tenants = Configuration {
        tenants: None,
        ..pair_configuration(1)
    };
    store.configure(&without_tenants);
    let replicas = start_replicas(&store);
    for replica in &replicas {
        peer_store.register(&replica.registration("north"));
    }
    let _listeners = add_peers(&store, move |stream| {
        forward_relay_requests(stream, address);
    });
    peer.logged(|line| line["event"] == "replicas" && line["ready"] == SHARDS);
    let node = Node::start_named(&store, "node-2");
    node.wait_ready();
    node.logged(|line| line["event"] == "nodes" && line["near"] == PEERS + 1);
    let answer = ask_with(node.callers, "/all/x", "q1", &authorization(UNKNOWN_KEY));
    assert_eq!(answer.status, 200);
    node.logged(|line| line["event"] == "relay" && line["reason"] == "Declined");
    assert_eq!(ask(node.callers, "GET", "/all/x", "q2", "").status, 200);
    peer.logged(|line| line["event"] == "relayed" && line["request_id"] == "q2");
    assert_eq!(peer.all_logged(|line| line["request_id"] == "q1").len(), 0);
}

/// Keys must not be found in what a node writes or sends, also if the configuration is malformed.
#[test]
fn no_key_appears_in_logs_metrics_answers_and_messages() {
    let pair = recorded_pair();
    let mut answers = Vec::new();
    let ask_all = |answers: &mut Vec<u8>| {
        for node in &pair.nodes {
            for key in [KEY, OTHER_KEY, UNKNOWN_KEY] {
                let answer = ask_with(node.callers, "/all/x", "q", &authorization(key));
                answers.extend(format!("{:?}", answer.message.headers).as_bytes());
                answers.extend(answer.message.body);
            }
        }
    };
    ask_all(&mut answers);
    let keys = [("acme", KEY), ("zeta", OTHER_KEY)];
    pair.store
        .configure_with_keys(&pair_configuration(2), &keys);
    pair.nodes.iter().for_each(|node| wait_in_force(node, 2));
    let whole = pair.store.spec(Collection::Configuration, "main").unwrap();
    let malformed = [
        ("/tenants/0/api_keys", json!(KEY)),
        ("/tenants/0/api_keys", json!([{ "key": KEY }])),
        ("/tenants/0/rate_per_s", json!(KEY)),
        ("/tenants/1", json!([OTHER_KEY])),
        ("/tenants", json!({ "acme": { "api_keys": [KEY] } })),
        ("/tenants", json!(KEY)),
        ("", json!([KEY, OTHER_KEY, "tenants"])),
    ];
    for (index, (field, value)) in malformed.iter().enumerate() {
        let mut spec = whole.clone();
        *spec.pointer_mut(field).unwrap() = value.clone();
        pair.store.put(Collection::Configuration, "main", &spec);
        for node in &pair.nodes {
            wait_until("the malformed configuration", || {
                node.all_logged(|line| line["event"] == "malformed").len() > index
            });
        }
    }
    ask_all(&mut answers);
    for node in &pair.nodes {
        ask_with(node.callers, "/all/x", "last", &authorization(KEY));
    }
    let recorded = pair.recording.lock().unwrap().clone();
    assert!(contains(&recorded, "acme"), "the follower's configuration");
    for key in [KEY, OTHER_KEY, UNKNOWN_KEY] {
        assert!(!contains(&recorded, key), "a message between nodes");
        assert!(!contains(&answers, key), "an answer");
        for node in &pair.nodes {
            node.logged(|line| line["event"] == "request" && line["request_id"] == "last");
            let log = format!("{:?}", node.all_logged(|_| true));
            assert!(!contains(log.as_bytes(), key), "{log}");
            let page = ask(node.readiness, "GET", "/metrics", "probe", "");
            assert!(!contains(&page.message.body, key), "the metrics");
        }
        for replica in &pair.replicas {
            for run in replica.runs() {
                let text = format!("{run:?}");
                assert!(!contains(text.as_bytes(), key), "{text}");
            }
        }
    }
}
