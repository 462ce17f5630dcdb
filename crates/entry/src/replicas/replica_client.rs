use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::StatusCode;
use http::Uri;
use http::header;
use http::response::Parts;
use http_body_util::Full;
use hyper::Response;
use hyper::body::Incoming;
use tokio::net::TcpStream;
use tokio::time;

use wigeonhall_adapter::EXPECTED_INSTANCE;
use wigeonhall_adapter::LEAVING;
use wigeonhall_adapter::NOT_RUN;
use wigeonhall_adapter::RATE_LIMIT;
use wigeonhall_adapter::RECEIPT;
use wigeonhall_adapter::REMAINING_MS;
use wigeonhall_adapter::REQUEST_ID;
use wigeonhall_adapter::RETRY_AFTER;
use wigeonhall_adapter::instance_value;
use wigeonhall_adapter::rate_limit_per_s;
use wigeonhall_adapter::retry_after_ms;
use wigeonhall_dispatch::NotRunCause;
use wigeonhall_dispatch::Notice;
use wigeonhall_dispatch::RateLimit;
use wigeonhall_dispatch::ReplicaKey;
use wigeonhall_dispatch::Reply;
use wigeonhall_dispatch::UnknownCause;

use crate::net::http_client;
use crate::net::http_client::HttpSender;
use crate::process::held_memory::HeldMemory;
use crate::process::node_state::NodeState;
use crate::replicas::replica_response::ReplicaResponse;
use crate::replicas::replica_response::SubRequestResult;
use crate::replicas::response_body;

/// Idle time after which a connection isn't reused, unless the replica states a timeout.
const IDLE_TIMEOUT_US: u64 = 4_000_000;

/// Upper bound of the idle timeout that a replica may state.
const IDLE_TIMEOUT_MAX_US: u64 = 600_000_000;

/// Time before the end of the replica's idle timeout in which a connection isn't reused.
const IDLE_MARGIN_US: u64 = 700_000;

/// Timeout of the connection that shows whether a replica has crashed.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(30);

/// Statuses with which a replica may end a request.
const VALID_STATUSES: RangeInclusive<u16> = 200..=599;

/// A caller's request as it is sent to replicas.
#[derive(Debug)]
pub(crate) struct OutgoingRequest {
    pub(crate) body: Bytes,
    /// The caller's headers without hop-by-hop headers.
    pub(crate) headers: HeaderMap,
    /// Memory reserved for the request.
    #[expect(dead_code, reason = "releases the memory when the request is dropped")]
    pub(crate) memory: HeldMemory,
    pub(crate) method: Method,
    pub(crate) request_id: HeaderValue,
    /// Path and query, unchanged.
    pub(crate) uri: Uri,
}

/// Idle connections to replicas.
#[derive(Debug, Default)]
pub(crate) struct IdleConnections {
    by_replica: HashMap<ReplicaKey, Vec<IdleConnection>>,
}

#[derive(Debug)]
struct IdleConnection {
    expires_us: u64,
    sender: HttpSender,
}

impl IdleConnections {
    fn take(&mut self, now_us: u64, key: ReplicaKey) -> Option<HttpSender> {
        let idle = self.by_replica.get_mut(&key)?;
        let mut usable = None;
        while let Some(connection) = idle.pop() {
            if connection.expires_us > now_us && !connection.sender.is_closed() {
                usable = Some(connection.sender);
                break;
            }
        }
        if idle.is_empty() {
            self.by_replica.remove(&key);
        }
        usable
    }

    fn put(&mut self, key: ReplicaKey, sender: HttpSender, expires_us: u64) {
        let idle = self.by_replica.entry(key).or_default();
        idle.push(IdleConnection { expires_us, sender });
    }

    /// Returns whether there is an idle connection to a replica.
    pub(crate) fn contains(&self, key: ReplicaKey) -> bool {
        self.by_replica.contains_key(&key)
    }

    /// Closes the idle connections to a replica.
    pub(crate) fn close(&mut self, key: ReplicaKey) {
        self.by_replica.remove(&key);
    }

    /// Closes connections that may no longer be reused.
    pub(crate) fn sweep(&mut self, now_us: u64) {
        self.by_replica.retain(|_, idle| {
            idle.retain(|item| item.expires_us > now_us && !item.sender.is_closed());
            !idle.is_empty()
        });
    }
}

/// The replica of a sub-request, as registered when the sub-request was sent.
#[derive(Clone, Debug)]
struct Destination {
    address: SocketAddr,
    id: Arc<str>,
    /// Value of [`EXPECTED_INSTANCE`].
    instance: HeaderValue,
    key: ReplicaKey,
}

