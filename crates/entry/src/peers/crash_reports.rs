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

use wigeonhall_dispatch::RequestKey;
use wigeonhall_dispatch::Suspicion;

use crate::net::http_client;
use crate::process::node_state::NodeState;

/// Header with what a node holds against requests: key and suspicion with a semicolon between them,
/// separated by commas.
const REPORTS_HEADER: HeaderName = HeaderName::from_static("x-wigeonhall-crashes");

/// Path of the message; it shows its purpose if another server has taken over the address.
const REPORTS_PATH: &str = "/wigeonhall/crashes";

/// Maximum number of reports in one message; replicas rarely run more requests at once.
const REPORTS_MAX: usize = 64;

/// Time for which reports are collected: a gather crashes replicas of many shards at once.
const COLLECTION_TIME: Duration = Duration::from_millis(1);

/// Shortest time between two messages to the same node.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(10);

/// Timeout for opening a connection to a node, and for its response.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(250);

/// What a node holds against a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct CrashReport {
    pub(crate) key: RequestKey,
    pub(crate) suspicion: Suspicion,
}

/// Reports that the other nodes have not been told yet.
#[derive(Debug, Default)]
pub(crate) struct CrashReports {
    due: Notify,
    pending: RefCell<Vec<CrashReport>>,
}

impl CrashReports {
    /// Adds a report; too many at once are dropped, as the nodes suspect a limited number of keys.
    pub(crate) fn add(&self, report: CrashReport) {
        let mut pending = self.pending.borrow_mut();
        if pending.len() >= REPORTS_MAX {
            log::warn!("too many requests are suspected at once; other nodes are not told of all");
            return;
        }
        pending.push(report);
        self.due.notify_one();
    }
}

/// Sends reports to all known nodes until the process ends.
pub(crate) async fn run(shared: Rc<NodeState>) {
    loop {
        shared.crash_reports.due.notified().await;
        time::sleep(COLLECTION_TIME).await;
        let reports = shared.crash_reports.pending.take();
        let Some(value) = encode(&reports) else {
            continue;
        };
        let addresses = shared.peers.borrow().addresses().to_vec();
        for address in addresses {
            task::spawn_local(send(address, value.clone()));
        }
        time::sleep(MESSAGE_INTERVAL).await;
    }
}

async fn send(address: SocketAddr, value: HeaderValue) {
    let message = async {
        let mut sender = http_client::connect(address, MESSAGE_TIMEOUT).await.ok()?;
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = Uri::from_static(REPORTS_PATH);
        let headers = request.headers_mut();
        headers.insert(REPORTS_HEADER, value);
        headers.insert(header::HOST, HeaderValue::from_static("node"));
        sender.send_request(request).await.ok()
    };
    if !matches!(time::timeout(MESSAGE_TIMEOUT, message).await, Ok(Some(_))) {
        log::debug!("node {address} could not be told of crashes");
    }
}

fn encode(reports: &[CrashReport]) -> Option<HeaderValue> {
    let text = |report: &CrashReport| {
        let suspicion = match report.suspicion {
            Suspicion::Blocked => "blocked",
            Suspicion::Suspected => "suspected",
        };
        format!("{};{suspicion}", report.key)
    };
    let texts: Vec<String> = reports.iter().map(text).collect();
    HeaderValue::from_str(&texts.join(",")).ok()
}

/// Parses the reports of a message; `None` if a message of a peer has another purpose or is
/// malformed.
pub(crate) fn read(headers: &HeaderMap) -> Option<Vec<CrashReport>> {
    let text = headers.get(&REPORTS_HEADER)?.to_str().ok()?;
    let report = |part: &str| {
        let (key, suspicion) = part.split_once(';')?;
        let suspicion = match suspicion {
            "blocked" => Suspicion::Blocked,
            "suspected" => Suspicion::Suspected,
            _ => return None,
        };
        let key = key.parse().ok()?;
        Some(CrashReport { key, suspicion })
    };
    text.split(',').take(REPORTS_MAX).map(report).collect()
}
