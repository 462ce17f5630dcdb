//! Asks peers for the parts of a shared gather, one whose legs (requests to one shard each) are
//! divided among nodes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time;

use wigeonhall_adapter::REMAINING_MS;
use wigeonhall_dispatch::MemoryUse;
use wigeonhall_dispatch::ReplicaKey;
use wigeonhall_dispatch::Route;

use crate::net::http_client;
use crate::net::http_client::HttpSender;
use crate::peers::relay_protocol;
use crate::process::held_memory::HeldMemory;
use crate::process::node_state::NodeState;
use crate::replicas::outgoing_request::OutgoingRequest;
use crate::requests::group_parts::DecodedParts;
use crate::requests::group_parts::GroupParts;

/// Shortest timeout for the response head of a peer.
const PEER_HEAD_TIMEOUT_MIN_MS: u64 = 20;

/// Divides the target latency to give the timeout for the response head of a peer.
const PEER_HEAD_TIMEOUT_DIVISOR: u64 = 3;

/// Time reserved for the transfer of the parts to this node.
const RETURN_MARGIN_US: u64 = 3_000;

/// Largest message of a peer.
const MESSAGE_BYTES_MAX: usize = 4 * 1024 * 1024;

/// Why a peer delivered no parts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RelayError {
    /// The peer is stopping, or its configuration has other legs for the route.
    Declined,
    /// The connection ended or a message was malformed; the peer may have sent some legs.
    Lost,
    /// The response head did not arrive in time; the peer may have sent some legs.
    Silent,
    /// No connection to the peer could be opened.
    Unreachable,
}

/// Idle connections to peers.
pub(crate) type RelayConnections = HashMap<SocketAddr, Vec<HttpSender>>;

/// Legs of a gather that are assigned to a peer.
#[derive(Clone, Debug)]
pub(crate) struct LegAssignment {
    /// For each leg, the fallback replica, which this node uses if it reclaims the leg, in the
    /// order of `legs`.
    pub(crate) fallbacks: Vec<Option<ReplicaKey>>,
    pub(crate) legs: Vec<usize>,
}

/// Deadlines of a shared gather.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RelayDeadlines {
    pub(crate) deadline_us: u64,
    pub(crate) soft_deadline_us: u64,
}

/// Asks a peer for the parts of the assigned legs.
pub(crate) async fn ask(
    shared: &Rc<NodeState>,
    address: SocketAddr,
    route: &Route,
    assignment: &LegAssignment,
    outgoing: &OutgoingRequest,
    deadlines: RelayDeadlines,
) -> Result<PartsStream, RelayError> {
    let head_timeout_ms = route.spec.target_latency_ms / PEER_HEAD_TIMEOUT_DIVISOR;
    let head_timeout = Duration::from_millis(head_timeout_ms.max(PEER_HEAD_TIMEOUT_MIN_MS));
    let opening = open(
        shared,
        address,
        route,
        assignment,
        outgoing,
        deadlines,
        head_timeout,
    );
    let (response, sender) = match time::timeout(head_timeout, opening).await {
        Ok(opened) => opened?,
        Err(_) => return Err(RelayError::Silent),
    };
    if response.status() != StatusCode::OK {
        return Err(RelayError::Declined);
    }
    Ok(PartsStream {
        address,
        body: response.into_body(),
        memory: HeldMemory::empty(shared, MemoryUse::Peers),
        received: BytesMut::new(),
        sender,
        shared: shared.clone(),
    })
}

/// The stream of parts from a peer.
#[derive(Debug)]
pub(crate) struct PartsStream {
    address: SocketAddr,
    body: Incoming,
    /// Memory counted for all that was received: parts share the buffer they arrived in.
    memory: HeldMemory,
    received: BytesMut,
    sender: HttpSender,
    shared: Rc<NodeState>,
}