/// Sends a request to a replica and reads its whole response.
pub(crate) async fn send(
    shared: &Rc<NodeState>,
    key: ReplicaKey,
    request: &OutgoingRequest,
    deadline_us: u64,
) -> SubRequestResult {
    let Some(destination) = destination(shared, key) else {
        return SubRequestResult::without_response(Reply::NotRun(NotRunCause::Unreachable));
    };
    loop {
        let now_us = shared.clock.now_us();
        let idle = shared.idle_connections.borrow_mut().take(now_us, key);
        let reused = idle.is_some();
        let sender = match idle {
            Some(mut sender) => match sender.ready().await {
                Ok(()) => sender,
                Err(_) => continue,
            },
            None => match open(shared, &destination).await {
                Ok(sender) => sender,
                Err(cause) => return SubRequestResult::without_response(Reply::NotRun(cause)),
            },
        };
        if !shared
            .pool
            .borrow()
            .may_still_send(shared.clock.now_us(), key)
        {
            return SubRequestResult::without_response(Reply::NotRun(NotRunCause::Withdrawn));
        }
        match send_over(shared, sender, reused, &destination, request, deadline_us).await {
            DeliveryAttempt::Completed(result) => return result,
            // The reused connection was closed before the request was written.
            DeliveryAttempt::NotWritten if reused => {}
            DeliveryAttempt::NotWritten => {
                return SubRequestResult::without_response(Reply::NotRun(NotRunCause::Unreachable));
            }
        }
    }
}

/// Opens a connection to a replica before its first request.
pub(crate) async fn preconnect(shared: &Rc<NodeState>, key: ReplicaKey) {
    let Some(destination) = destination(shared, key) else {
        return;
    };
    if let Ok(sender) = open(shared, &destination).await {
        let expires_us = shared.clock.now_us() + IDLE_TIMEOUT_US;
        shared
            .idle_connections
            .borrow_mut()
            .put(key, sender, expires_us);
    }
}

/// The result of sending a request over one connection.
enum DeliveryAttempt {
    Completed(SubRequestResult),
    NotWritten,
}

fn destination(shared: &NodeState, key: ReplicaKey) -> Option<Destination> {
    let pool = shared.pool.borrow();
    let replica = pool.replica(key)?;
    Some(Destination {
        address: replica.registration.address,
        id: replica.id().clone(),
        instance: instance_value(replica.id())?,
        key,
    })
}

async fn open(shared: &NodeState, destination: &Destination) -> Result<HttpSender, NotRunCause> {
    shared.metrics.replica_connections.inc();
    let timeout_us = shared.pool.borrow().connect_timeout_us(destination.key);
    let started_us = shared.clock.now_us();
    let timeout = Duration::from_micros(timeout_us);
    match http_client::connect(destination.address, timeout).await {
        Ok(sender) => {
            let latency_us = shared.clock.now_us() - started_us;
            let mut pool = shared.pool.borrow_mut();
            pool.observe_connect(destination.key, latency_us);
            Ok(sender)
        }
        Err(error) => {
            log::debug!("cannot connect to replica {}: {error}", destination.id);
            shared.metrics.replica_connection_errors.inc();
            Err(if error.kind() == ErrorKind::ConnectionRefused {
                NotRunCause::ConnectionRefused
            } else {
                NotRunCause::Unreachable
            })
        }
    }
}

async fn send_over(
    shared: &Rc<NodeState>,
    mut sender: HttpSender,
    reused: bool,
    destination: &Destination,
    request: &OutgoingRequest,
    deadline_us: u64,
) -> DeliveryAttempt {
    let remaining_ms = deadline_us.saturating_sub(shared.clock.now_us()) / 1_000;
    let message = replica_message(request, destination, remaining_ms);
    let response = match sender.try_send_request(message).await {
        Ok(response) => response,
        Err(mut error) => {
            if error.take_message().is_some() {
                return DeliveryAttempt::NotWritten;
            }
            let cause = reset_cause(destination.address).await;
            return DeliveryAttempt::Completed(unknown_result(cause));
        }
    };
    let (mut result, idle_timeout_us) = read_response(shared, request, response, reused).await;
    if result.reply == Reply::Unknown(UnknownCause::Reset) {
        result.reply = Reply::Unknown(reset_cause(destination.address).await);
    }
    if let Some(idle_us) = idle_timeout_us {
        let expires_us = shared.clock.now_us() + idle_us;
        let mut idle = shared.idle_connections.borrow_mut();
        idle.put(destination.key, sender, expires_us);
    }
    DeliveryAttempt::Completed(result)
}

/// Returns why a connection to a replica ended: a replica whose process has ended refuses new
/// connections.
async fn reset_cause(address: SocketAddr) -> UnknownCause {
    match time::timeout(CRASH_CHECK_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => UnknownCause::Crashed,
        Ok(_) | Err(_) => UnknownCause::Reset,
    }
}

fn replica_message(
    request: &OutgoingRequest,
    destination: &Destination,
    remaining_ms: u64,
) -> Request<Full<Bytes>> {
    let mut message = Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.uri.clone();
    let headers = message.headers_mut();
    headers.clone_from(&request.headers);
    headers.insert(REMAINING_MS, HeaderValue::from(remaining_ms));
    headers.insert(EXPECTED_INSTANCE, destination.instance.clone());
    message
}

