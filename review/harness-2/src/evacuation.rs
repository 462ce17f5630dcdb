//! In a drill the store comes back from a copy that was made before a zone was evacuated; the
//! operator writes the evacuation again some seconds later.

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

/// `evacuation_ms` and `stability_window_ms`.
const EVACUATION: Duration = Duration::from_secs(5);
const STABILITY: Duration = Duration::from_secs(4);

/// Times after the nodes are ready: the zone is evacuated, the store goes away, comes back from a
/// copy made just before the evacuation, the operator writes it again, and the end.
const EVACUATED: Duration = Duration::from_secs(2);
const AWAY: Duration = Duration::from_secs(9);
const BACK: Duration = Duration::from_secs(10);
const AGAIN: Duration = Duration::from_secs(18);
const END: Duration = Duration::from_secs(22);

pub fn run(case: &Case) -> Verdict {
    let (store, address) = Store::start(500, Duration::ZERO);
    let config = configuration(3, "safe", 16_384, "");
    store.put("config", "main", &config);
    let replica =
        |id: &str, zone: &str| Replica::start(&case.record, "svc-a", id, zone, |_| Ending::Success);
    let replicas = [
        replica("i-1", "z-a"),
        replica("i-2", "z-a"),
        replica("i-3", "z-b"),
        replica("i-4", "z-b"),
    ];
    keep_checking_in(&store, &replicas);
    let places = [("frontend-z-a-1", "z-a"), ("frontend-z-b-1", "z-b")];
    let nodes = places.map(|(name, zone)| {
        Node::start(
            &case.folder,
            &Place {
                bounds: "",
                name,
                store: address,
                zone,
            },
        )
    });
    if !nodes
        .iter()
        .all(|node| node.wait_ready(Duration::from_secs(15)))
    {
        return Verdict::CannotRun;
    }
    let start = Instant::now();
    let consumers = nodes.iter().map(|node| (node.front, node.name.clone()));
    let consumers: Vec<_> = consumers
        .map(|(front, name)| {
            let record = case.record.clone();
            thread::spawn(move || {
                let mut number = 0;
                while start.elapsed() < END {
                    number += 1;
                    let headers =
                        format!("Request-Id: {name}-{number}\r\nRequest-Deadline-Ms: 2000\r\n");
                    let status =
                        http::ask(front, "GET", "/one/x", &headers, "").map_or(0, |it| it.status());
                    record.line(&format!("sent {name}-{number}, answered {status}"));
                    thread::sleep(Duration::from_millis(50));
                }
            })
        })
        .collect();
    sleep_until(start + EVACUATED);
    let copy = store.copy();
    store.put("evacuations", "z-b", "{}");
    case.record.line("evacuation of z-b confirmed");
    if case.trouble {
        sleep_until(start + AWAY);
        store.set_down(true);
        case.record.line("the store is away");
        sleep_until(start + BACK);
        store.restore(&copy);
        store.put("config", "main", &config);
        case.record.line("the store is back from the copy");
        sleep_until(start + AGAIN);
        store.put("evacuations", "z-b", "{}");
        case.record.line("evacuation of z-b written again");
    }
    for consumer in consumers {
        drop(consumer.join());
    }
    judge(case, &replicas, start)
}

fn keep_checking_in(store: &Arc<Store>, replicas: &[Replica]) {
    replicas
        .iter()
        .for_each(|replica| replica.check_in(store, 1));
    let (store, replicas) = (store.clone(), replicas.to_vec());
    thread::spawn(move || {
        for sequence in 2.. {
            thread::sleep(Duration::from_millis(1_200));
            if !store.is_down() {
                replicas
                    .iter()
                    .for_each(|replica| replica.check_in(&store, sequence));
            }
        }
    });
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// EVAC: a request reaches a replica of the zone later than `evacuation_ms` after the confirmation,
/// from a machine in touch; none is from `stability_window_ms` before the end of the drill on.
fn judge(case: &Case, replicas: &[Replica], start: Instant) -> Verdict {
    let runs: Vec<_> = replicas[2..].iter().flat_map(Replica::runs).collect();
    let before = runs.iter().filter(|run| run.at < start + EVACUATED).count();
    let late = runs.iter().filter(|run| {
        let in_touch = run.at < start + AWAY || run.at > start + BACK + STABILITY;
        run.at > start + EVACUATED + EVACUATION && (in_touch || !case.trouble)
    });
    let late = late.count();
    case.record.line(&format!(
        "{before} requests reached z-b before its evacuation, {late} when it was in force"
    ));
    if before == 0 {
        Verdict::CannotRun
    } else if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
