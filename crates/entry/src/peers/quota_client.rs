//! Sends messages about quotas to other nodes.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use tokio::time;

use wigeonhall_dispatch::QuotaMessage;
use wigeonhall_dispatch::QuotaReply;

use crate::net::http_client;
use crate::net::http_client::HttpSender;
use crate::peers::quota_protocol;
use crate::peers::quota_protocol::MESSAGE_BYTES_MAX;
use crate::process::node_state::NodeState;

/// Maximum number of idle connections, enough for one to each node of today's fleets; one needs
/// some 10 KB.
const IDLE_MAX: usize = 320;

/// Time after which an idle connection is closed.
const IDLE_US: u64 = 30_000_000;

/// Idle connections, the one used last at the back.
pub(crate) type QuotaConnections = VecDeque<IdleConnection>;

/// A connection without a message.
#[derive(Debug)]
pub(crate) struct IdleConnection {
    address: SocketAddr,
    sender: HttpSender,
    used_us: u64,
}

/// Sends a message; `None` if the node does not reply within the timeout.
pub(crate) async fn send(
    shared: &NodeState,
    address: SocketAddr,
    message: &QuotaMessage,
    timeout: Duration,
) -> Option<QuotaReply> {
    let exchange = async {
        let (body, sender) = post(shared, address, message, timeout).await?;
        let reply = quota_protocol::decode_reply(&body)?;
        keep(shared, address, sender);
        Some(reply)
    };
    time::timeout(timeout, exchange).await.ok().flatten()
}

async fn post(
    shared: &NodeState,
    address: SocketAddr,
    message: &QuotaMessage,
    timeout: Duration,
) -> Option<(Bytes, HttpSender)> {
    loop {
        let idle = take_idle(shared, address);
        let reused = idle.is_some();
        let mut sender = match idle {
            Some(sender) => sender,
            None => http_client::connect(address, timeout).await.ok()?,
        };
        let request: Request<Full<Bytes>> = match quota_protocol::request(message) {
            Ok(request) => request,
            Err(error) => {
                log::warn!("cannot encode a message about quotas: {error}");
                return None;
            }
        };
        match sender.try_send_request(request).await {
            Ok(response) => {
                if response.status() != StatusCode::OK {
                    return None;
                }
                let body = Limited::new(response.into_body(), MESSAGE_BYTES_MAX);
                return Some((body.collect().await.ok()?.to_bytes(), sender));
            }
            Err(mut error) => {
                // A kept connection may have been closed before the message was written.
                let unwritten = error.take_message().is_some();
                if !reused || !unwritten {
                    return None;
                }
            }
        }
    }
}

fn take_idle(shared: &NodeState, address: SocketAddr) -> Option<HttpSender> {
    let expired_us = shared.clock.now_us().saturating_sub(IDLE_US);
    let mut connections = shared.quotas.connections.borrow_mut();
    connections.retain(|idle| idle.used_us >= expired_us && !idle.sender.is_closed());
    let found = connections
        .iter()
        .rposition(|idle| idle.address == address)?;
    connections.remove(found).map(|idle| idle.sender)
}

fn keep(shared: &NodeState, address: SocketAddr, sender: HttpSender) {
    let mut connections = shared.quotas.connections.borrow_mut();
    if connections.len() >= IDLE_MAX {
        connections.pop_front();
    }
    connections.push_back(IdleConnection {
        address,
        sender,
        used_us: shared.clock.now_us(),
    });
}
