use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http_body_util::Full;
use tokio::net::TcpStream;
use tokio::time;

use wigeonhall_adapter::EXPECTED_INSTANCE;
use wigeonhall_adapter::REMAINING_MS;
use wigeonhall_adapter::instance_value;
use wigeonhall_dispatch::NotRunCause;
use wigeonhall_dispatch::ReplicaKey;
use wigeonhall_dispatch::Reply;
use wigeonhall_dispatch::UnknownCause;

use crate::net::http_client;
use crate::net::http_client::HttpSender;
use crate::process::node_state::NodeState;
use crate::replicas::outgoing_request::OutgoingRequest;
use crate::replicas::replica_response::SubRequestResult;
use crate::replicas::response_reader;

/// Timeout of the connection that shows whether a replica has crashed.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(30);

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
        let expires_us = shared.clock.now_us() + response_reader::IDLE_TIMEOUT_US;
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
            return DeliveryAttempt::Completed(response_reader::unknown_result(cause));
        }
    };
    let (mut result, idle_timeout_us) =
        response_reader::read(shared, request, response, reused).await;
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
