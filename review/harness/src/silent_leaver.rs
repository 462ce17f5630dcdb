//! A replica is replaced and leaves without reporting `draining`, and the machine that reads the store for the
//! others is stopped for planned work 0.4 s later (with `REVIEW_SIGNAL=STOP` it freezes).

use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::Verdict;
use crate::http;
use crate::node::Node;
use crate::node::own_ip;
use crate::node::wait_until;
use crate::record::Record;
use crate::replica::Replica;
use crate::store::Store;

const NODES: u8 = 11;
const ZONE: &str = "greenwood";
/// Cold time of a replica that starts, and the time between two of its check-ins.
const COLD_MS: u64 = 3_000;
const CHECK_IN_MS: u64 = 1_200;
const DRAIN: Duration = Duration::from_millis(3_000);

struct Sent {
    at: Instant,
    id: String,
    node: String,
    status: Option<u16>,
    signed: String,
}

pub fn run(record: &mut Record, trouble: bool) -> Verdict {
    let signal = std::env::var("REVIEW_SIGNAL").unwrap_or_else(|_| "TERM".into());
    let offset_ms = std::env::var("REVIEW_OFFSET_MS").ok();
    let offset_ms = offset_ms.and_then(|text| text.parse().ok()).unwrap_or(400);
    let folder = PathBuf::from(std::env::var("REVIEW_TMP").expect("REVIEW_TMP"));
    let store = Store::start(own_ip(1));
    let work = Duration::from_millis(300);
    let start = |id| Replica::start(own_ip(2), "dispatch-desk", id, ZONE, work);
    let (leaver, stays) = (start("i-leaver"), start("i-stays"));
    for replica in [&leaver, &stays] {
        store.put("servers", &replica.id, &replica.entry("ready"));
    }
    store.put("config", "main", &configuration());
    let nodes: Vec<Node> = (1..=NODES)
        .map(|it| Node::start(&folder, store.address, ZONE, it, true))
        .collect();
    let settled = || {
        let readers = nodes.iter().filter(|it| it.source() == "store").count();
        let follows = |it: &&Node| it.source().starts_with("frontend");
        let followers = nodes.iter().filter(follows).count();
        nodes.iter().all(Node::is_ready) && readers == 1 && readers + followers == nodes.len()
    };
    if !wait_until(Duration::from_secs(40), settled) {
        record.line("the nodes did not settle");
        return Verdict::CouldNotRun;
    }
    // All machines are in touch: nothing was disturbed for longer than stability_window_ms.
    thread::sleep(Duration::from_secs(6));
    let Some(reader) = nodes.iter().position(|it| it.source() == "store") else {
        return Verdict::CouldNotRun;
    };
    for node in &nodes {
        let sent = send(&node.front, &node.name, "before");
        record.line_at(sent.at, &sent.text());
    }
    let new = start("i-new");
    store.put("servers", &new.id, &new.entry_with("ready", 1, COLD_MS));
    record.line("i-new registers, cold; it replaces i-leaver");
    let check_ins = (new, store.clone());
    thread::spawn(move || check_in(&check_ins.0, &check_ins.1));
    thread::sleep(Duration::from_millis(100));
    leaver.leave();
    store.remove("servers", &leaver.id);
    let gone_at = Instant::now();
    record.line("i-leaver's entry is removed; the store confirms it");
    thread::sleep(Duration::from_millis(offset_ms));
    if trouble {
        nodes[reader].signal(&signal);
        record.line(&format!("SIG{signal} to {}", nodes[reader].name));
    }
    // A calm route: the next requests come only after the bound.
    sleep_until(gone_at + DRAIN + Duration::from_millis(30));
    let others = nodes
        .iter()
        .enumerate()
        .filter(|(index, _)| *index != reader);
    let twice = others.flat_map(|(_, node)| ["a", "b"].map(|caller| (node, caller)));
    let callers: Vec<_> = twice
        .map(|(node, caller)| {
            let (front, name) = (node.front, node.name.clone());
            thread::spawn(move || call(front, &name, caller, gone_at + DRAIN))
        })
        .collect();
    // It serves for drain_ms and a little longer.
    sleep_until(gone_at + DRAIN + Duration::from_millis(250));
    leaver.end();
    record.line("i-leaver ends");
    let mut sent: Vec<Sent> = callers
        .into_iter()
        .flat_map(|it| it.join().unwrap())
        .collect();
    sent.sort_by_key(|it| it.at);
    for it in &sent {
        record.line_at(it.at, &it.text());
    }
    let late: Vec<_> = leaver
        .runs()
        .into_iter()
        .filter(|run| run.at > gone_at + DRAIN)
        .collect();
    for run in &late {
        let late_ms = (run.at - gone_at).as_millis();
        let text = format!(
            "{} reaches i-leaver {late_ms} ms after its removal was confirmed; ran: {}, answered: {}",
            run.request_id, run.ran, run.answered
        );
        record.line_at(run.at, &text);
    }
    if trouble && signal == "STOP" {
        nodes[reader].signal("CONT");
    }
    let lost = late.iter().filter(|run| run.ran && !run.answered).count();
    let count = late.len();
    record.line(&format!(
        "{count} requests reached i-leaver later than drain_ms, {lost} ran and were lost"
    ));
    if sent.iter().filter(|it| it.status == Some(200)).count() < 4 {
        return Verdict::CouldNotRun;
    }
    if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}

/// The check-ins of a replica that has just started, until it is warm.
fn check_in(replica: &Replica, store: &Store) {
    for number in 1..=3 {
        thread::sleep(Duration::from_millis(CHECK_IN_MS));
        let remaining_ms = COLD_MS.saturating_sub(u64::from(number) * CHECK_IN_MS);
        let entry = replica.entry_with("ready", 1 + number, remaining_ms);
        store.put("servers", &replica.id, &entry);
    }
}

impl Sent {
    fn text(&self) -> String {
        let status = self
            .status
            .map_or("no answer".to_owned(), |it| it.to_string());
        format!(
            "{} sent to {}: {status} {}",
            self.id, self.node, self.signed
        )
    }
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

fn call(front: SocketAddr, name: &str, caller: &str, bound: Instant) -> Vec<Sent> {
    let mut sent = Vec::new();
    let mut index = 0;
    while Instant::now() < bound + Duration::from_millis(1_100) {
        index += 1;
        sent.push(send(&front, name, &format!("{caller}{index}")));
    }
    sent
}

fn send(front: &SocketAddr, name: &str, number: &str) -> Sent {
    let id = format!("{name}-{number}");
    let at = Instant::now();
    let request = format!(
        "POST /farm/x HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\n\
         Request-Deadline-Ms: 5000\r\nContent-Length: 4\r\nConnection: close\r\n\r\nfill"
    );
    let answer = http::ask(*front, request.as_bytes(), Duration::from_secs(6));
    Sent {
        at,
        node: name.to_owned(),
        status: answer.as_ref().map(http::Message::status),
        signed: answer
            .and_then(|it| it.header("server-stamp").map(str::to_owned))
            .unwrap_or_default(),
        id,
    }
}

fn configuration() -> serde_json::Value {
    json!({
        "version": 3,
        "routes": [{
            "name": "farm-history", "host": "desk.example", "path_prefix": "/farm/",
            "service": "dispatch-desk", "kind": "unsafe", "priority": 2, "timeout_ms": 5000,
            "target_latency_ms": 500, "max_attempts": 2,
        }],
        "services": [{ "name": "dispatch-desk", "max_connections": 214, "warmup_per_s": 20,
            "health_check_path": "/health" }],
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 262144,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
    })
}