impl PartsStream {
    /// Returns the next parts; `None` at the end of the stream.
    pub(crate) async fn next(&mut self) -> Result<Option<GroupParts>, RelayError> {
        loop {
            match GroupParts::decode(&mut self.received) {
                DecodedParts::Whole(parts) => return Ok(Some(parts)),
                DecodedParts::Malformed => return Err(RelayError::Lost),
                DecodedParts::Incomplete => {}
            }
            if self.received.len() > MESSAGE_BYTES_MAX {
                return Err(RelayError::Lost);
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.received.extend_from_slice(&data);
                        // Always granted.
                        self.memory.grow(data.len());
                    }
                }
                None if self.received.is_empty() => return Ok(None),
                Some(Err(_)) | None => return Err(RelayError::Lost),
            }
        }
    }

    /// Reads the end of the stream after the last parts and keeps the connection for reuse.
    pub(crate) async fn finish(mut self) {
        match self.next().await {
            Ok(None) => self.keep(),
            Ok(Some(_)) | Err(_) => log::debug!(
                "stream of parts from {} did not end as announced",
                self.address
            ),
        }
    }

    fn keep(self) {
        let mut connections = self.shared.relay_connections.borrow_mut();
        connections
            .entry(self.address)
            .or_default()
            .push(self.sender);
    }
}

/// Sends the request and waits for the head of the response, which shows that the peer is
/// alive.
async fn open(
    shared: &NodeState,
    address: SocketAddr,
    route: &Route,
    assignment: &LegAssignment,
    outgoing: &OutgoingRequest,
    deadlines: RelayDeadlines,
    head_timeout: Duration,
) -> Result<(Response<Incoming>, HttpSender), RelayError> {
    loop {
        let idle = take_idle(shared, address);
        let reused = idle.is_some();
        let mut sender = match idle {
            Some(sender) => sender,
            None => http_client::connect(address, head_timeout)
                .await
                .map_err(|_| RelayError::Unreachable)?,
        };
        let message = relay_message(shared, route, assignment, outgoing, deadlines)
            .ok_or(RelayError::Lost)?;
        match sender.try_send_request(message).await {
            Ok(response) => return Ok((response, sender)),
            Err(mut error) => {
                // A kept connection may have been closed before the request was written. Otherwise
                // the peer may have sent its legs.
                let unwritten = error.take_message().is_some();
                if !reused || !unwritten {
                    return Err(RelayError::Lost);
                }
            }
        }
    }
}

fn take_idle(shared: &NodeState, address: SocketAddr) -> Option<HttpSender> {
    let mut connections = shared.relay_connections.borrow_mut();
    let idle = connections.get_mut(&address)?;
    while let Some(sender) = idle.pop() {
        if !sender.is_closed() {
            return Some(sender);
        }
    }
    None
}

fn relay_message(
    shared: &NodeState,
    route: &Route,
    assignment: &LegAssignment,
    outgoing: &OutgoingRequest,
    deadlines: RelayDeadlines,
) -> Option<Request<Full<bytes::Bytes>>> {
    let now_us = shared.clock.now_us();
    let parts_due = deadlines.soft_deadline_us.saturating_sub(RETURN_MARGIN_US);
    let due_ms = parts_due.saturating_sub(now_us) / 1_000;
    let remaining_ms = deadlines.deadline_us.saturating_sub(now_us) / 1_000;
    let mut message = Request::new(Full::new(outgoing.body.clone()));
    *message.method_mut() = outgoing.method.clone();
    *message.uri_mut() = outgoing.uri.clone();
    let headers = message.headers_mut();
    headers.clone_from(&outgoing.headers);
    headers.insert(REMAINING_MS, HeaderValue::from(remaining_ms));
    headers.insert(
        relay_protocol::LEGS_KEY,
        relay_protocol::legs_key_value(route.legs_key)?,
    );
    headers.insert(
        relay_protocol::TOP_RECORDS,
        HeaderValue::from(route.top_records()),
    );
    headers.insert(relay_protocol::SOFT_DEADLINE_MS, HeaderValue::from(due_ms));
    headers.insert(
        relay_protocol::LEGS,
        relay_protocol::legs_value(&assignment.legs)?,
    );
    let fallbacks = relay_protocol::fallbacks_value(&assignment.fallbacks, &shared.pool.borrow())?;
    headers.insert(relay_protocol::FALLBACKS, fallbacks);
    Some(message)
}
