//! Serves requests of peers, for the parts of a gather (the responses of its shards) or for a
//! stream of changes of the store.

use std::convert::Infallible;
use std::future;
use std::pin::Pin;
use std::rc::Rc;

use bytes::Bytes;
use futures::Stream;
use futures::StreamExt;
use futures::stream;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::TokioIo;
use tokio::task;

use wigeonhall_dispatch::Exchange;

use crate::callers::accepted_connection::AcceptedConnection;
use crate::callers::caller_request;
use crate::callers::credentials::Credentials;
use crate::callers::probed_listener::ProbedListener;
use crate::peers::crash_reports;
use crate::peers::feed_protocol;
use crate::peers::feed_protocol::Revisions;
use crate::peers::feed_server;
use crate::peers::feed_server::FeedRefusal;
use crate::peers::quota_protocol;
use crate::peers::quota_server;
use crate::peers::relay_protocol;
use crate::peers::rollout_protocol;
use crate::peers::rollout_reports;
use crate::process::event::Event;
use crate::process::node_state::NodeState;
use crate::process::node_state::Phase;
use crate::replicas::outgoing_request::OutgoingRequest;
use crate::requests::crash_trial;
use crate::requests::group_parts::GroupParts;
use crate::requests::group_stream;
use crate::requests::query::Query;
use crate::store::collection_views::CollectionViews;

/// Messages to a peer. The head of the response to a gather is sent before any part, as a sign
/// that this node is alive.
type MessageStream = Pin<Box<dyn Stream<Item = Result<Frame<Bytes>, Infallible>>>>;

type RelayResponse = Response<StreamBody<MessageStream>>;

/// Serves peers: collects parts of their gathers and streams changes of the store to them.
pub(crate) async fn serve(
    shared: Rc<NodeState>,
    views: CollectionViews,
    mut listener: ProbedListener,
) {
    loop {
        let accepted = listener.accept().await;
        task::spawn_local(serve_connection(shared.clone(), views.clone(), accepted));
    }
}

