//! Answers of the store are lost while configurations move a route; the machines are asked once
//! the store has been calm for `stability_window_ms`.

use std::path::PathBuf;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::Verdict;
use crate::http;
use crate::node::Node;
use crate::node::own_ip;
use crate::node::wait_until;
use crate::record::Record;
use crate::replica::Replica;
use crate::store::Store;

const ZONES: [&str; 4] = ["hobart-cbd", "glenorchy", "kingston", "eastern-shore"];
const NODES_PER_ZONE: u8 = 3;
const LOST_PERMILLE: u64 = 350;
const LOSS_TIME: Duration = Duration::from_millis(4_500);
const STABILITY_WINDOW: Duration = Duration::from_millis(4_000);
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);

pub fn run(record: &mut Record, trouble: bool) -> Verdict {
    let folder = PathBuf::from(std::env::var("REVIEW_TMP").expect("REVIEW_TMP"));
    let seed = std::env::var("REVIEW_SEED")
        .ok()
        .and_then(|it| it.parse().ok());
    let seed = seed.unwrap_or(std::process::id().into());
    let store = Store::start(own_ip(1));
    let work = Duration::from_millis(20);
    let services = ["dispatch-desk", "parts-yard", "spare-yard"];
    let replicas: Vec<Replica> = services
        .iter()
        .map(|service| Replica::start(own_ip(2), service, &format!("i-{service}"), ZONES[0], work))
        .collect();
    for replica in &replicas {
        store.put("servers", &replica.id, &replica.entry("ready"));
    }
    store.put("config", "main", &configuration(3, services[0]));
    let mut nodes = Vec::new();
    for (zone_number, zone) in ZONES.iter().enumerate() {
        for number in 1..=NODES_PER_ZONE {
            let number = zone_number as u8 * NODES_PER_ZONE + number;
            nodes.push(Node::start(&folder, store.address, zone, number, true));
        }
    }
    if !wait_until(Duration::from_secs(30), || nodes.iter().all(Node::is_ready)) {
        record.line("the nodes did not become ready");
        return Verdict::CouldNotRun;
    }
    thread::sleep(Duration::from_secs(6));
    if trouble {
        store.lose_answers(LOST_PERMILLE, seed);
        record.line(&format!(
            "the store loses {LOST_PERMILLE} of 1000 answers, seed {seed}"
        ));
    }
    let began = Instant::now();
    let mut version = 3;
    for step in 0..12_usize {
        version += 2;
        put_version(&store, record, version, services[(step + 1) % 2]);
        thread::sleep(Duration::from_millis(333));
    }
    thread::sleep((began + LOSS_TIME).saturating_duration_since(Instant::now()));
    store.lose_answers(0, 0);
    let (lost, lost_watches) = store.lost_answers();
    record.line(&format!(
        "the store loses no more answers; {lost} were lost, {lost_watches} of them to watches of config"
    ));
    thread::sleep(STABILITY_WINDOW + Duration::from_millis(100));
    record.line("the core is stable, all machines are in touch");
    version += 2;
    put_version(&store, record, version, services[2]);
    let confirmed = Instant::now();
    thread::sleep(CONFIG_APPLY + Duration::from_millis(50));
    let mut old = 0;
    let mut served = 0;
    for round in 0..5 {
        for node in &nodes {
            let id = format!("{}-{round}", node.name);
            let request = format!(
                "POST /farm/x HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\n\
                 Request-Deadline-Ms: 5000\r\nContent-Length: 4\r\nConnection: close\r\n\r\nfill"
            );
            let sent = Instant::now();
            let answer = http::ask(node.front, request.as_bytes(), Duration::from_secs(6));
            let status = answer.as_ref().map_or(0, http::Message::status);
            let signed = answer.as_ref().and_then(|it| it.header("server-stamp"));
            let signed = signed.unwrap_or("").to_owned();
            served += usize::from(status == 200);
            let stale = status == 200 && !signed.starts_with("i-spare-yard");
            old += usize::from(stale);
            let late_ms = (sent - confirmed).as_millis();
            let text = format!(
                "{id} sent {late_ms} ms after version {version}: {status} {signed}{}",
                if stale { " RUN BY THE OLD SERVICE" } else { "" }
            );
            record.line_at(sent, &text);
        }
        thread::sleep(Duration::from_millis(400));
    }
    record.line(&format!(
        "{old} of {served} requests were run by a service of an older version"
    ));
    if served == 0 {
        return Verdict::CouldNotRun;
    }
    if old > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn put_version(store: &Store, record: &mut Record, version: u64, service: &str) {
    store.put("config", "main", &configuration(version, service));
    record.line(&format!(
        "version {version} confirmed: the route goes to {service}"
    ));
}

fn configuration(version: u64, service: &str) -> Value {
    let services = ["dispatch-desk", "parts-yard", "spare-yard"];
    let service_of = |name: &&str| {
        json!({ "name": name, "max_connections": 214, "warmup_per_s": 20,
            "health_check_path": "/health" })
    };
    json!({
        "version": version,
        "routes": [{
            "name": "farm-history", "host": "desk.example", "path_prefix": "/farm/",
            "service": service, "kind": "unsafe", "priority": 2, "timeout_ms": 5000,
            "target_latency_ms": 500, "max_attempts": 2,
        }],
        "services": services.iter().map(service_of).collect::<Vec<Value>>(),
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 262144,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
    })
}
