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
use wigeonhall_dispatch::ReplicaKey;
use wigeonhall_dispatch::Route;

use crate::group_parts::Decoded;
use crate::group_parts::GroupParts;
use crate::http_client;
use crate::http_client::HttpSender;
use crate::node_state::NodeState;
use crate::relay_protocol;
use crate::replica_client::OutgoingRequest;

/// Shortest wait for a sign of life of a node.
const SIGN_OF_LIFE_MIN_MS: u64 = 20;

/// Part of the target latency that a node may take for a sign of life.
const SIGN_OF_LIFE_DIVISOR: u64 = 3;

/// Time kept free for the way back of the parts.
const WAY_BACK_US: u64 = 3_000;

/// Largest message of a node.
const MESSAGE_BYTES_MAX: usize = 4 * 1024 * 1024;

/// Why a node did not hand over parts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RelayError {
    /// It stops, or its configuration sends other legs on the route.
    Declined,
    /// Its connection ended, or its message is malformed; it may have done some work.
    Lost,
    /// It gave no sign of life in time; it may have done some work.
    Silent,
    /// No connection could be opened.
    Unreachable,
}

/// Idle connections to other nodes.
pub(crate) type RelayConnections = HashMap<SocketAddr, Vec<HttpSender>>;

/// Legs of a gather that another node is asked for.
#[derive(Clone, Debug)]
pub(crate) struct LegWork {
    /// The replica that this node uses if it takes the leg back, in the order of `legs`.
    pub(crate) fallbacks: Vec<Option<ReplicaKey>>,
    pub(crate) legs: Vec<usize>,
}

/// Times of a request that several nodes share.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RelayTimes {
    pub(crate) deadline_us: u64,
    pub(crate) soft_deadline_us: u64,
}

/// Asks a node for the parts of some legs.
pub(crate) async fn ask(
    shared: &Rc<NodeState>,
    address: SocketAddr,
    route: &Route,
    work: &LegWork,
    outgoing: &OutgoingRequest,
    times: RelayTimes,
) -> Result<RelayedParts, RelayError> {
    let patience_ms = route.spec.target_latency_ms / SIGN_OF_LIFE_DIVISOR;
    let patience = Duration::from_millis(patience_ms.max(SIGN_OF_LIFE_MIN_MS));
    let opening = open(shared, address, route, work, outgoing, times, patience);
    let (response, sender) = match time::timeout(patience, opening).await {
        Ok(opened) => opened?,
        Err(_) => return Err(RelayError::Silent),
    };
    if response.status() != StatusCode::OK {
        return Err(RelayError::Declined);
    }
    Ok(RelayedParts {
        address,
        body: response.into_body(),
        received: BytesMut::new(),
        sender,
        shared: shared.clone(),
    })
}

/// Parts that come from another node.
#[derive(Debug)]
pub(crate) struct RelayedParts {
    address: SocketAddr,
    body: Incoming,
    received: BytesMut,
    sender: HttpSender,
    shared: Rc<NodeState>,
}

impl RelayedParts {
    /// The next parts; `None` when the node has no more. The connection is kept then.
    pub(crate) async fn next(&mut self) -> Result<Option<GroupParts>, RelayError> {
        loop {
            match GroupParts::decode(&mut self.received) {
                Decoded::Whole(parts) => return Ok(Some(parts)),
                Decoded::Malformed => return Err(RelayError::Lost),
                Decoded::Incomplete => {}
            }
            if self.received.len() > MESSAGE_BYTES_MAX {
                return Err(RelayError::Lost);
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.received.extend_from_slice(&data);
                    }
                }
                None if self.received.is_empty() => return Ok(None),
                Some(Err(_)) | None => return Err(RelayError::Lost),
            }
        }
    }

    /// Reads the end behind the last parts and keeps the connection.
    pub(crate) async fn finish(mut self) {
        match self.next().await {
            Ok(None) => self.keep(),
            Ok(Some(_)) | Err(_) => log::debug!("node {} broke off its end", self.address),
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

/// Sends the request and waits for the head of the response, the sign of life.
async fn open(
    shared: &NodeState,
    address: SocketAddr,
    route: &Route,
    work: &LegWork,
    outgoing: &OutgoingRequest,
    times: RelayTimes,
    patience: Duration,
) -> Result<(Response<Incoming>, HttpSender), RelayError> {
    loop {
        let idle = take_idle(shared, address);
        let reused = idle.is_some();
        let mut sender = match idle {
            Some(sender) => sender,
            None => http_client::connect(address, patience)
                .await
                .map_err(|_| RelayError::Unreachable)?,
        };
        let message = message(shared, route, work, outgoing, times).ok_or(RelayError::Lost)?;
        match sender.try_send_request(message).await {
            Ok(response) => return Ok((response, sender)),
            // A kept connection may have ended with the former process of the node.
            Err(_) if reused => {}
            Err(_) => return Err(RelayError::Lost),
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

fn message(
    shared: &NodeState,
    route: &Route,
    work: &LegWork,
    outgoing: &OutgoingRequest,
    times: RelayTimes,
) -> Option<Request<Full<bytes::Bytes>>> {
    let now_us = shared.clock.now_us();
    let parts_due = times.soft_deadline_us.saturating_sub(WAY_BACK_US);
    let due_ms = parts_due.saturating_sub(now_us) / 1_000;
    let remaining_ms = times.deadline_us.saturating_sub(now_us) / 1_000;
    let mut message = Request::new(Full::new(outgoing.body.clone()));
    *message.method_mut() = outgoing.method.clone();
    *message.uri_mut() = outgoing.uri.clone();
    let headers = message.headers_mut();
    headers.clone_from(&outgoing.headers);
    headers.insert(REMAINING_MS, HeaderValue::from(remaining_ms));
    headers.insert(relay_protocol::LEGS_KEY, HeaderValue::from(route.legs_key));
    headers.insert(relay_protocol::SOFT_MS, HeaderValue::from(due_ms));
    headers.insert(
        relay_protocol::LEGS,
        relay_protocol::legs_value(&work.legs)?,
    );
    let fallbacks = relay_protocol::fallbacks_value(&work.fallbacks, &shared.pool.borrow())?;
    headers.insert(relay_protocol::FALLBACKS, fallbacks);
    Some(message)
}
