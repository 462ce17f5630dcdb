//! A configuration removes a gather route below the prefix of another one over the same shards,
//! with another `top_k`, while one machine is stopped for planned work, or, with
//! `REVIEW_HOW=store`, while the store turns one machine away.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::Verdict;
use crate::http;
use crate::http::Message;
use crate::node::Node;
use crate::node::own_ip;
use crate::node::wait_until;
use crate::record::Record;
use crate::replica::Replica;
use crate::store::Store;

const NODES: u8 = 9;
const SHARDS: usize = 20;
const RECORDS: usize = 60;
const LONG_TOP: usize = 50;
const ZONE: &str = "greenwood";

struct Answer {
    at: Instant,
    id: String,
    node: String,
    message: Option<Message>,
}

pub fn run(record: &mut Record, trouble: bool) -> Verdict {
    let folder = PathBuf::from(std::env::var("REVIEW_TMP").expect("REVIEW_TMP"));
    let store = Store::start(own_ip(1));
    let mut replicas = Vec::new();
    for shard in 0..SHARDS {
        for copy in ["a", "b"] {
            let name = shard_name(shard);
            let id = format!("i-{shard}{copy}");
            let work = Duration::from_millis(5);
            let body = Some(records(shard).concat());
            let replica = Replica::start_with_body(own_ip(2), &name, &id, ZONE, work, body);
            store.put("servers", &replica.id, &replica.entry("ready"));
            replicas.push(replica);
        }
    }
    store.put("config", "main", &configuration(3, true));
    let gates: Vec<_> = (0..NODES).map(|_| store.gate(own_ip(1))).collect();
    let base: u8 = std::env::var("REVIEW_BASE").map_or(5, |text| text.parse().unwrap_or(5));
    let start = |number: u8| {
        let address = gates[usize::from(number - base) - 1].0;
        Node::start_sized(&folder, address, ZONE, number, true, (0.084, 112))
    };
    let nodes: Vec<Node> = (1..=NODES).map(|it| start(base + it)).collect();
    let reader = || nodes.iter().position(|it| it.source() == "store");
    let settled = || {
        let follows = |it: &&Node| it.source().starts_with("frontend");
        let followers = nodes.iter().filter(follows).count();
        nodes.iter().all(Node::is_ready) && reader().is_some() && followers + 1 == nodes.len()
    };
    if !wait_until(Duration::from_secs(30), settled) {
        record.line("the nodes did not settle");
        return Verdict::CouldNotRun;
    }
    // All nodes list each other again within 12.5 s.
    thread::sleep(Duration::from_secs(13));
    let Some(reader) = reader() else {
        return Verdict::CouldNotRun;
    };
    let term = std::env::var("REVIEW_HOW").map_or(true, |how| how != "store");
    let offset_ms = std::env::var("REVIEW_OFFSET_MS").ok();
    let offset_ms = offset_ms.and_then(|it| it.parse().ok()).unwrap_or(170);
    let stopped = Arc::new(AtomicBool::new(false));
    let others = nodes
        .iter()
        .enumerate()
        .filter(|(index, _)| *index != reader);
    let callers: Vec<_> = others
        .map(|(_, node)| {
            let (front, name, stopped) = (node.front, node.name.clone(), stopped.clone());
            thread::spawn(move || call(front, &name, &stopped))
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    if trouble {
        if term {
            nodes[reader].signal("TERM");
            record.line(&format!("SIGTERM to {}", nodes[reader].name));
        } else {
            gates[reader].1.store(true, Ordering::SeqCst);
            record.line(&format!("the store turns {} away", nodes[reader].name));
        }
    }
    thread::sleep(Duration::from_millis(if term { offset_ms } else { 100 }));
    store.put("config", "main", &configuration(5, false));
    record.line("version 5 confirmed: without the nested route");
    thread::sleep(Duration::from_millis(4_900));
    if trouble && !term {
        gates[reader].1.store(false, Ordering::SeqCst);
        record.line("the store serves it again");
    }
    thread::sleep(Duration::from_secs(1));
    stopped.store(true, Ordering::SeqCst);
    let mut answers: Vec<Answer> = callers
        .into_iter()
        .flat_map(|it| it.join().unwrap())
        .collect();
    answers.sort_by_key(|it| it.at);
    let mut wrong = 0;
    let mut served = 0;
    for answer in &answers {
        let checked = check(answer);
        wrong += usize::from(matches!(checked, Some(Err(_))));
        served += usize::from(checked.is_some());
        let outcome = match checked {
            None => {
                let status = answer.message.as_ref().map(Message::status);
                status.map_or("no answer".to_owned(), |it| it.to_string())
            }
            Some(Ok(text)) => text,
            Some(Err(text)) => format!("WRONG: {text}"),
        };
        record.line_at(
            answer.at,
            &format!("{} sent to {}: {outcome}", answer.id, answer.node),
        );
    }
    record.line(&format!("{wrong} wrong of {served} successes"));
    if served < 100 {
        return Verdict::CouldNotRun;
    }
    if wrong > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Checks a success: its body must be the greatest records of the parts that it names, as many as
/// one of the two routes says. `None` for another answer.
fn check(answer: &Answer) -> Option<Result<String, String>> {
    let message = answer.message.as_ref().filter(|it| it.status() == 200)?;
    let stamps = message.header("part-stamps").unwrap_or("");
    let missing = message.header("missing-parts").unwrap_or("0");
    let mut shards = BTreeSet::new();
    let mut all = Vec::new();
    for stamp in stamps.split(',').map(str::trim) {
        let Some((id, request)) = stamp.split_once('.') else {
            return Some(Err(format!("receipt {stamp}")));
        };
        let shard = id
            .trim_start_matches("i-")
            .trim_end_matches(['a', 'b'])
            .parse()
            .unwrap_or(99);
        if request != answer.id || !shards.insert(shard) {
            return Some(Err(format!("receipt {stamp}")));
        }
        all.extend(records(shard));
    }
    all.sort_unstable_by(|a, b| b.cmp(a));
    let matching = |top: usize| message.body == all[..top.min(all.len())].concat();
    let text = format!("200, {} parts, {missing} missing", shards.len());
    for top in [short_top(), LONG_TOP] {
        if matching(top) {
            return Some(Ok(format!("{text}, the greatest {top} records")));
        }
    }
    let got = message.body.len() / 16;
    Some(Err(format!(
        "{text}, {got} records, neither the greatest {} nor {LONG_TOP}",
        short_top()
    )))
}

fn call(front: SocketAddr, name: &str, stopped: &AtomicBool) -> Vec<Answer> {
    let mut answers = Vec::new();
    while !stopped.load(Ordering::SeqCst) {
        let id = format!("{name}-{}", answers.len());
        let at = Instant::now();
        let request = format!(
            "GET /season/short/x HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\n\
             Request-Deadline-Ms: 1200\r\nConnection: close\r\n\r\n"
        );
        let message = http::ask(front, request.as_bytes(), Duration::from_secs(3));
        answers.push(Answer {
            at,
            id,
            node: name.to_owned(),
            message,
        });
        thread::sleep(Duration::from_millis(40));
    }
    answers
}

/// `top_k` of the nested route. As a control of the cause, a larger one than that of the other
/// route must do no harm.
fn short_top() -> usize {
    let text = std::env::var("REVIEW_SHORT_TOP").ok();
    text.and_then(|it| it.parse().ok()).unwrap_or(5)
}

fn shard_name(shard: usize) -> String {
    format!("field-lookup-{shard:02}")
}

/// The records of a shard, in no order.
fn records(shard: usize) -> Vec<[u8; 16]> {
    let mut state = 0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(shard as u64 + 1);
    let mut next = || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        state
    };
    let record = |_| {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&next().to_be_bytes());
        bytes[8..].copy_from_slice(&next().to_be_bytes());
        bytes
    };
    (0..RECORDS).map(record).collect()
}

fn gather_route(name: &str, prefix: &str, top_k: usize) -> Value {
    let shards: Vec<String> = (0..SHARDS).map(shard_name).collect();
    json!({
        "name": name, "host": "desk.example", "path_prefix": prefix, "gather": shards,
        "top_k": top_k, "min_shard_fraction": 0.75, "kind": "safe", "priority": 1,
        "timeout_ms": 1200, "target_latency_ms": 60, "max_attempts": 2,
    })
}

fn configuration(version: u64, nested: bool) -> Value {
    let mut routes = vec![gather_route("season-rollup", "/season/", LONG_TOP)];
    if nested {
        routes.push(gather_route("season-short", "/season/short/", short_top()));
    }
    let service = |shard| {
        json!({ "name": shard_name(shard), "max_connections": 56, "warmup_per_s": 20,
            "health_check_path": "/health" })
    };
    json!({
        "version": version, "routes": routes,
        "services": (0..SHARDS).map(service).collect::<Vec<Value>>(),
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 262144,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
    })
}
