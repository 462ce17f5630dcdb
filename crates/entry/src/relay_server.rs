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

use crate::accepted::Accepted;
use crate::answer;
use crate::caller_request;
use crate::event::Event;
use crate::feed_protocol;
use crate::feed_protocol::Revisions;
use crate::feed_server;
use crate::feed_server::FeedRefusal;
use crate::group_parts::GroupParts;
use crate::group_stream;
use crate::node_state::NodeState;
use crate::node_state::Phase;
use crate::probed_listener::ProbedListener;
use crate::query::Query;
use crate::relay_protocol;
use crate::replica_client::OutgoingRequest;
use crate::views::Views;

/// Messages to another node; the head of a response to a gather comes before its parts, as
/// a sign of life.
type MessageStream = Pin<Box<dyn Stream<Item = Result<Frame<Bytes>, Infallible>>>>;

type RelayResponse = Response<StreamBody<MessageStream>>;

/// Collects parts of gathers for other nodes, and passes changes of the store on to them.
pub(crate) async fn serve(shared: Rc<NodeState>, views: Views, mut listener: ProbedListener) {
    loop {
        let accepted = listener.accept().await;
        task::spawn_local(connection(shared.clone(), views.clone(), accepted));
    }
}

async fn connection(shared: Rc<NodeState>, views: Views, accepted: Accepted) {
    let (stream, arrived_us) = accepted.into_stream();
    let handler = service::service_fn(|request| {
        let (shared, views) = (shared.clone(), views.clone());
        let arrived_us = arrived_us.get();
        async move { Ok::<_, Infallible>(handle(&shared, &views, request, arrived_us).await) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), handler);
    if let Err(error) = connection.await {
        log::debug!("connection of a node ended: {error}");
    }
}

async fn handle(
    shared: &Rc<NodeState>,
    views: &Views,
    request: Request<Incoming>,
    arrived_us: u64,
) -> RelayResponse {
    if let Some(revisions) = feed_protocol::read_follow(request.headers()) {
        return pass_on(shared, views, &revisions);
    }
    match accept(shared, request, arrived_us).await {
        Some(query) => {
            let legs = query.legs.len();
            let request_id = query.query.request_id().clone();
            let shared = shared.clone();
            let parts = group_stream::collect(query.query, query.legs);
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
        None => declined(),
    }
}

fn respond(messages: impl Stream<Item = Frame<Bytes>> + 'static) -> RelayResponse {
    Response::new(StreamBody::new(Box::pin(messages.map(Ok)) as MessageStream))
}

/// Passes changes on to a node that follows this one.
fn pass_on(shared: &Rc<NodeState>, views: &Views, revisions: &Revisions) -> RelayResponse {
    let mut response = match feed_server::open(shared, views, revisions) {
        Ok(messages) => respond(messages.map(|message| Frame::data(message.encode()))),
        Err(FeedRefusal::NotReading) => declined(),
        Err(FeedRefusal::StoreAway) => refused(StatusCode::SERVICE_UNAVAILABLE),
    };
    let proof = HeaderValue::from_static("");
    response.headers_mut().insert(feed_protocol::FOLLOW, proof);
    response
}

fn declined() -> RelayResponse {
    refused(StatusCode::CONFLICT)
}

fn refused(status: StatusCode) -> RelayResponse {
    let mut response = Response::new(StreamBody::new(Box::pin(stream::empty()) as MessageStream));
    *response.status_mut() = status;
    response
}

/// Some legs of another node's gather, numbered by that node.
struct RelayedQuery {
    legs: Vec<usize>,
    query: Query,
}

/// Checks a request of another node; `None` if the node must do the work itself.
///
/// Its times count from when it came, which may be well before a busy node reads it.
async fn accept(
    shared: &Rc<NodeState>,
    mut request: Request<Incoming>,
    arrived_us: u64,
) -> Option<RelayedQuery> {
    if shared.phase() != Phase::Serving {
        return None;
    }
    let table = shared.table.borrow().clone()?;
    let headers = request.headers_mut();
    let legs_key = relay_protocol::take_number(headers, &relay_protocol::LEGS_KEY)?;
    let soft_ms = relay_protocol::take_number(headers, &relay_protocol::SOFT_MS)?;
    let legs = relay_protocol::take_legs(headers)?;
    let fallbacks = relay_protocol::take_fallbacks(headers, &shared.pool.borrow())?;
    let head = caller_request::read_head(&request, &table).ok()?;
    if legs_key != head.route.legs_key {
        return None;
    }
    let remaining_ms = head.remaining_ms?;
    let reading = caller_request::read_request(request, head.request_id, table.limits);
    let outgoing: OutgoingRequest = reading.await.ok()?;
    let known = head.route.select().services.len();
    if legs.iter().any(|leg| *leg >= known) {
        return None;
    }
    let hedge_delay_us = answer::hedge_delay_us(shared, &head.route);
    let exchange = Exchange::for_legs(
        head.route.clone(),
        &legs,
        head.route.spec.max_attempts,
        arrived_us.saturating_add(soft_ms.saturating_mul(1_000)),
        arrived_us.saturating_add(remaining_ms.saturating_mul(1_000)),
        hedge_delay_us,
    )
    .with_fallbacks(&fallbacks);
    Some(RelayedQuery {
        legs,
        query: Query::new(shared, exchange, Rc::new(outgoing)),
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
