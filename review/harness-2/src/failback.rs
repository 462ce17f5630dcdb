//! A replica crashes and starts again, cold, under the id that it had; several times in a row.

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Case;
use crate::Verdict;
use crate::configuration;
use crate::http::Connection;
use crate::node::Node;
use crate::node::Place;
use crate::record::Record;
use crate::replica::Ending;
use crate::replica::Replica;
use crate::replica::unix_ms;
use crate::store::Store;

const NODES: usize = 4;

/// Consumers of each node, and the pause of each between two requests: some 260 requests a second.
const CONSUMERS: usize = 6;
const PAUSE: Duration = Duration::from_millis(85);

/// Replicas of other services, which get no requests: one of eight replicas crashes (0.125; the site
/// file has 0.14).
const OTHERS: usize = 6;

/// How long the replica is down each time (the site file has 4.5 s).
const DOWN_MS: [u64; 5] = [500, 800, 1_200, 2_000, 4_500];

/// Time from a start of the replica to its next crash.
const UP: Duration = Duration::from_secs(6);

/// `warmup_s`, and what the replica may get in a second while it is cold: `warmup_per_s` x
/// `warmup_overage` + `warmup_slack`.
const COLD: Duration = Duration::from_secs(3);
const BOUND: f64 = 10.0 * 1.5 + 5.0;

pub fn run(case: &Case) -> Verdict {
    let (store, address) = Store::start(500, Duration::ZERO);
    store.put("config", "main", &configuration(3, "safe", 16_384, ""));
    let present: Arc<Mutex<Vec<Replica>>> = Arc::default();
    for number in 0..OTHERS {
        let (service, id) = (format!("svc-{number}"), format!("i-9{number}"));
        let other = Replica::start(&case.record, &service, &id, "z-a", |_| Ending::Success);
        present.lock().expect("the replicas").push(other);
    }
    let sound = Replica::start(&case.record, "svc-a", "i-1", "z-a", |_| Ending::Success);
    let mut replica = Replica::start(&case.record, "svc-a", "i-2", "z-a", |_| Ending::Success);
    present
        .lock()
        .expect("the replicas")
        .extend([sound, replica.clone()]);
    keep_checking_in(&store, &present);
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
    thread::sleep(Duration::from_secs(8));
    for node in &nodes {
        for consumer in 0..CONSUMERS {
            consume(
                &case.record,
                node.front,
                format!("{}-{consumer}", node.name),
            );
        }
    }
    thread::sleep(Duration::from_secs(3));
    let mut most = 0;
    for down_ms in DOWN_MS {
        if case.trouble {
            replica = crash_and_start(case, &store, &present, &replica, down_ms);
            let started = Instant::now();
            thread::sleep(UP);
            most = most.max(most_while_cold(case, &replica, started));
        } else {
            thread::sleep(UP);
        }
    }
    case.record.line(&format!(
        "most runs of the cold replica in a second: {most}; allowed: {BOUND}"
    ));
    if most as f64 > BOUND {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Checks all replicas in each 1.2 s.
fn keep_checking_in(store: &Arc<Store>, present: &Arc<Mutex<Vec<Replica>>>) {
    let (store, present) = (store.clone(), present.clone());
    let check_in = move |sequence| {
        for replica in present.lock().expect("the replicas").iter() {
            replica.check_in(&store, sequence);
        }
    };
    check_in(1);
    thread::spawn(move || {
        for sequence in 2.. {
            thread::sleep(Duration::from_millis(1_200));
            check_in(sequence);
        }
    });
}

/// Lets the replica crash and start again under its id and address; it checks in at once.
fn crash_and_start(
    case: &Case,
    store: &Store,
    present: &Mutex<Vec<Replica>>,
    former: &Replica,
    down_ms: u64,
) -> Replica {
    present
        .lock()
        .expect("the replicas")
        .retain(|replica| replica.id != former.id);
    former.crash();
    case.record.line(&format!("{} crashes", former.id));
    thread::sleep(Duration::from_millis(down_ms));
    let port = former.address.port();
    let record = &case.record;
    let replica = Replica::start_at(record, "svc-a", &former.id, "z-a", port, unix_ms(), |_| {
        Ending::Success
    });
    replica.check_in(store, 0);
    case.record.line(&format!(
        "{} has started again, cold, and checked in",
        replica.id
    ));
    present.lock().expect("the replicas").push(replica.clone());
    replica
}

/// FAILBACK: a cold replica gets more requests in one second than it may.
fn most_while_cold(case: &Case, replica: &Replica, started: Instant) -> usize {
    let at: Vec<Instant> = replica.runs().iter().map(|run| run.at).collect();
    let cold = |at: &&Instant| **at < started + COLD;
    let second = Duration::from_secs(1);
    let within = |begin: &Instant| {
        at.iter()
            .filter(|it| **it >= *begin && **it < *begin + second)
            .count()
    };
    let most = at.iter().filter(cold).map(within).max().unwrap_or(0);
    case.record
        .line(&format!("most runs in a second of this cold start: {most}"));
    most
}

/// Sends requests to a node for as long as this process runs.
fn consume(record: &Arc<Record>, front: u16, name: String) {
    let record = record.clone();
    thread::spawn(move || {
        let mut number = 0;
        loop {
            let Some(mut connection) = Connection::open(front) else {
                thread::sleep(PAUSE);
                continue;
            };
            loop {
                number += 1;
                let headers =
                    format!("Request-Id: {name}-{number}\r\nRequest-Deadline-Ms: 2000\r\n");
                let path = format!("/one/{name}-{number}");
                let answer = connection.ask("GET", &path, &headers, "");
                let status = answer.as_ref().map_or(0, crate::http::Message::status);
                record.line(&format!("sent {name}-{number}, answered {status}"));
                thread::sleep(PAUSE);
                if answer.is_none() {
                    break;
                }
            }
        }
    });
}
