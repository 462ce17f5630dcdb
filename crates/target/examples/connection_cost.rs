//! Compares a connection per request (`attohttpc`) with pooled connections
//! (`TargetPool`) on one stand-in target and prints a table.
//!
//! Both take turns in blocks of requests, so that other load on the machine affects both.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use attohttpc::ProxySettings;
use tokio::runtime::Builder;

use wigeonhall_standins::Target;
use wigeonhall_standins::TargetSettings;
use wigeonhall_target::TargetPool;
use wigeonhall_types::AttemptId;
use wigeonhall_types::ClassKey;
use wigeonhall_types::KeyRange;
use wigeonhall_types::Operation;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::SubRequest;
use wigeonhall_types::TargetOutcome;

const BLOCKS: u64 = 10;
const TIMEOUT_US: u64 = 1_000_000;
const REPLICA: ReplicaKey = ReplicaKey(0);
/// Requests in one block, over all threads.
const REQUESTS_PER_BLOCK: u64 = 200;
/// Number of threads, each of which sends one request at a time; equals the slots of the
/// target.
const THREADS: u64 = 2;

#[derive(Default)]
struct Series {
    connections: u64,
    failed: u64,
    latencies_us: Vec<u64>,
}

fn main() -> ExitCode {
    let settings = TargetSettings {
        connect_us: 6_000,
        connections: 55,
        jitter_us: 1_000,
        seed: 1,
        service_us: 2_000,
        ..TargetSettings::default()
    };
    let (Ok(target), Ok(runtime)) = (
        Target::start(settings),
        Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build(),
    ) else {
        eprintln!("error: cannot start the stand-in target or the runtime");
        return ExitCode::FAILURE;
    };
    let pool = TargetPool::new(runtime.handle().clone());
    let mut direct = Series::default();
    let mut pooled = Series::default();
    let before = target.counts().connections_opened;
    pool.open(REPLICA, target.address(), THREADS as u32 + 1);
    while pool.counters().open < THREADS + 1 {
        thread::sleep(Duration::from_millis(1));
    }
    // Lets the stand-in target accept all open connections: a node opens them before it sends
    // requests.
    thread::sleep(Duration::from_millis(20));
    pooled.connections += target.counts().connections_opened - before;
    for block in 0..BLOCKS {
        let address = target.address();
        run_block(&target, &mut direct, |it| call_direct(address, block, it));
        run_block(&target, &mut pooled, |it| call_pooled(&pool, block, it));
    }
    println!(
        "| client | connections per 1,000 requests | failed | p50 ms | p90 ms | p99 ms | max ms |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    print_row("attohttpc", direct);
    print_row("TargetPool", pooled);
    ExitCode::SUCCESS
}

fn run_block(target: &Target, series: &mut Series, call: impl Fn(u64) -> bool + Sync) {
    let before = target.counts().connections_opened;
    let results = thread::scope(|scope| {
        let threads = (0..THREADS)
            .map(|thread| {
                let call = &call;
                scope.spawn(move || {
                    (thread..REQUESTS_PER_BLOCK)
                        .step_by(THREADS as usize)
                        .map(|request| {
                            let start = Instant::now();
                            (call(request), start.elapsed().as_micros() as u64)
                        })
                        .collect::<Vec<_>>()
                })
            })
            .collect::<Vec<_>>();
        threads
            .into_iter()
            .flat_map(|thread| thread.join().unwrap_or_default())
            .collect::<Vec<_>>()
    });
    for (succeeded, latency_us) in results {
        series.failed += u64::from(!succeeded);
        series.latencies_us.push(latency_us);
    }
    series.connections += target.counts().connections_opened - before;
}

fn call_direct(address: SocketAddr, block: u64, request: u64) -> bool {
    let body = r#"{"class":"c","version":null,"operation":{"Read":{"range":{"start":0,"end":1}}}}"#;
    attohttpc::post(format!("http://{address}/run"))
        .proxy_settings(ProxySettings::builder().build())
        .header("x-attempt", format!("{:016x}-{request}", block + 1))
        .header("x-remaining-us", TIMEOUT_US)
        .text(body)
        .send()
        .is_ok_and(|response| response.is_success() && response.bytes().is_ok())
}

fn call_pooled(pool: &TargetPool, block: u64, request: u64) -> bool {
    let sub = SubRequest {
        attempt: AttemptId {
            boot: block + 1,
            sequence: request,
        },
        class: ClassKey(0),
        deadline_us: 0,
        epoch: 1,
        operation: Operation::Read {
            range: KeyRange { start: 0, end: 1 },
        },
        replica: REPLICA,
        start_within_us: None,
        version: None,
    };
    let (sender, receiver) = mpsc::sync_channel(1);
    pool.send(&sub, "c", TIMEOUT_US, move |reply| {
        let _ = sender.send(reply.outcome);
    });
    matches!(receiver.recv(), Ok(TargetOutcome::Answered { .. }))
}

fn print_row(client: &str, mut series: Series) {
    series.latencies_us.sort_unstable();
    let count = series.latencies_us.len();
    let at = |percent: usize| {
        let index = (count * percent / 100).min(count - 1);
        series.latencies_us[index] as f64 / 1_000.0
    };
    let connections = series.connections as f64 * 1_000.0 / count as f64;
    println!(
        "| {client} | {connections:.1} | {} | {:.2} | {:.2} | {:.2} | {:.2} |",
        series.failed,
        at(50),
        at(90),
        at(99),
        at(100),
    );
}
