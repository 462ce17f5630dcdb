//! Replicas fail a part of their requests after they ran them, with 503 and without
//! `Not-Executed`; consumers of an unsafe route heed what the node makes of it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::Case;
use crate::Verdict;
use crate::configuration;
use crate::http;
use crate::node::Node;
use crate::node::Place;
use crate::replica::Ending;
use crate::replica::Replica;
use crate::store::Store;

/// Replicas of the service; one of them, 0.125, is in trouble (`srv_grey` allows a share of 0.14).
const REPLICAS: usize = 8;

/// Of so many runs, the replica in trouble fails two: 0.4 (`srv_grey` allows 0.45).
const OF_RUNS: usize = 5;

/// Consumers that send at the same time.
const CONSUMERS: usize = 24;

const ORDERS: usize = 600;

pub fn run(case: &Case) -> Verdict {
    let (store, address) = Store::start(50, Duration::ZERO);
    store.put("config", "main", &configuration(3, "unsafe", 16_384, ""));
    let replicas: Vec<Replica> = (0..REPLICAS).map(|number| replica(case, number)).collect();
    for replica in &replicas {
        replica.check_in(&store, 1);
    }
    let place = Place {
        bounds: "",
        name: "frontend-z-a-1",
        store: address,
        zone: "z-a",
    };
    let node = Node::start(&case.folder, &place);
    if !node.wait_ready(Duration::from_secs(15)) {
        return Verdict::CannotRun;
    }
    let statuses: Mutex<BTreeMap<String, u16>> = Mutex::default();
    thread::scope(|scope| {
        for consumer in 0..CONSUMERS {
            let (node, statuses) = (&node, &statuses);
            scope.spawn(move || {
                for order in (consumer..ORDERS).step_by(CONSUMERS) {
                    send_order(case, node, order, statuses);
                }
            });
        }
    });
    let statuses = statuses.into_inner().expect("the answers");
    judge(case, &replicas, &statuses)
}

fn replica(case: &Case, number: usize) -> Replica {
    let in_trouble = case.trouble && number == 0;
    Replica::start(
        &case.record,
        "svc-a",
        &format!("i-{number}"),
        "z-a",
        move |run| {
            if in_trouble && run % OF_RUNS < 2 {
                Ending::Failure("503 Service Unavailable")
            } else {
                Ending::Success
            }
        },
    )
}

/// Sends an order and, if the answer promises that it has not run, sends it once more.
fn send_order(case: &Case, node: &Node, order: usize, statuses: &Mutex<BTreeMap<String, u16>>) {
    for attempt in 0..2 {
        let request_id = format!("order-{order}-attempt-{attempt}");
        let headers = format!("Request-Id: {request_id}\r\nRequest-Deadline-Ms: 4000\r\n");
        let answer = http::ask(
            node.front,
            "POST",
            "/one/order",
            &headers,
            &order.to_string(),
        );
        let status = answer.as_ref().map_or(0, http::Message::status);
        case.record
            .line(&format!("sent {request_id}, answered {status}"));
        statuses
            .lock()
            .expect("the answers")
            .insert(request_id, status);
        if !matches!(status, 408 | 421 | 429 | 503) {
            return;
        }
        let wait_s = answer
            .and_then(|it| it.header("retry-after")?.parse().ok())
            .unwrap_or(0.02);
        thread::sleep(Duration::from_secs_f64(wait_s));
    }
}

/// REFUSED: a request that isn't idempotent is answered 429 or 503 (or 408, 421) and has run.
fn judge(case: &Case, replicas: &[Replica], statuses: &BTreeMap<String, u16>) -> Verdict {
    let runs: Vec<_> = replicas.iter().flat_map(Replica::runs).collect();
    let refused_and_run = runs.iter().filter(|run| {
        let status = statuses.get(&run.request_id);
        matches!(status, Some(408 | 421 | 429 | 503))
    });
    let refused_and_run = refused_and_run.count();
    let mut orders = BTreeSet::new();
    let twice = runs
        .iter()
        .filter(|run| !orders.insert(run.body.clone()))
        .count();
    case.record.line(&format!(
        "{refused_and_run} requests were refused and have run; {twice} orders were worked on again"
    ));
    if refused_and_run > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
