//! In a drill the store comes back from a copy that was made before the nodes had registered.

use std::env;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Case;
use crate::Verdict;
use crate::configuration;
use crate::http::Connection;
use crate::node::Node;
use crate::node::Place;
use crate::replica::Ending;
use crate::replica::Replica;
use crate::store::Store;

const NODES: usize = 10;

/// `rate_per_s` and `burst_size` of the tenant.
const RATE_PER_S: f64 = 10.0;
const BURST: f64 = 10.0;

/// `quota_window_s`, `quota_overage` and `quota_slack`.
const WINDOW: Duration = Duration::from_secs(5);
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;

/// Age of lists with `serializable`, which "may return data that is seconds old".
const STALE: Duration = Duration::from_secs(3);

/// Times after the start of the processes: the store goes away, comes back from the copy, traffic
/// begins (10 s, as on the sheets), the tenant is hot, and traffic ends.
const AWAY: Duration = Duration::from_secs(8);
const BACK: Duration = Duration::from_secs(9);
const TRAFFIC: Duration = Duration::from_secs(10);
const HOT: Duration = Duration::from_secs(16);
const CALM: Duration = Duration::from_millis(22_500);
const END: Duration = Duration::from_millis(24_500);

/// What the tenant sends as usual, over all nodes, and how many times that while it is hot, for 6.5 s
/// (`hot_tenant`).
const USUAL_PER_S: f64 = 8.0;
const HOT_FACTOR: f64 = 7.5;

const BOUNDS: &str = "  quota_window_s: 5\n  quota_overage: 0.1\n  quota_slack: 20\n";

pub fn run(case: &Case) -> Verdict {
    let (store, address) = Store::start(500, STALE);
    let tenants = format!(
        r#","tenants":[{{"name":"tenant-1","api_keys":["key-1"],"rate_per_s":{RATE_PER_S},"burst_size":{BURST}}}]"#
    );
    store.put(
        "config",
        "main",
        &configuration(3, "safe", 16_384, &tenants),
    );
    let replica = Replica::start(&case.record, "svc-a", "i-1", "z-a", |_| Ending::Success);
    keep_checking_in(&store, &replica);
    let copy = store.copy();
    let start = Instant::now();
    let mut nodes: Vec<Node> = Vec::new();
    for number in 1..=NODES {
        let name = format!("frontend-z-a-{number}");
        let place = Place {
            bounds: BOUNDS,
            name: &name,
            store: address,
            zone: "z-a",
        };
        nodes.push(Node::start(&case.folder, &place));
    }
    if !nodes
        .iter()
        .all(|node| node.wait_ready(Duration::from_secs(6)))
    {
        return Verdict::CannotRun;
    }
    // A control of the cause: with REVIEW_COPY=late the copy has the nodes' registrations.
    let late = env::var("REVIEW_COPY").is_ok_and(|value| value == "late");
    sleep_until(start + AWAY - Duration::from_secs(1));
    let copy = if late { store.copy() } else { copy };
    sleep_until(start + AWAY);
    if case.trouble {
        store.set_down(true);
        case.record.line("the store is away");
        sleep_until(start + BACK);
        store.restore(&copy);
        case.record.line("the store is back from the copy");
    }
    sleep_until(start + TRAFFIC);
    thread::scope(|scope| {
        for node in &nodes {
            scope.spawn(|| consume(case, node, start));
        }
    });
    judge(case, &replica)
}

fn keep_checking_in(store: &Arc<Store>, replica: &Replica) {
    replica.check_in(store, 1);
    let (store, replica) = (store.clone(), replica.clone());
    thread::spawn(move || {
        for sequence in 2.. {
            thread::sleep(Duration::from_millis(1_200));
            if !store.is_down() {
                replica.check_in(&store, sequence);
            }
        }
    });
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Returns the pause between two requests to one node.
fn pause(start: Instant) -> Duration {
    let hot = (HOT..CALM).contains(&start.elapsed());
    let factor = if hot { HOT_FACTOR } else { 1.0 };
    Duration::from_secs_f64(NODES as f64 / (USUAL_PER_S * factor))
}

/// Sends requests of the tenant to a node.
fn consume(case: &Case, node: &Node, start: Instant) {
    let end = start + END;
    let mut number = 0;
    while Instant::now() < end {
        let Some(mut connection) = Connection::open(node.front) else {
            thread::sleep(pause(start));
            continue;
        };
        while Instant::now() < end {
            number += 1;
            let request_id = format!("{}-{number}", node.name);
            let headers = format!(
                "Request-Id: {request_id}\r\nRequest-Deadline-Ms: 2000\r\nAuthorization: Token key-1\r\n"
            );
            let answer = connection.ask("GET", "/one/x", &headers, "");
            let status = answer.as_ref().map_or(0, crate::http::Message::status);
            case.record
                .line(&format!("sent {request_id}, answered {status}"));
            thread::sleep(pause(start));
            if answer.is_none() {
                break;
            }
        }
    }
}

/// QUOTA: in some window, more requests of a tenant are sent and run than its limit allows.
fn judge(case: &Case, replica: &Replica) -> Verdict {
    let mut at: Vec<Instant> = replica.runs().iter().map(|run| run.at).collect();
    at.sort();
    let within = |begin: &Instant| {
        at.iter()
            .filter(|it| **it >= *begin && **it < *begin + WINDOW)
            .count()
    };
    let most = at.iter().map(within).max().unwrap_or(0);
    let bound = (RATE_PER_S * WINDOW.as_secs_f64() + BURST) * (1.0 + OVERAGE) + SLACK;
    case.record.line(&format!(
        "most runs in a window: {most}; allowed: {bound:.1}"
    ));
    if most == 0 {
        Verdict::CannotRun
    } else if most as f64 > bound {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
