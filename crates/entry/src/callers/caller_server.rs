//! Accepts callers' connections and answers their requests.

use std::convert::Infallible;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use http::HeaderValue;
use http::Request;
use http::StatusCode;
use http::header;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::sync::watch;
use tokio::task;
use tokio::time;

use wigeonhall_dispatch::Arrival;
use wigeonhall_dispatch::RouteTable;

use crate::callers::accepted_connection::AcceptedConnection;
use crate::callers::caller_connections;
use crate::callers::caller_request;
use crate::callers::caller_request::CallerHead;
use crate::callers::caller_request::Rejection;
use crate::callers::caller_response::CallerResponse;
use crate::callers::caller_stream;
use crate::callers::caller_stream::CallerActivity;
use crate::callers::credentials;
use crate::callers::probed_listener::ProbedListener;
use crate::callers::quota_admission;
use crate::callers::responses;
use crate::process::event::Event;
use crate::process::event::RequestEvent;
use crate::process::node_state::NodeState;
use crate::process::node_state::Phase;
use crate::replicas::outgoing_request::OutgoingRequest;
use crate::requests::answer;

/// Smallest read buffer that `hyper` accepts.
const READ_BUFFER_MIN_BYTES: usize = 8_192;

/// Timeout of a request head before the first configuration.
const HEAD_TIMEOUT_MS: u64 = 3_000;

/// Idle timeout of a connection before the first configuration.
const IDLE_TIMEOUT_MS: u64 = 15_000;

/// Time for which a closing process still accepts and reads: at least one poll of the event
/// loop for connections and bytes that are waiting.
pub(crate) const FINAL_READ_PERIOD: Duration = Duration::from_millis(50);

/// Serves callers until the process closes its connections.
pub(crate) async fn serve(shared: Rc<NodeState>, mut listener: ProbedListener) {
    let mut phase = shared.phase.subscribe();
    let mut closing = pin!(wait_for_closing(&mut phase));
    loop {
        let accepted = tokio::select! {
            // Accepts all waiting connections before the listener closes.
            biased;
            accepted = listener.accept() => accepted,
            () = &mut closing => return,
        };
        task::spawn_local(serve_connection(shared.clone(), accepted));
    }
}

/// Waits until the process closes its connections and has read what arrived before.
async fn wait_for_closing(phase: &mut watch::Receiver<Phase>) {
    // Never fails: the sender lives as long as the process.
    drop(phase.wait_for(|phase| *phase == Phase::Closing).await);
    time::sleep(FINAL_READ_PERIOD).await;
}

async fn serve_connection(shared: Rc<NodeState>, accepted: AcceptedConnection) {
    let limits = shared.limits();
    let head_ms = limits.map_or(HEAD_TIMEOUT_MS, |limits| limits.header_timeout_ms);
    let idle_ms = limits.map_or(IDLE_TIMEOUT_MS, |limits| limits.idle_timeout_ms);
    let activity = Rc::new(CallerActivity::new(
        shared.clone(),
        Duration::from_millis(head_ms),
        Duration::from_millis(idle_ms),
    ));
    let Some(admitted) = caller_connections::admit(&shared, activity) else {
        return;
    };
    shared.connections.set(shared.connections.get() + 1);
    let activity = &admitted.activity;
    if let Err(error) = serve_until_end(&shared, activity, accepted).await {
        log::debug!("connection of a caller ended: {error}");
    }
    shared.connections.set(shared.connections.get() - 1);
}

async fn serve_until_end(
    shared: &Rc<NodeState>,
    activity: &Rc<CallerActivity>,
    accepted: AcceptedConnection,
) -> io::Result<()> {
    let limits = shared.limits();
    let buffer_bytes = limits.map_or(READ_BUFFER_MIN_BYTES, |limits| limits.header_bytes);
    let stream = caller_stream::with_timeouts(accepted, activity.clone());
    let handler = service::service_fn(|request| handle(shared.clone(), activity.clone(), request));
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(buffer_bytes.max(READ_BUFFER_MIN_BYTES));
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), handler));
    let mut phase = shared.phase.subscribe();
    let result = tokio::select! {
        biased;
        () = activity.closed() => return Ok(()),
        result = connection.as_mut() => result,
        () = wait_for_closing(&mut phase) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    result.map_err(io::Error::other)
}

