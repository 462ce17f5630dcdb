//! All replicas of a service crash, 0.1 s apart, while many consumers ask the same of it, and are
//! back two seconds later.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::Case;
use crate::Verdict;
use crate::http::Connection;
use crate::http::Message;
use crate::node::Node;
use crate::node::Place;
use crate::record::Record;
use crate::replica::Ending;
use crate::replica::Replica;
use crate::replica::unix_ms;
use crate::store::Store;

const NODES: usize = 3;

/// Consumers of each route at each node, and the pause of each between two requests.
const CONSUMERS: usize = 3;
const PAUSE: Duration = Duration::from_millis(180);

/// Work of a request; the site's farm-history has a mean of 120 ms.
const WORK: Duration = Duration::from_millis(120);

/// Time between the two crashes, and from the last one to the start (the site file has 4.5 s).
const APART: Duration = Duration::from_millis(100);
const DOWN: Duration = Duration::from_secs(2);

/// `stability_window_ms`, from the start of the replicas on.
const STABILITY: Duration = Duration::from_secs(4);

/// Time for which the routes are compared.
const STEADY: Duration = Duration::from_secs(25);

/// Answers by route and status, counted while the routes are compared.
type Counts = Arc<Mutex<Option<BTreeMap<(&'static str, u16), usize>>>>;

pub fn run(case: &Case) -> Verdict {
    let (store, address) = Store::start(500, Duration::ZERO);
    store.put("config", "main", &configuration(3, false));
    let start = |service: &str, id: &str| {
        let born_ms = unix_ms();
        let work = |_| Ending::After(WORK);
        Replica::start_at(&case.record, service, id, "z-a", 0, born_ms, work)
    };
    let late = [start("svc-late", "i-1"), start("svc-late", "i-2")];
    let first = ["i-3", "i-4", "i-5", "i-6"].map(|id| start("svc-first", id));
    let present = Arc::new(Mutex::new([&late[..], &first[..]].concat()));
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
    thread::sleep(Duration::from_secs(4));
    store.put("config", "main", &configuration(4, true));
    case.record.line("a version that adds /late/ is confirmed");
    thread::sleep(Duration::from_secs(5));
    let counts: Counts = Arc::default();
    for node in &nodes {
        for number in 0..CONSUMERS {
            consume(&case.record, node, "/late/report", number, &counts);
            consume(&case.record, node, "/first/report", number, &counts);
        }
    }
    thread::sleep(Duration::from_millis(4_070));
    if case.trouble {
        for (number, replica) in late.iter().enumerate() {
            present
                .lock()
                .expect("the replicas")
                .retain(|other| other.id != replica.id);
            replica.crash();
            case.record.line(&format!("{} crashes", replica.id));
            thread::sleep(if number == 0 { APART } else { DOWN });
        }
        for id in ["i-7", "i-8"] {
            let replica = start("svc-late", id);
            replica.check_in(&store, 1);
            case.record
                .line(&format!("{id} of the same service has started"));
            present.lock().expect("the replicas").push(replica);
        }
    }
    thread::sleep(STABILITY);
    *counts.lock().expect("the counts") = Some(BTreeMap::new());
    thread::sleep(STEADY);
    judge(case, &counts)
}

/// Returns a configuration; the route /late/ is added by a later version.
fn configuration(version: u64, with_late: bool) -> String {
    let route = |name: &str| {
        format!(
            r#"{{"name":"r-{name}","host":"shop.example","path_prefix":"/{name}/","kind":"safe","timeout_ms":5000,"target_latency_ms":500,"priority":1,"service":"svc-{name}","max_attempts":2}}"#
        )
    };
    let mut routes = route("first");
    if with_late {
        routes = format!("{routes},{}", route("late"));
    }
    let service = |name: &str| {
        format!(
            r#"{{"name":"svc-{name}","health_check_path":"/health","max_connections":214,"warmup_s":3.0,"warmup_per_s":0.0}}"#
        )
    };
    let services = [service("first"), service("late")].join(",");
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{services}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

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

/// Sends the same request to a node, with a new id each time, for as long as this process runs.
fn consume(record: &Arc<Record>, node: &Node, path: &'static str, number: usize, counts: &Counts) {
    let (record, front, counts) = (record.clone(), node.front, counts.clone());
    let name = format!("{}-{number}{}", node.name, path.replace('/', "-"));
    thread::spawn(move || {
        // Consumers don't keep step.
        thread::sleep(Duration::from_millis(37 * number as u64));
        let mut sent = 0;
        loop {
            let Some(mut connection) = Connection::open(front) else {
                thread::sleep(PAUSE);
                continue;
            };
            loop {
                sent += 1;
                let headers = format!("Request-Id: {name}-{sent}\r\nRequest-Deadline-Ms: 5000\r\n");
                let answer = connection.ask("GET", path, &headers, "");
                let status = answer.as_ref().map_or(0, Message::status);
                record.line(&format!("sent {name}-{sent}, answered {status}"));
                if let Some(counts) = counts.lock().expect("the counts").as_mut() {
                    *counts.entry((path, status)).or_default() += 1;
                }
                thread::sleep(PAUSE);
                if answer.is_none() {
                    break;
                }
            }
        }
    });
}

/// CONFIG: in steady state, machines in touch get 20 or more requests on routes that were added
/// later, and serve them less than a quarter as often as those on the first routes.
fn judge(case: &Case, counts: &Counts) -> Verdict {
    let counts = counts
        .lock()
        .expect("the counts")
        .take()
        .unwrap_or_default();
    case.record
        .line(&format!("answers in steady state: {counts:?}"));
    let sent = |path| -> usize {
        counts
            .iter()
            .filter(|((of, _), _)| *of == path)
            .map(|(_, count)| *count)
            .sum()
    };
    let share = |path| {
        let served = counts.get(&(path, 200)).copied().unwrap_or(0);
        served as f64 / sent(path).max(1) as f64
    };
    let (late, first) = (share("/late/report"), share("/first/report"));
    case.record.line(&format!(
        "served: {late:.2} on the later route, {first:.2} on the first"
    ));
    if sent("/late/report") < 20 || first < 0.25 {
        Verdict::CannotRun
    } else if late < first / 4.0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
