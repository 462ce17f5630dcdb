//! An entry of another writer lies among the replicas' entries when all processes are killed and
//! start again.

use std::env;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Case;
use crate::Verdict;
use crate::configuration;
use crate::http;
use crate::node::Node;
use crate::node::Place;
use crate::replica::Ending;
use crate::replica::Replica;
use crate::store::Store;

/// Objects on a page of the store; 50 in the site file.
const PAGE: usize = 50;

const REPLICAS: usize = 61;

const NODES: usize = 3;

/// Name of the entry of another writer, whose fields are missing: the copy by hand of an entry.
const ODD_NAME: &str = "i-0048 copy";

/// Pause between kill and start.
const DOWN: Duration = Duration::from_millis(1_500);

/// `recovery_s`.
const RECOVERY: Duration = Duration::from_secs(12);

/// Time of traffic before the kill, and after the recovery.
const TRAFFIC: Duration = Duration::from_secs(8);

pub fn run(case: &Case) -> Verdict {
    let (store, address) = Store::start(PAGE, Duration::ZERO);
    store.put("config", "main", &configuration(3, "safe", 16_384, ""));
    let replica = |number| {
        let id = format!("i-{number:04}");
        Replica::start(&case.record, "svc-a", &id, "z-a", |_| Ending::Success)
    };
    let replicas: Vec<Replica> = (0..REPLICAS).map(replica).collect();
    keep_checking_in(&store, replicas);
    let mut nodes: Vec<Node> = Vec::new();
    for number in 1..=NODES {
        let name = format!("frontend-z-a-{number}");
        let place = Place {
            bounds: "",
            name: &name,
            store: address,
            zone: "z-a",
        };
        nodes.push(Node::start(&case.folder, &place));
    }
    if !nodes
        .iter()
        .all(|node| node.wait_ready(Duration::from_secs(15)))
    {
        return Verdict::CannotRun;
    }
    // A control of the cause: REVIEW_NAME gives the entry another name.
    let name = env::var("REVIEW_NAME").unwrap_or_else(|_| ODD_NAME.to_owned());
    if case.trouble {
        store.put("servers", &name, r#"{"note":"kept for comparison"}"#);
        case.record.line(&format!(
            "entry servers/{name} without the fields of a replica"
        ));
    }
    let before = served_share(case, &nodes, "before");
    nodes.iter_mut().for_each(Node::kill);
    case.record.line("all processes killed");
    thread::sleep(DOWN);
    nodes.iter_mut().for_each(Node::start_again);
    case.record.line("all processes started");
    thread::sleep(RECOVERY);
    let after = served_share(case, &nodes, "after");
    case.record.line(&format!(
        "served {before:.2} before the final fault, {after:.2} after the recovery"
    ));
    if before < 0.25 {
        return Verdict::CannotRun;
    }
    // RECOVER: of the requests sent later than recovery_s after the machines are back, less than a
    // quarter is served.
    if after < 0.25 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn keep_checking_in(store: &Arc<Store>, replicas: Vec<Replica>) {
    let check_in = |store: &Store, sequence: u64| {
        replicas
            .iter()
            .for_each(|replica| replica.check_in(store, sequence));
    };
    check_in(store, 1);
    let store = store.clone();
    thread::spawn(move || {
        for sequence in 2.. {
            thread::sleep(Duration::from_millis(1_200));
            replicas
                .iter()
                .for_each(|replica| replica.check_in(&store, sequence));
        }
    });
}

/// Sends requests to all nodes in turn; returns the share that is served.
fn served_share(case: &Case, nodes: &[Node], name: &str) -> f64 {
    let end = Instant::now() + TRAFFIC;
    let (mut sent, mut served) = (0, 0);
    while Instant::now() < end {
        let node = &nodes[sent % nodes.len()];
        let request_id = format!("{name}-{sent}");
        let headers = format!("Request-Id: {request_id}\r\nRequest-Deadline-Ms: 2000\r\n");
        let answer = http::ask(node.front, "GET", "/one/x", &headers, "");
        let status = answer.map_or(0, |answer| answer.status());
        case.record.line(&format!(
            "sent {request_id} to {}, answered {status}",
            node.name
        ));
        sent += 1;
        served += usize::from(status == 200);
        thread::sleep(Duration::from_millis(50));
    }
    served as f64 / sent as f64
}
