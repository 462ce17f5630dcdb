//! Many replicas report `draining` while a restarted machine lists them page by page.

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

const SHARDS: usize = 400;
const COPIES: usize = 3;
/// 0.15 of the replicas, in different shards.
const LEAVE: usize = 180;
const LEAVE_TIME: Duration = Duration::from_millis(500);
const DRAIN: Duration = Duration::from_millis(3_000);
const STABILITY_WINDOW: Duration = Duration::from_millis(4_000);
const ZONE: &str = "greenwood";

pub fn run(record: &mut Record, trouble: bool) -> Verdict {
    let folder = PathBuf::from(std::env::var("REVIEW_TMP").expect("REVIEW_TMP"));
    let store = Store::start(own_ip(1));
    let mut replicas = Vec::new();
    for shard in 0..SHARDS {
        for copy in 0..COPIES {
            let id = format!("i-{:04x}", (shard * COPIES + copy) * 40_503 % 65_536);
            let (service, work) = (shard_name(shard), Duration::from_millis(5));
            let body = Some(vec![shard as u8; 32]);
            let replica = Replica::start_with_body(own_ip(2), &service, &id, ZONE, work, body);
            store.put("servers", &replica.id, &replica.entry("ready"));
            replicas.push(replica);
        }
    }
    store.put("config", "main", &configuration());
    let start = |first| Node::start_sized(&folder, store.address, ZONE, 1, first, (0.5, 512));
    let mut node = start(true);
    if !wait_until(Duration::from_secs(30), || node.is_ready()) {
        record.line("the node did not become ready");
        return Verdict::CouldNotRun;
    }
    thread::sleep(Duration::from_secs(5));
    let mut started = Instant::now();
    if trouble {
        node.signal("TERM");
        record.line("SIGTERM to the machine");
        if !wait_until(Duration::from_secs(7), || node.has_ended()) {
            return Verdict::CouldNotRun;
        }
        drop(node);
        started = Instant::now();
        node = start(false);
        record.line("the machine starts again");
    }
    let mut confirmed = Vec::new();
    let began = Instant::now();
    for index in 0..LEAVE {
        let replica = &replicas[index * 2 * COPIES + index % COPIES];
        replica.leave();
        store.put("servers", &replica.id, &replica.entry("draining"));
        confirmed.push((replica, Instant::now()));
        let next = began + LEAVE_TIME * (index as u32 + 1) / LEAVE as u32;
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    record.line(&format!(
        "{LEAVE} replicas have reported draining within 0.5 s"
    ));
    // From here on the machine is in touch, and drain_ms has passed for all.
    let judged = (started + STABILITY_WINDOW).max(Instant::now() + DRAIN);
    thread::sleep(judged.saturating_duration_since(Instant::now()));
    thread::sleep(Duration::from_millis(300));
    let mut served = 0;
    for number in 0..10 {
        let request = format!(
            "GET /season/x HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: q{number}\r\n\
             Request-Deadline-Ms: 2000\r\nConnection: close\r\n\r\n"
        );
        record.line(&format!("q{number} sent"));
        let answer = http::ask(node.front, request.as_bytes(), Duration::from_secs(3));
        let status = answer.map_or(0, |it| it.status());
        served += usize::from(status == 200);
        record.line(&format!("q{number} answered: {status}"));
    }
    let mut late = 0;
    for (replica, at) in confirmed {
        for run in replica.runs().iter().filter(|run| run.at > at + DRAIN) {
            late += 1;
            let late_ms = (run.at - at).as_millis();
            let text = format!(
                "{} runs {}, {late_ms} ms after its draining was confirmed",
                replica.id, run.request_id
            );
            record.line_at(run.at, &text);
        }
    }
    record.line(&format!(
        "{late} requests reached draining replicas later than drain_ms"
    ));
    if served == 0 {
        return Verdict::CouldNotRun;
    }
    if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn shard_name(shard: usize) -> String {
    format!("dispatch-desk-{shard:03}")
}

fn configuration() -> Value {
    let shards: Vec<String> = (0..SHARDS).map(shard_name).collect();
    let service = |shard| {
        json!({ "name": shard_name(shard), "max_connections": 175, "warmup_per_s": 20,
            "health_check_path": "/health" })
    };
    json!({
        "version": 3,
        "routes": [{
            "name": "squall-stock", "host": "desk.example", "path_prefix": "/season/",
            "gather": shards, "top_k": 10, "min_shard_fraction": 0.5, "kind": "safe",
            "priority": 1, "timeout_ms": 2000, "target_latency_ms": 1000, "max_attempts": 2,
        }],
        "services": (0..SHARDS).map(service).collect::<Vec<Value>>(),
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 262144,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
    })
}
