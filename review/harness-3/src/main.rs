//! `review-harness-3 CASE FOLDER`: plays a case; exits with 1 if the rule was broken, 0 if it held,
//! 2 if the case could not run. With `TROUBLE=0` it plays the case without the disruption.

mod deployment;
mod http;
mod node;
mod replica;
mod store;

use std::collections::BTreeMap;
use std::env;
use std::net::SocketAddr;
use std::panic::{self, AssertUnwindSafe};
use std::process;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use deployment::{Deployment, RECOVERY, Record, Rotation};

/// `memory_mb` of the site file.
const MEMORY_MB: u64 = 182;

/// How a case ended.
#[derive(Clone, Copy, Debug)]
pub enum Verdict {
    Held = 0,
    Broken = 1,
    NotRun = 2,
}

fn main() {
    let mut args = env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: review-harness-3 CASE FOLDER");
        process::exit(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&folder);
    record.line(&format!("case {case}, with the disruption: {trouble}"));
    thread::spawn(node::end_after_limit);
    let played = panic::catch_unwind(AssertUnwindSafe(|| play(&case, &record, trouble)));
    let verdict = played.unwrap_or(Verdict::NotRun);
    record.line(&format!("verdict: {verdict:?}"));
    process::exit(verdict as i32);
}

fn play(case: &str, record: &Record, trouble: bool) -> Verdict {
    match case {
        "odd-address" => odd_address(record, trouble),
        "odd-page" => odd_page(record, trouble),
        "quota" => quota(record, trouble),
        "heads" => heads(record, trouble),
        "odd-memory" => odd_memory(record, trouble),
        _ => Verdict::NotRun,
    }
}

/// All processes are killed and started again; RECOVER is judged from `recovery_s` on.
fn recover(
    record: &Record,
    deployment: &mut Deployment,
    disrupt: impl FnOnce(&mut Deployment) -> Vec<String>,
) -> Verdict {
    if deployment.start_nodes(Duration::from_secs(20)) < deployment.nodes.len() {
        record.line("not all processes became ready");
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(2));
    let before = deployment.press(record, "before the final fault", Duration::from_secs(4));
    if !before.has_quarter() {
        return Verdict::NotRun;
    }
    let odd_names = disrupt(deployment);
    deployment.nodes.iter_mut().for_each(node::Node::kill);
    record.line("final fault: all processes were killed");
    thread::sleep(Duration::from_secs(1));
    deployment.nodes.iter_mut().for_each(node::Node::start);
    record.line("all processes were started again");
    thread::sleep(RECOVERY + Duration::from_secs(1));
    let ready = deployment.nodes.iter().filter(|node| node.ready()).count();
    record.line(&format!(
        "{ready} of {} processes are ready",
        deployment.nodes.len()
    ));
    let after = deployment.press(
        record,
        "later than recovery_s after the start",
        Duration::from_secs(6),
    );
    remove_entries(record, deployment, &odd_names);
    if after.has_quarter() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}

/// Shows what the processes do once the other writer has removed its entries; for the record only.
fn remove_entries(record: &Record, deployment: &Deployment, names: &[String]) {
    if names.is_empty() {
        return;
    }
    for name in names {
        deployment.store.remove("servers", name);
    }
    thread::sleep(Duration::from_secs(4));
    let what = "4 s after the other writer removed its entries (not judged)";
    deployment.press(record, what, Duration::from_secs(6));
}

/// Another writer has an entry for the address of each replica, under names of its own and of a
/// service that no configuration names.
fn odd_address(record: &Record, trouble: bool) -> Verdict {
    let mut deployment = Deployment::start(3, MEMORY_MB, Duration::from_millis(15));
    recover(record, &mut deployment, |deployment| {
        let mut names = Vec::new();
        for (number, replica) in deployment.replicas.iter().enumerate().filter(|_| trouble) {
            let mut entry = replica.entry("gh-south-accra", 1_700_000_000_000);
            entry["service"] = json!("uptime-checks");
            let name = format!("probe-{number}");
            deployment.store.put("servers", &name, entry);
            names.push(name);
        }
        record.line(&format!("another writer wrote {} entries", names.len()));
        names
    })
}