async fn serve_connection(
    shared: Rc<NodeState>,
    views: CollectionViews,
    accepted: AcceptedConnection,
) {
    let (stream, arrived_us) = accepted.into_stream();
    let handler = service::service_fn(|request| {
        let (shared, views) = (shared.clone(), views.clone());
        let arrived_us = arrived_us.get();
        async move { Ok::<_, Infallible>(handle(&shared, &views, request, arrived_us).await) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), handler);
    if let Err(error) = connection.await {
        log::debug!("connection of a peer ended: {error}");
    }
}

async fn handle(
    shared: &Rc<NodeState>,
    views: &CollectionViews,
    request: Request<Incoming>,
    arrived_us: u64,
) -> RelayResponse {
    if let Some(revisions) = feed_protocol::read_follow(request.headers()) {
        return stream_changes(shared, views, &revisions);
    }
    if let Some(reports) = crash_reports::read(request.headers()) {
        crash_trial::learn(shared, &reports);
        let mut response = empty_response(StatusCode::NO_CONTENT);
        response
            .headers_mut()
            .extend(crash_reports::response(shared, &reports));
        return response;
    }
    if quota_protocol::is_message(request.headers()) {
        return match quota_server::handle(shared, request).await {
            Some(body) => respond(stream::iter([Frame::data(body)])),
            None => conflict_response(),
        };
    }
    if let Some(report) = rollout_protocol::read_report(request.headers()) {
        let answer = rollout_reports::take_report(shared, Some(report));
        let mut response = empty_response(StatusCode::NO_CONTENT);
        let answer = answer.and_then(rollout_protocol::encode_answer);
        response.headers_mut().extend(answer);
        return response;
    }
    match read_query(shared, request, arrived_us).await {
        Some(query) => {
            let legs = query.legs.len();
            let request_id = query.query.request_id().clone();
            let shared = shared.clone();
            let parts = group_stream::collect(query.query, query.legs, query.top_records);
            let messages = parts.filter_map(move |parts| {
                shared.log(&Event::Relayed {
                    extra_sends: parts.head.extra_sends,
                    legs,
                    parts: parts.head.legs.len(),
                    request_id: request_id.to_str().unwrap_or(""),
                });
                future::ready(frame(&parts))
            });
            respond(messages)
        }
        None => conflict_response(),
    }
}

fn respond(messages: impl Stream<Item = Frame<Bytes>> + 'static) -> RelayResponse {
    Response::new(StreamBody::new(Box::pin(messages.map(Ok)) as MessageStream))
}

/// Streams changes to a peer that follows this node; refuses if this node does not read the store
/// or cannot reach it.
fn stream_changes(
    shared: &Rc<NodeState>,
    views: &CollectionViews,
    revisions: &Revisions,
) -> RelayResponse {
    let mut response = match feed_server::open(shared, views, revisions) {
        Ok(messages) => {
            let frames = messages.flat_map(|message| stream::iter(message.into_frames()));
            respond(frames.map(Frame::data))
        }
        Err(FeedRefusal::NotReading) => conflict_response(),
        Err(FeedRefusal::StoreUnavailable) => empty_response(StatusCode::SERVICE_UNAVAILABLE),
    };
    let marker = HeaderValue::from_static("");
    response
        .headers_mut()
        .insert(feed_protocol::FOLLOW_HEADER, marker);
    response
}

fn conflict_response() -> RelayResponse {
    empty_response(StatusCode::CONFLICT)
}

fn empty_response(status: StatusCode) -> RelayResponse {
    let mut response = Response::new(StreamBody::new(Box::pin(stream::empty()) as MessageStream));
    *response.status_mut() = status;
    response
}

/// Legs of a peer's gather, with the peer's numbering.
struct PeerQuery {
    legs: Vec<usize>,
    query: Query,
    /// Number of records in the answer of the asking node.
    top_records: usize,
}

/// Validates a peer's request for parts; `None` if the peer must collect them itself.
///
/// The route of this node's configuration decides which replicas get the legs and when they are
/// hedged; everything that determines the result is stated by the peer, whose route may differ.
///
/// Its deadlines, of which the soft one is the time from which an incomplete answer is enough,
/// count from the arrival of the request, which may be well before a busy node reads it.
async fn read_query(
    shared: &Rc<NodeState>,
    mut request: Request<Incoming>,
    arrived_us: u64,
) -> Option<PeerQuery> {
    if shared.phase() != Phase::Serving {
        return None;
    }
    let table = shared.table.borrow().clone()?;
    let headers = request.headers_mut();
    let legs_key = relay_protocol::take_legs_key(headers)?;
    let top_records = relay_protocol::take_number(headers, &relay_protocol::TOP_RECORDS)?;
    let soft_ms = relay_protocol::take_number(headers, &relay_protocol::SOFT_DEADLINE_MS)?;
    let legs = relay_protocol::take_legs(headers)?;
    let fallbacks = relay_protocol::take_fallbacks(headers, &shared.pool.borrow())?;
    let head = caller_request::read_head(&request, &table).ok()?;
    // The peer routes by an earlier configuration, without tenants, and has not checked the key.
    if table.tenants.is_some() && !matches!(head.credentials, Credentials::None) {
        return None;
    }
    // The peer's configuration has other legs for the route.
    if legs_key != head.route.legs_key {
        return None;
    }
    let remaining_ms = head.remaining_ms?;
    let reading = caller_request::read_request(shared, request, head.request_id, table.limits);
    let outgoing: OutgoingRequest = reading.await.ok()?;
    let leg_count = head.route.select().services.len();
    if legs.iter().any(|leg| *leg >= leg_count) {
        return None;
    }
    let hedge_delay_us = shared.hedge_delay_us(&head.route);
    let exchange = Exchange::for_legs(
        head.route.clone(),
        &legs,
        head.route.spec.max_attempts,
        arrived_us.saturating_add(soft_ms.saturating_mul(1_000)),
        arrived_us.saturating_add(remaining_ms.saturating_mul(1_000)),
        hedge_delay_us,
    )
    .with_fallbacks(&fallbacks)
    .with_queueing_latency(shared.queueing_us(&head.route))
    .with_profile(shared.route_profile(&head.route));
    Some(PeerQuery {
        legs,
        query: Query::new(shared, exchange, Rc::new(outgoing)),
        top_records: top_records as usize,
    })
}

fn frame(parts: &GroupParts) -> Option<Frame<Bytes>> {
    match parts.encode() {
        Ok(message) => Some(Frame::data(message)),
        Err(error) => {
            log::warn!("cannot encode parts: {error}");
            None
        }
    }
}
