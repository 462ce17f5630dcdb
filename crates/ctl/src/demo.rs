use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

use crate::DemoError;
use crate::Report;
use wigeonhall_fleet::PartHash;
use wigeonhall_fleet::split_text;
use wigeonhall_node::CallerAnswer;
use wigeonhall_node::Node;
use wigeonhall_node::ReadRequest;
use wigeonhall_node::RequiredCoverage;
use wigeonhall_node::StatusName;
use wigeonhall_node::WriteRequest;
use wigeonhall_node::unix_ms;
use wigeonhall_platform::ChangeOutcome;
use wigeonhall_platform::ObjectApi;
use wigeonhall_protocol::CURRENT_PATH;
use wigeonhall_protocol::NodeStatus;
use wigeonhall_protocol::StoredConfig;
use wigeonhall_protocol::StoredPart;
use wigeonhall_settings::NodeSettings;
use wigeonhall_settings::parse;
use wigeonhall_settings::parse_node;
use wigeonhall_settings::resolve;
use wigeonhall_standins::ObjectStore;
use wigeonhall_standins::Target;
use wigeonhall_standins::TargetSettings;
use wigeonhall_standins::VmListServer;
use wigeonhall_types::NameCatalog;
use wigeonhall_types::ReplicaState;
use wigeonhall_types::Verdict;
use wigeonhall_types::VmState;
use wigeonhall_types::VmStatus;

/// Deployment of the demonstration.
const DEPLOYMENT_TEXT: &str = include_str!("../../../examples/demo.yaml");

/// Settings of the nodes of the demonstration.
const NODE_TEXTS: [&str; 3] = [
    include_str!("../../../examples/demo-north-1.yaml"),
    include_str!("../../../examples/demo-south-1.yaml"),
    include_str!("../../../examples/demo-east-1.yaml"),
];

/// Typical time of a request at a stand-in target, in microseconds.
const SERVICE_US: u64 = 2_000;

/// Time limit for all nodes to become ready and give whole answers.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Time limit for all replicas to become warm: a cold one, just started or new to its owner, gets
/// few requests at a time.
const WARM_UP_TIMEOUT: Duration = Duration::from_mins(1);

/// Query classes that the demonstration reads. A request names its class in the field `service`.
const READ_CLASSES: [&str; 2] = ["search", "report"];

/// Timeout of one call to a node.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Number of callers that send at the same time.
const CALLERS: usize = 4;

/// Number of reads that each caller sends to each class.
const READS_PER_CALLER: usize = 50;

/// Delay after which the stand-in for the VM list publishes a change, in milliseconds.
const VM_LIST_LAG_MS: u64 = 500;

/// Results of the demonstration.
#[derive(Clone, Debug, Serialize)]
pub struct DemoSummary {
    /// Results of the reads, by class.
    pub reads: BTreeMap<String, ReadSummary>,
    /// Answer to the repetition of the write at another node.
    pub repeat: CallerAnswer,
    /// Number of times that targets ran the write.
    pub write_runs: u32,
    /// Answer to the write.
    pub write: CallerAnswer,
}

/// Results of the reads of one class.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ReadSummary {
    /// Latencies in microseconds, sorted.
    #[serde(skip)]
    latencies_us: Vec<u64>,
    /// Median latency in microseconds.
    pub p50_us: u64,
    /// Latency that 99 of 100 answers stay below, in microseconds.
    pub p99_us: u64,
    /// Index versions that the answers were read at.
    pub snapshots: Vec<u64>,
    /// Number of answers, by status.
    pub statuses: BTreeMap<String, u64>,
    /// Number of answers that cover the whole key range.
    pub whole: u64,
}

/// Starts stand-ins and three nodes in this process, sends reads and a write to the nodes
/// over HTTP, and stops everything.
///
/// # Errors
///
/// If a server or node cannot start, a node does not become ready or a replica warm in time, a call
/// fails, or a text built into the command has errors.
pub fn demo() -> Result<Report, DemoError> {
    let text = parse(DEPLOYMENT_TEXT).map_err(DemoError::Settings)?;
    let settings = node_settings()?;
    // The catalog assigns a key to each name; the generation (1) does not matter for the targets.
    let mut catalog = NameCatalog::default();
    let deployment = resolve(&text, 1, &mut catalog);
    let mut targets = TargetSettings::of_deployment(&deployment, &catalog);
    for target in &mut targets {
        target.service_us = SERVICE_US;
    }
    let targets = Target::start_all(targets).map_err(DemoError::Listen)?;
    for target in &targets {
        target.warm_up();
    }
    let store_address = settings[0].object_api_address;
    let store = ObjectStore::start(store_address).map_err(DemoError::Listen)?;
    let vms = settings.iter().map(|it| VmStatus {
        name: Arc::clone(&it.name),
        state: VmState::Live,
    });
    let vm_list_address = settings[0].vm_list_address;
    let vm_list = VmListServer::start(vm_list_address, VM_LIST_LAG_MS, vms.collect())
        .map_err(DemoError::Listen)?;
    put_configuration(store_address)?;
    let nodes = start_nodes(&settings)?;
    let addresses: Vec<SocketAddr> = nodes.iter().map(Node::address).collect();
    let result = wait_until_ready(&addresses)
        .and_then(|()| wait_until_warm(&addresses))
        .and_then(|()| send_queries(&addresses, &targets));
    for node in &nodes {
        node.request_stop();
    }
    for node in nodes {
        node.join();
    }
    drop((store, vm_list));
    let summary = result?;
    Ok(Report::new(0, &summary, text_of(&summary)))
}