/// One entry of another writer, of nearly `value_bytes`, whose name needs over 4,096 bytes in a path.
fn odd_page(record: &Record, trouble: bool) -> Verdict {
    let mut deployment = Deployment::start(3, MEMORY_MB, Duration::from_millis(15));
    recover(record, &mut deployment, |deployment| {
        if !trouble {
            return Vec::new();
        }
        let name = "backup&".repeat(500);
        let note = "x".repeat(store::VALUE_BYTES - name.len() - 200);
        deployment
            .store
            .put("servers", &name, json!({ "note": note }));
        record.line("another writer wrote one entry under a long name");
        vec![name]
    })
}

/// Callers that come at the same moment.
const CROWD: usize = 350;

/// Headers of each of them, besides those of the protocol.
const HEADERS: usize = 90;

/// Size of a head; `max_header_bytes` of the configuration is 16,384.
const HEAD_BYTES: usize = 16_000;

/// Times that the callers come to each machine.
const WAVES: usize = 7;

/// Ends of a process by itself, on so many machines, that break the rule.
const ENDS: usize = 3;
const MACHINES: usize = 2;

/// Many callers come at once, with heads inside `max_header_bytes`; a process over `memory_mb` is
/// killed by the platform and started again.
fn heads(record: &Record, trouble: bool) -> Verdict {
    let mut deployment = Deployment::start(MACHINES, MEMORY_MB, Duration::from_millis(15));
    if deployment.start_nodes(Duration::from_secs(20)) < deployment.nodes.len() {
        record.line("not all processes became ready");
        return Verdict::NotRun;
    }
    let mut ends = vec![0; MACHINES];
    thread::sleep(Duration::from_secs(2));
    for wave in 0..WAVES * MACHINES {
        let node = &deployment.nodes[wave % MACHINES];
        let front = node.front();
        node.wait_ready(Duration::from_secs(5));
        let callers = (0..CROWD).map(|caller| wave * CROWD + caller);
        let callers: Vec<_> = callers
            .map(|caller| thread::spawn(move || call(front, caller, trouble)))
            .collect();
        record.line(&format!(
            "{CROWD} callers sent one request each to {}",
            node.spec.name
        ));
        play_platform(
            record,
            &mut deployment,
            Duration::from_millis(3_500),
            &mut ends,
        );
        let mut answers: BTreeMap<String, u64> = BTreeMap::new();
        for caller in callers {
            let answer = caller.join().unwrap_or_else(|_| "none".to_owned());
            *answers.entry(answer).or_default() += 1;
        }
        let ran: u64 = deployment.replicas.iter().map(replica::Replica::runs).sum();
        record.line(&format!(
            "answers {answers:?}; replicas ran {ran} parts so far"
        ));
        memory_line(record, &deployment, "after the wave");
    }
    judge_ends(record, &ends)
}

/// Does what the platform does with processes: kills those over `memory_mb`, and starts them again
/// after a short delay. Counts the ends of each.
fn play_platform(record: &Record, deployment: &mut Deployment, time: Duration, ends: &mut [usize]) {
    let until = Instant::now() + time;
    while Instant::now() < until {
        for (node, ends) in deployment.nodes.iter_mut().zip(ends.iter_mut()) {
            let peak = node.memory().1;
            if node.runs() && peak <= MEMORY_MB * 1_000_000 {
                continue;
            }
            node.kill();
            *ends += 1;
            let name = &node.spec.name;
            record.line(&format!(
                "{name} came to {} MB and was killed by the platform",
                peak / 1_000_000
            ));
            thread::sleep(Duration::from_millis(500));
            node.start();
        }
        thread::sleep(Duration::from_millis(10));
    }
}