async fn handle(
    shared: Rc<NodeState>,
    activity: Rc<CallerActivity>,
    request: Request<Incoming>,
) -> Result<CallerResponse, Infallible> {
    let now_us = shared.clock.now_us();
    let arrived_us = activity.request_read().unwrap_or(now_us);
    let policy = *shared.pool.borrow().policy();
    let arrival = Arrival {
        answer_lag_us: shared.answer_lag.get(),
        arrived_us,
        connection_reused: activity.has_answered(),
        processor_share: shared.peers.borrow().own().processor_share,
        round_trip: policy.round_trip(activity.round_trip()),
    };
    activity.set_body_left(exceeds_read_buffer(request.body()));
    let mut response = respond(&shared, &activity, request, arrival).await;
    activity.request_answered(response.extensions().get().copied());
    if shared.phase() != Phase::Serving || activity.has_body_left() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
}

/// Whether a body that a response does not wait for is too long to be skipped: `hyper` skips what
/// it has read together with the head.
fn exceeds_read_buffer(body: &Incoming) -> bool {
    let length_bytes = body.size_hint().upper();
    length_bytes.is_none_or(|bytes| bytes > READ_BUFFER_MIN_BYTES as u64)
}

/// Answers a request; its deadline counts from its arrival.
async fn respond(
    shared: &Rc<NodeState>,
    activity: &CallerActivity,
    request: Request<Incoming>,
    arrival: Arrival,
) -> CallerResponse {
    let table = shared.table.borrow().clone();
    let Some(table) = table else {
        let remaining_ms = caller_request::remaining_ms(request.headers()).unwrap_or(None);
        let health = shared.feed.store_health.borrow();
        let retry_after_ms = health.unconfigured_retry_ms(shared.clock.now_us(), remaining_ms);
        return responses::refusal("no configuration is known yet", retry_after_ms);
    };
    let mut head = match caller_request::read_caller_head(&request, &table) {
        Ok(head) => head,
        Err(rejection) => return reject(shared, &rejection, arrival.arrived_us, table.version),
    };
    if let Err(refusal) = quota_admission::admit(shared, &head, arrival.arrived_us, &table).await {
        return refusal;
    }
    activity.set_body_left(true);
    let outgoing = read_within_timeout(shared, request, &head, &table).await;
    activity.set_body_left(outgoing.is_err());
    match outgoing.and_then(|outgoing| reauthenticate(shared, &mut head, outgoing)) {
        Ok(outgoing) => answer::answer(shared, &head, outgoing, arrival).await,
        Err(rejection) => reject(shared, &rejection, arrival.arrived_us, table.version),
    }
}

/// Checks the caller's key again, as it may have been revoked while the body was read, and sets the
/// tenant's name in place of the key.
fn reauthenticate(
    shared: &NodeState,
    head: &mut CallerHead,
    mut outgoing: OutgoingRequest,
) -> Result<OutgoingRequest, Rejection> {
    if let Some(table) = shared.table.borrow().as_deref() {
        head.authenticate(table)?;
        if table.tenants.is_some() {
            credentials::set_tenant(&mut outgoing.headers, head.tenant.as_deref());
        }
    }
    Ok(outgoing)
}

/// Reads the body within the timeout of the route.
async fn read_within_timeout(
    shared: &Rc<NodeState>,
    request: Request<Incoming>,
    head: &CallerHead,
    table: &RouteTable,
) -> Result<OutgoingRequest, Rejection> {
    let timeout = Duration::from_millis(head.route.spec.timeout_ms);
    let request_id = head.request_id.clone();
    let reading = caller_request::read_request(shared, request, request_id, table.limits);
    time::timeout(timeout, reading)
        .await
        .unwrap_or_else(|_| Err(Rejection::body_timeout()))
}

fn reject(
    shared: &NodeState,
    rejection: &Rejection,
    arrived_us: u64,
    config_version: u64,
) -> CallerResponse {
    let elapsed_us = shared.clock.now_us() - arrived_us;
    shared
        .metrics
        .requests
        .with_label_values(&["rejected"])
        .inc();
    if rejection.status == StatusCode::UNAUTHORIZED {
        shared.metrics.unknown_key_refusals.inc();
    }
    shared.log(&Event::Request(RequestEvent {
        config_version,
        deadline_ms: 0,
        due_ms: 0,
        elapsed_ms: elapsed_us as f64 / 1_000.0,
        extra_sends: 0,
        legs: 0,
        missing: Vec::new(),
        nodes: 0,
        outcome: format!("rejected: {}", rejection.reason),
        request_id: "",
        route: "",
        status: rejection.status.as_u16(),
        store_age_ms: 0,
        tenant: None,
    }));
    match rejection.retry_after_ms {
        Some(retry_after_ms) => responses::refusal(rejection.reason, retry_after_ms),
        None => responses::plain(rejection.status, rejection.reason),
    }
}