fn node_settings() -> Result<Vec<NodeSettings>, DemoError> {
    let settings = NODE_TEXTS.iter().map(|text| parse_node(text));
    settings
        .collect::<Result<Vec<NodeSettings>, _>>()
        .map_err(DemoError::Settings)
}

/// Stores the deployment of the demonstration as the accepted configuration.
fn put_configuration(store: SocketAddr) -> Result<(), DemoError> {
    const STORE_TIMEOUT_MS: u64 = 2_000;
    let api = ObjectApi::new(store, STORE_TIMEOUT_MS);
    let parts = split_text(DEPLOYMENT_TEXT);
    let author = Arc::from("demo");
    let id = Arc::clone(&author);
    let config = StoredConfig::new(author, id, Vec::new(), &parts, parts.clone());
    let parts = parts.into_iter().map(|part| {
        let path = StoredPart::path(PartHash::of(&part));
        (path, serde_json::to_string(&StoredPart::new(part)))
    });
    let current = (CURRENT_PATH.to_owned(), serde_json::to_string(&config));
    for (path, value) in parts.chain([current]) {
        let value = value.unwrap_or_default();
        match api.put(&path, 0, &value) {
            Ok(ChangeOutcome::Stored { .. }) => {}
            Ok(ChangeOutcome::Conflict(_)) => {
                let reason = "the stand-in store already holds a configuration";
                return Err(DemoError::Configuration(reason.into()));
            }
            Err(error) => return Err(DemoError::Configuration(error.to_string())),
        }
    }
    Ok(())
}

fn start_nodes(settings: &[NodeSettings]) -> Result<Vec<Node>, DemoError> {
    let nodes = settings.iter().map(Node::start);
    nodes
        .collect::<Result<Vec<Node>, _>>()
        .map_err(DemoError::Node)
}

fn wait_until_ready(addresses: &[SocketAddr]) -> Result<(), DemoError> {
    const PAUSE: Duration = Duration::from_millis(50);
    let start = Instant::now();
    for address in addresses {
        while !is_ready(*address) {
            if start.elapsed() > START_TIMEOUT {
                return Err(DemoError::NotReady(*address));
            }
            thread::sleep(PAUSE);
        }
    }
    // The first queries open connections and show whether every shard answers.
    loop {
        let mut whole = true;
        for address in addresses {
            let answer = read(*address, "search").map_err(DemoError::Call)?;
            whole &= answer.status == StatusName::Whole;
        }
        if whole {
            return Ok(());
        }
        if start.elapsed() > START_TIMEOUT {
            return Err(DemoError::NotReady(addresses[0]));
        }
        thread::sleep(PAUSE);
    }
}

/// Sends reads until all replicas are warm. A node that becomes the owner of a replica (the one
/// node that all requests to it go through) has no state of it and treats it as cold. It becomes
/// warm only by answering requests.
fn wait_until_warm(addresses: &[SocketAddr]) -> Result<(), DemoError> {
    let start = Instant::now();
    while !addresses.iter().all(|&it| is_warm(it)) {
        if start.elapsed() > WARM_UP_TIMEOUT {
            return Err(DemoError::NotReady(addresses[0]));
        }
        for class in READ_CLASSES {
            send_reads(addresses, class).map_err(DemoError::Call)?;
        }
    }
    Ok(())
}

fn is_warm(address: SocketAddr) -> bool {
    let url = format!("http://{address}/status");
    let response = attohttpc::get(url).timeout(CALL_TIMEOUT).send();
    let status = response.and_then(attohttpc::Response::json::<NodeStatus>);
    status.is_ok_and(|it| {
        it.replicas
            .iter()
            .all(|replica| replica.state == ReplicaState::Warm)
    })
}

fn is_ready(address: SocketAddr) -> bool {
    let url = format!("http://{address}/health");
    let response = attohttpc::get(url).timeout(CALL_TIMEOUT).send();
    response.is_ok_and(|it| it.is_success())
}