/// Reads a response; also returns for how long its connection may stay idle, if it is kept.
///
/// On a `reused` connection a second copy of an earlier response may arrive first; only the
/// echoed request id tells them apart.
async fn read_response(
    shared: &Rc<NodeState>,
    request: &OutgoingRequest,
    response: Response<Incoming>,
    reused: bool,
) -> (SubRequestResult, Option<u64>) {
    let (head, body) = response.into_parts();
    let belongs_to_request = match head.headers.get(&REQUEST_ID) {
        Some(echo) => *echo == request.request_id,
        None => !reused,
    };
    if !belongs_to_request {
        // The connection is out of sync; it is dropped with all bytes that follow.
        return (unknown_result(UnknownCause::Foreign), None);
    }
    if !has_valid_status(&head) {
        return (unknown_result(UnknownCause::InvalidStatus), None);
    }
    let (bytes, memory) = match response_body::read(shared, body).await {
        Ok(read) => read,
        Err(cause) => return (unknown_result(cause), None),
    };
    let idle_timeout_us = idle_timeout_us(&head.headers);
    let response = ReplicaResponse {
        body: bytes,
        headers: head.headers,
        memory,
        status: head.status,
    };
    let reply = classify(&response);
    let result = SubRequestResult {
        notice: notice(reply, &response),
        reply,
        response: Some(response),
    };
    (result, idle_timeout_us)
}

/// Returns whether a replica may end a request with this status. The library accepts any number of
/// three digits from 100, and takes a body after 204 for the start of the next response.
fn has_valid_status(head: &Parts) -> bool {
    let announces_body = head.headers.contains_key(header::TRANSFER_ENCODING)
        || head
            .headers
            .get(header::CONTENT_LENGTH)
            .is_some_and(|length| length != "0");
    let forbidden_body = head.status == StatusCode::NO_CONTENT && announces_body;
    VALID_STATUSES.contains(&head.status.as_u16()) && !forbidden_body
}

fn classify(response: &ReplicaResponse) -> Reply {
    if response.status == StatusCode::MISDIRECTED_REQUEST {
        return Reply::NotRun(NotRunCause::OtherInstance);
    }
    if response.headers.contains_key(&NOT_RUN) {
        return Reply::NotRun(NotRunCause::Busy);
    }
    if !response.status.is_success() {
        return Reply::Failed {
            status: response.status.as_u16(),
        };
    }
    let usable = response.headers.contains_key(&RECEIPT)
        && !response.headers.contains_key(header::CONTENT_ENCODING);
    if usable {
        Reply::Success
    } else {
        Reply::Unknown(UnknownCause::Unproved)
    }
}

/// Returns what the replica asks of its callers; a response of another instance is ignored.
fn notice(reply: Reply, response: &ReplicaResponse) -> Notice {
    if reply == Reply::NotRun(NotRunCause::OtherInstance) {
        return Notice::default();
    }
    let headers = &response.headers;
    let refused = response.status == StatusCode::SERVICE_UNAVAILABLE;
    let hold_off = headers.get(&RETRY_AFTER).filter(|_| refused);
    Notice {
        hold_off_ms: hold_off.and_then(retry_after_ms),
        draining: headers.contains_key(&LEAVING),
        rate_limit: rate_limit(headers),
    }
}

fn rate_limit(headers: &HeaderMap) -> RateLimit {
    let Some(value) = headers.get(&RATE_LIMIT) else {
        return RateLimit::None;
    };
    let Some(per_s) = rate_limit_per_s(value) else {
        log::warn!("a replica names a rate limit that is not a number: {value:?}");
        return RateLimit::Unknown;
    };
    RateLimit::PerSecond(per_s)
}

fn unknown_result(cause: UnknownCause) -> SubRequestResult {
    SubRequestResult::without_response(Reply::Unknown(cause))
}

/// Returns for how long a connection may stay idle after this response; `None` if it closes.
fn idle_timeout_us(headers: &HeaderMap) -> Option<u64> {
    let closes = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case("close"));
    if closes {
        return None;
    }
    let stated_us = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(keep_alive_timeout_s)
        .map(|timeout_s| {
            timeout_s
                .saturating_mul(1_000_000)
                .saturating_sub(IDLE_MARGIN_US)
        });
    // A replica may state any timeout; longer ones are capped.
    Some(
        stated_us
            .unwrap_or(IDLE_TIMEOUT_US)
            .min(IDLE_TIMEOUT_MAX_US),
    )
}

/// Parses the timeout of a keep-alive header, in whole seconds.
fn keep_alive_timeout_s(value: &str) -> Option<u64> {
    value
        .split(',')
        .filter_map(|item| item.trim().strip_prefix("timeout="))
        .find_map(|text| text.trim().parse().ok())
}