fn judge_ends(record: &Record, ends: &[usize]) -> Verdict {
    let machines = ends.iter().filter(|ends| **ends >= ENDS).count();
    record.line(&format!(
        "ends of each process: {ends:?}; {machines} machines with {ENDS} or more"
    ));
    if machines >= MACHINES {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Sends one gather; returns the status of its answer.
fn call(front: SocketAddr, caller: usize, large_head: bool) -> String {
    let mut head = format!(
        "GET /ziti980/ti38/c{caller} HTTP/1.1\r\nHost: {}\r\nRequest-Id: c{caller:015x}\r\n\
         Request-Deadline-Ms: 2000\r\nConnection: close\r\n",
        deployment::HOST
    );
    let value = "n".repeat((HEAD_BYTES - head.len()) / HEADERS - 16);
    for header in 0..if large_head { HEADERS } else { 0 } {
        head.push_str(&format!("x-note-{header}: {value}\r\n"));
    }
    head.push_str("\r\n");
    match http::ask(front, &head, b"", Duration::from_secs(4)) {
        Ok(response) => response.status().to_string(),
        Err(error) => format!("none ({})", error.kind()),
    }
}

/// Figures of `demands/horizonte-busca-grown.toml`: QUOTA's bounds, `gap_s` of `roll_term`, and a hot
/// tenant that asks 7.5 times its usual, of which its allotment is 1.6 times.
const QUOTA_WINDOW: Duration = Duration::from_secs(5);
const QUOTA_OVERAGE: f64 = 0.1;
const QUOTA_SLACK: f64 = 20.0;
const ROLL_GAP: Duration = Duration::from_millis(1_300);
const HOT_PER_S: f64 = 7.5 * deployment::RATE_PER_S / 1.6;

/// A tenant asks for more than its allotment while machines are stopped and started in turn.
fn quota(record: &Record, trouble: bool) -> Verdict {
    let mut deployment = Deployment::start(3, MEMORY_MB, Duration::from_millis(15));
    deployment
        .store
        .put("config", "main", deployment::with_tenant(9));
    if deployment.start_nodes(Duration::from_secs(20)) < deployment.nodes.len() {
        record.line("not all processes became ready");
        return Verdict::NotRun;
    }
    // The processes have listed each other twice by then.
    thread::sleep(Duration::from_secs(14));
    let rotation = Rotation::start(&deployment.nodes);
    let began = Instant::now();
    let caller = thread::spawn(move || hot_tenant(&rotation, began + Duration::from_secs(20)));
    record.line(&format!(
        "the tenant asks for {HOT_PER_S:.0} requests a second, its rate is {}",
        deployment::RATE_PER_S
    ));
    thread::sleep(Duration::from_secs(6));
    if trouble {
        roll(record, &mut deployment);
    }
    let sent = caller.join().unwrap_or_default();
    thread::sleep(Duration::from_secs(1));
    judge_quota(record, &deployment, began, &sent)
}

/// Stops all processes in turn with SIGTERM; each starts again when it has ended.
fn roll(record: &Record, deployment: &mut Deployment) {
    let began = Instant::now();
    let mut stopped = 0;
    let mut started = 0;
    while started < deployment.nodes.len() && began.elapsed() < Duration::from_secs(12) {
        let nodes = &mut deployment.nodes;
        if stopped < nodes.len() && began.elapsed() >= ROLL_GAP * stopped as u32 {
            nodes[stopped].terminate();
            record.line(&format!("SIGTERM to {}", nodes[stopped].spec.name));
            stopped += 1;
        }
        if started < stopped && !nodes[started].runs() {
            nodes[started].start();
            record.line(&format!(
                "{} has ended and is started again",
                nodes[started].spec.name
            ));
            started += 1;
        }
        thread::sleep(Duration::from_millis(20));
    }
}

/// Sends the requests of the tenant at an even pace to the machines in rotation; returns the time
/// of each by its id.
fn hot_tenant(rotation: &Rotation, ends: Instant) -> BTreeMap<String, Instant> {
    let mut sent = BTreeMap::new();
    let gap = Duration::from_secs_f64(1.0 / HOT_PER_S);
    let mut next = Instant::now();
    for number in 0_usize.. {
        if Instant::now() >= ends {
            break;
        }
        thread::sleep(next.saturating_duration_since(Instant::now()));
        next += gap;
        let id = format!("e{number:015x}");
        sent.insert(id.clone(), Instant::now());
        let front = rotation.choose(number);
        thread::spawn(move || {
            let head = format!(
                "GET /timi402/{id} HTTP/1.1\r\nHost: {}\r\nRequest-Id: {id}\r\nRequest-Deadline-Ms: 8000\r\n\
                 Authorization: Token {}\r\nConnection: close\r\n\r\n",
                deployment::HOST,
                deployment::KEY
            );
            drop(http::ask(front, &head, b"", Duration::from_secs(9)));
        });
    }
    sent
}

/// Counts the requests of the tenant that were sent and arrived in any span of the window's length.
fn judge_quota(
    record: &Record,
    deployment: &Deployment,
    began: Instant,
    sent: &BTreeMap<String, Instant>,
) -> Verdict {
    let ran = deployment.replicas.iter().flat_map(replica::Replica::ran);
    let mut runs: Vec<(Instant, Instant)> = ran
        .filter(|run| run.tenant == deployment::TENANT)
        .filter_map(|run| Some((*sent.get(&run.request)?, run.at)))
        .collect();
    runs.sort();
    let bound = (deployment::RATE_PER_S * QUOTA_WINDOW.as_secs_f64() + deployment::BURST)
        * (1.0 + QUOTA_OVERAGE)
        + QUOTA_SLACK;
    let in_window = |from: Instant| {
        let inside = runs
            .iter()
            .filter(|(sent, at)| *sent >= from && *at <= from + QUOTA_WINDOW);
        inside.count()
    };
    for second in 0..20 {
        let from = began + Duration::from_secs(second);
        let ran = runs
            .iter()
            .filter(|(_, at)| *at >= from && *at < from + Duration::from_secs(1))
            .count();
        record.line(&format!("second {second}: ran {ran}"));
    }
    let most = runs.iter().map(|(sent, _)| (in_window(*sent), *sent)).max();
    let Some((most, from)) = most else {
        return Verdict::NotRun;
    };
    let from = from.duration_since(began).as_secs_f64();
    record.line(&format!(
        "sent {}, ran {}; most in a window {most}, from {from:.1} s on; bound {bound:.1}",
        sent.len(),
        runs.len()
    ));
    if most as f64 > bound {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Entries that another writer has, of nearly `value_bytes` each.
const LARGE_ENTRIES: usize = 190;

/// Another writer has large entries.
fn odd_memory(record: &Record, trouble: bool) -> Verdict {
    let mut deployment = Deployment::start(3, MEMORY_MB, Duration::from_millis(15));
    if deployment.start_nodes(Duration::from_secs(20)) < deployment.nodes.len() {
        record.line("not all processes became ready");
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(2));
    let store = deployment.store.clone();
    let writer = thread::spawn(move || {
        let mut random = 1_u64;
        for number in (0..LARGE_ENTRIES).filter(|_| trouble) {
            let note = noise(&mut random, store::VALUE_BYTES - 300);
            store.put(
                "servers",
                &format!("blob-{number:03}"),
                json!({ "note": note }),
            );
            thread::sleep(Duration::from_millis(50));
        }
    });
    let mut ends = vec![0; deployment.nodes.len()];
    for _ in 0..2 {
        play_platform(record, &mut deployment, Duration::from_secs(10), &mut ends);
        let entries = deployment.store.names("servers").len();
        memory_line(
            record,
            &deployment,
            &format!("{entries} entries in `servers`"),
        );
    }
    drop(writer.join());
    deployment.press(record, "at the end", Duration::from_secs(3));
    judge_ends(record, &ends)
}

/// Records the memory of all processes.
fn memory_line(record: &Record, deployment: &Deployment, what: &str) {
    let memory = deployment.nodes.iter().map(node::Node::memory);
    let shown: Vec<String> = memory
        .map(|(now, peak)| format!("{} ({})", now / 1_000_000, peak / 1_000_000))
        .collect();
    record.line(&format!("{what}, MB resident (peak): {}", shown.join(", ")));
}

/// Returns text that does not compress well.
fn noise(random: &mut u64, length: usize) -> String {
    let mut next = || {
        *random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        char::from(b'A' + (*random >> 59) as u8 % 26)
    };
    (0..length).map(|_| next()).collect()
}
