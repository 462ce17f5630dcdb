//! Guards against tenants that get more or less than their quota over all nodes together.

use std::time::Instant;

use serde_json::json;

use wigeonhall_adapter::Collection;
use wigeonhall_adapter::REMAINING_MS;
use wigeonhall_adapter::REQUEST_ID;
use wigeonhall_adapter_standins::Behaviour;
use wigeonhall_adapter_standins::ReplicaStandin;
use wigeonhall_adapter_standins::StoreStandin;
use wigeonhall_dispatch::PeerNode;
use wigeonhall_dispatch::Peers;

use crate::caller::Answer;
use crate::caller::Caller;
use crate::deployment::Node;
use crate::deployment::wait_until;

const NODES: usize = 4;

const RATE_PER_S: f64 = 2.0;

const BURST: f64 = 4.0;

/// Bound of the platform on the requests of the limited tenant in a time.
fn bound(elapsed_s: f64) -> f64 {
    (RATE_PER_S * elapsed_s + BURST) * 1.1 + 20.0
}

fn name(number: usize) -> String {
    format!("node-{number}")
}

/// Starts nodes that know each other, with one limited tenant and one without a limit.
fn fleet(replica: &ReplicaStandin) -> (StoreStandin, Vec<Node>) {
    let store = StoreStandin::start().unwrap();
    let spec = json!({
        "version": 1,
        "routes": [{
            "name": "one", "host": "shop.example", "path_prefix": "/one/", "kind": "safe",
            "service": "a", "timeout_ms": 5_000, "target_latency_ms": 500, "max_attempts": 2,
        }],
        "tenants": [
            { "name": "limited", "api_keys": ["k-1"], "rate_per_s": RATE_PER_S, "burst_size": BURST },
            { "name": "free", "api_keys": ["k-2"] },
        ],
    });
    store.put(Collection::Configuration, "main", &spec);
    store.register(&replica.registration("north"));
    let start = |number| Node::start_named(&store, &name(number));
    let nodes: Vec<Node> = (0..NODES).map(start).collect();
    for node in &nodes {
        node.wait_ready();
        node.logged(|line| line["event"] == "nodes" && line["near"] == NODES);
    }
    (store, nodes)
}

fn ask(node: &Node, key: &str, id: &str) -> Answer {
    let mut caller = Caller::connect(node.callers);
    caller.send(&format!(
        "GET /one/x HTTP/1.1\r\nHost: shop.example\r\n{REQUEST_ID}: {id}\r\n\
         Authorization: Token {key}\r\n{REMAINING_MS}: 5000\r\nContent-Length: 0\r\n\r\n"
    ));
    caller.read().expect("an answer")
}

/// Returns the number of the node that owns the limited tenant.
fn owner() -> usize {
    let node = |number| PeerNode {
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: "north".into(),
        name: name(number).into(),
        processor_share: 0.01,
    };
    let mut peers = Peers::new(node(0));
    peers.replace((0..NODES).map(node).collect());
    let first = peers.ranked_nodes("limited", 1)[0].name.clone();
    (0..NODES).find(|it| *name(*it) == *first).unwrap()
}

#[test]
fn a_tenant_beyond_its_quota_is_refused_on_every_node_and_others_are_served() {
    let replica = ReplicaStandin::start("a", 1, |_| Behaviour::answer("ok")).unwrap();
    let (_store, nodes) = fleet(&replica);
    let start = Instant::now();
    let mut refusals = [0; NODES];
    let mut served = 0;
    let mut sent = 0;
    wait_until("refusals on every node", || {
        for (number, node) in nodes.iter().enumerate() {
            sent += 1;
            let answer = ask(node, "k-1", &format!("limited-{sent}"));
            match answer.status {
                200 => served += 1,
                429 => {
                    refusals[number] += 1;
                    let wait_s: f64 = answer.header("retry-after").unwrap().parse().unwrap();
                    assert!(wait_s > 0.0 && wait_s <= 10.0, "{wait_s} s");
                }
                status => panic!("status {status}"),
            }
        }
        refusals.iter().all(|count| *count >= 10)
    });
    let allowed = bound(start.elapsed().as_secs_f64());
    assert!(f64::from(served) <= allowed, "{served} of {allowed}");
    assert!(served >= 2, "{served}");
    assert_eq!(replica.runs().len(), served as usize);
    for node in &nodes {
        assert_eq!(ask(node, "k-2", "other").status, 200);
        let text = |line: &serde_json::Value| {
            let outcome = line["outcome"].as_str().unwrap_or("").to_owned();
            line["status"] == 429 && outcome.contains("limited")
        };
        node.logged(text);
    }
}

/// The backup owner must go on where the killed owner stopped.
#[test]
fn a_quota_holds_after_its_owner_was_killed() {
    let replica = ReplicaStandin::start("a", 1, |_| Behaviour::answer("ok")).unwrap();
    let (_store, mut nodes) = fleet(&replica);
    let start = Instant::now();
    let mut sent = 0;
    let mut count_served = |nodes: &[Node], count: usize| {
        let statuses = (0..count).map(|_| {
            sent += 1;
            let node = &nodes[sent % nodes.len()];
            ask(node, "k-1", &format!("limited-{sent}")).status
        });
        statuses.filter(|status| *status == 200).count()
    };
    let mut served = count_served(&nodes, 100);
    nodes[owner()].signal("KILL");
    drop(nodes.remove(owner()));
    served += count_served(&nodes, 200);
    let allowed = bound(start.elapsed().as_secs_f64());
    assert!(served as f64 <= allowed, "{served} of {allowed}");
    for node in &nodes {
        assert_eq!(ask(node, "k-2", "other").status, 200);
    }
}
