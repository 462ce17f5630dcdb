//! Tells all nodes which requests replicas have crashed under.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Uri;
use http::header;
use http_body_util::Full;
use tokio::sync::Notify;
use tokio::task;
use tokio::time;

use wigeonhall_dispatch::CrashEvidence;
use wigeonhall_dispatch::RequestKey;
use wigeonhall_dispatch::Suspicion;
use wigeonhall_dispatch::SuspicionReport;

use crate::net::http_client;
use crate::process::node_state::NodeState;
use crate::requests::crash_trial;

/// Header with the suspicions of a node, separated by commas. Each one has key, suspicion, remaining
/// milliseconds, crashes, and `answered` or `unanswered`, with semicolons between them. The response
/// has the suspicions of the receiver, those in the message first.
///
/// Nodes of earlier releases send the first three fields and ignore the others.
const REPORTS_HEADER: HeaderName = HeaderName::from_static("x-wigeonhall-crashes");

const ANSWERED: &str = "answered";

const BLOCKED: &str = "blocked";

const SUSPECTED: &str = "suspected";

const UNANSWERED: &str = "unanswered";

/// Path of the message; it shows its purpose if another server has taken over the address.
const REPORTS_PATH: &str = "/wigeonhall/crashes";

/// Maximum number of reports in one message; replicas rarely run more requests at once.
const REPORTS_MAX: usize = 64;

/// Time for which reports are collected: a gather crashes replicas of many shards at once.
const COLLECTION_TIME: Duration = Duration::from_millis(1);

/// Number of nodes that a node asks when it starts; some may be starting as well.
const PEERS_ASKED: usize = 3;

/// Shortest time between two messages to the same node.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(10);

/// Timeout for opening a connection to a node, and for its response.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(250);

/// Reports that the other nodes have not been told yet.
#[derive(Debug, Default)]
pub(crate) struct CrashReports {
    due: Notify,
    pending: RefCell<Vec<SuspicionReport>>,
}

impl CrashReports {
    /// Adds a report for all nodes; too many at once are dropped, as the nodes suspect a limited number of keys.
    pub(crate) fn add(&self, report: SuspicionReport) {
        let mut pending = self.pending.borrow_mut();
        if pending.len() >= REPORTS_MAX {
            log::warn!("too many requests are suspected at once; other nodes are not told of all");
            return;
        }
        pending.push(report);
        self.due.notify_one();
    }
}

/// Learns the suspicions of other nodes, then sends reports to all of them until the
/// process ends.
pub(crate) async fn run(shared: Rc<NodeState>) {
    learn_at_start(&shared).await;
    loop {
        shared.crash_reports.due.notified().await;
        time::sleep(COLLECTION_TIME).await;
        let reports = shared.crash_reports.pending.take();
        let Some(value) = encode(&reports) else {
            continue;
        };
        let named: Rc<[RequestKey]> = reports.iter().map(|report| report.key).collect();
        let addresses = shared.peers.borrow().addresses().to_vec();
        for address in addresses {
            task::spawn_local(send(shared.clone(), address, value.clone(), named.clone()));
        }
        time::sleep(MESSAGE_INTERVAL).await;
    }
}

/// Sends reports to a node, and tells all nodes if its response shows that a request in them was
/// answered. Its other suspicions are not applied here: it reports them itself.
async fn send(
    shared: Rc<NodeState>,
    address: SocketAddr,
    value: HeaderValue,
    named: Rc<[RequestKey]>,
) {
    let Some(mut reports) = exchange(address, value).await else {
        log::debug!("node {address} could not be told of crashes");
        return;
    };
    reports.retain(|report| named.contains(&report.key));
    let learned = crash_trial::learn(&shared, &reports);
    let answered = |report: &SuspicionReport| report.evidence.answered;
    for report in learned.into_iter().filter(answered) {
        shared.crash_reports.add(report);
    }
}

/// Sends reports to a node and returns its suspicions; `None` if it does not answer.
async fn exchange(address: SocketAddr, value: HeaderValue) -> Option<Vec<SuspicionReport>> {
    let message = async {
        let mut sender = http_client::connect(address, MESSAGE_TIMEOUT).await.ok()?;
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = Uri::from_static(REPORTS_PATH);
        let headers = request.headers_mut();
        headers.insert(REPORTS_HEADER, value);
        headers.insert(header::HOST, HeaderValue::from_static("node"));
        let response = sender.send_request(request).await.ok()?;
        read(response.headers())
    };
    time::timeout(MESSAGE_TIMEOUT, message).await.ok().flatten()
}

/// Learns the suspicions of other nodes after the start of this node.
async fn learn_at_start(shared: &NodeState) {
    let mut listed = shared.feed.nodes_listed.subscribe();
    // Never fails: the sender lives as long as the process.
    drop(listed.wait_for(|listed| *listed).await);
    let mut addresses = shared.peers.borrow().addresses().to_vec();
    fastrand::shuffle(&mut addresses);
    for address in addresses.into_iter().take(PEERS_ASKED) {
        if let Some(reports) = exchange(address, HeaderValue::from_static("")).await {
            crash_trial::learn(shared, &reports);
        }
    }
}

/// Returns the header with the suspicions of this node, those that a peer has `named` first.
pub(crate) fn response(
    shared: &NodeState,
    named: &[SuspicionReport],
) -> Option<(HeaderName, HeaderValue)> {
    let now_us = shared.clock.now_us();
    let mut reports = shared.crash_suspects.borrow().reports(now_us);
    let is_named = |report: &SuspicionReport| named.iter().any(|it| it.key == report.key);
    reports.sort_by_key(|report| !is_named(report));
    reports.truncate(REPORTS_MAX);
    Some((REPORTS_HEADER, encode(&reports)?))
}

fn encode(reports: &[SuspicionReport]) -> Option<HeaderValue> {
    let texts: Vec<String> = reports.iter().map(report_text).collect();
    HeaderValue::from_str(&texts.join(",")).ok()
}

fn report_text(report: &SuspicionReport) -> String {
    let evidence = report.evidence;
    let suspicion = match report.suspicion {
        Suspicion::Blocked => BLOCKED,
        Suspicion::Suspected => SUSPECTED,
    };
    let answered = if evidence.answered {
        ANSWERED
    } else {
        UNANSWERED
    };
    format!(
        "{};{suspicion};{};{};{answered}",
        report.key, report.remaining_ms, evidence.crashes
    )
}

/// Parses the reports of a message; `None` if a message of a peer has another purpose or is
/// malformed.
pub(crate) fn read(headers: &HeaderMap) -> Option<Vec<SuspicionReport>> {
    let text = headers.get(&REPORTS_HEADER)?.to_str().ok()?;
    if text.is_empty() {
        return Some(Vec::new());
    }
    text.split(',').take(REPORTS_MAX).map(read_report).collect()
}

fn read_report(text: &str) -> Option<SuspicionReport> {
    let mut fields = text.split(';');
    let key = fields.next()?.parse().ok()?;
    let suspicion = match fields.next()? {
        BLOCKED => Suspicion::Blocked,
        SUSPECTED => Suspicion::Suspected,
        _ => return None,
    };
    let remaining_ms = fields.next()?.parse().ok()?;
    let evidence = match fields.next() {
        Some(crashes) => CrashEvidence {
            answered: fields.next()? == ANSWERED,
            crashes: crashes.parse().ok()?,
        },
        None => CrashEvidence::from(suspicion),
    };
    Some(SuspicionReport {
        evidence,
        key,
        remaining_ms,
        suspicion,
    })
}