/// Sends reads of each class, one write and its repetition.
fn send_queries(addresses: &[SocketAddr], targets: &[Target]) -> Result<DemoSummary, DemoError> {
    let mut reads = BTreeMap::new();
    for class in READ_CLASSES {
        let summary = send_reads(addresses, class).map_err(DemoError::Call)?;
        reads.insert(String::from(class), summary);
    }
    let issued_unix_ms = unix_ms();
    let request = WriteRequest {
        body: Arc::from("stock of machine 7: 12"),
        deadline_ms: None,
        first_attempt: true,
        issued_unix_ms,
        key: 7,
        request_id: Arc::from(format!("demo-{issued_unix_ms}")),
        service: Arc::from("record"),
    };
    let write = post(addresses[0], "write", &request).map_err(DemoError::Call)?;
    let repeat = WriteRequest {
        first_attempt: false,
        ..request.clone()
    };
    let repeat = post(addresses[1], "write", &repeat).map_err(DemoError::Call)?;
    let runs = targets.iter().map(|it| it.executions(&request.request_id));
    Ok(DemoSummary {
        reads,
        repeat,
        write_runs: runs.sum(),
        write,
    })
}

/// Sends reads from `CALLERS` threads and sums their results.
fn send_reads(addresses: &[SocketAddr], class: &str) -> Result<ReadSummary, String> {
    let summaries = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| scope.spawn(move || run_caller(addresses, class, caller)))
            .collect();
        let joined = callers.into_iter().map(thread::ScopedJoinHandle::join);
        joined
            .map(|result| result.unwrap_or_else(|_| Err(String::from("a caller panicked"))))
            .collect::<Result<Vec<ReadSummary>, String>>()
    })?;
    let mut sum = ReadSummary::default();
    for summary in summaries {
        sum.latencies_us.extend(summary.latencies_us);
        sum.whole += summary.whole;
        for (status, count) in summary.statuses {
            *sum.statuses.entry(status).or_default() += count;
        }
        sum.snapshots.extend(summary.snapshots);
    }
    sum.snapshots.sort_unstable();
    sum.snapshots.dedup();
    sum.latencies_us.sort_unstable();
    let percentile = |percent: usize| {
        let index = sum.latencies_us.len() * percent / 100;
        sum.latencies_us.get(index).copied().unwrap_or(0)
    };
    (sum.p50_us, sum.p99_us) = (percentile(50), percentile(99));
    Ok(sum)
}

/// Sends the reads of one caller, to each node in turn.
fn run_caller(addresses: &[SocketAddr], class: &str, caller: usize) -> Result<ReadSummary, String> {
    let mut summary = ReadSummary::default();
    for number in 0..READS_PER_CALLER {
        let address = addresses[(caller + number) % addresses.len()];
        let start = Instant::now();
        let answer = read(address, class)?;
        summary
            .latencies_us
            .push(start.elapsed().as_micros() as u64);
        summary.whole += u64::from(answer.coverage.full);
        summary.snapshots.extend(answer.snapshot.map(|it| it.0));
        let status = format!("{:?}", answer.status).to_lowercase();
        *summary.statuses.entry(status).or_default() += 1;
    }
    Ok(summary)
}

fn read(address: SocketAddr, class: &str) -> Result<CallerAnswer, String> {
    let request = ReadRequest {
        coverage: RequiredCoverage::Full,
        deadline_ms: None,
        range: None,
        service: Arc::from(class),
    };
    post(address, "query", &request)
}

fn post<T: Serialize>(address: SocketAddr, path: &str, body: &T) -> Result<CallerAnswer, String> {
    let response = attohttpc::post(format!("http://{address}/{path}"))
        .timeout(CALL_TIMEOUT)
        .json(body)
        .and_then(attohttpc::RequestBuilder::send)
        .map_err(|error| format!("{address}: {error}"))?;
    response
        .json()
        .map_err(|error| format!("{address}: {error}"))
}

fn text_of(summary: &DemoSummary) -> String {
    let mut text = String::new();
    for (class, reads) in &summary.reads {
        let sent = CALLERS * READS_PER_CALLER;
        let _ = writeln!(
            text,
            "{class}: {} of {sent} answers whole, snapshots {:?}, p50 {:.1} ms, p99 {:.1} ms",
            reads.whole,
            reads.snapshots,
            reads.p50_us as f64 / 1e3,
            reads.p99_us as f64 / 1e3
        );
        for (status, count) in &reads.statuses {
            let _ = writeln!(text, "  {status}: {count}");
        }
    }
    for (name, answer) in [("write", &summary.write), ("repeat", &summary.repeat)] {
        let verdict = match answer.verdict {
            Verdict::NotRun => "not run",
            Verdict::MayHaveRun => "may have run",
            Verdict::Ran => "ran",
        };
        let _ = writeln!(text, "{name}: {verdict}");
    }
    let _ = writeln!(text, "targets ran the write {} time(s)", summary.write_runs);
    text
}
