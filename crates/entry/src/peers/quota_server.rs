//! Handles messages about quotas from other nodes.

use std::rc::Rc;

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;

use wigeonhall_dispatch::QuotaMessage;
use wigeonhall_dispatch::QuotaReply;
use wigeonhall_dispatch::RouteTable;
use wigeonhall_dispatch::TenantSpec;

use crate::peers::quota_exchange;
use crate::peers::quota_protocol;
use crate::peers::quota_protocol::MESSAGE_BYTES_MAX;
use crate::process::node_state::NodeState;

/// Handles a message and returns the body of the reply; `None` if the message is malformed.
pub(crate) async fn handle(shared: &Rc<NodeState>, request: Request<Incoming>) -> Option<Bytes> {
    let body = Limited::new(request.into_body(), MESSAGE_BYTES_MAX);
    let body = body.collect().await.ok()?.to_bytes();
    let message = quota_protocol::decode_message(&body)?;
    let reply = apply(shared, &message);
    match quota_protocol::encode_reply(&reply) {
        Ok(body) => Some(body),
        Err(error) => {
            log::warn!("cannot encode a reply about quotas: {error}");
            None
        }
    }
}

/// Applies a message of another node, or of this node to itself.
pub(crate) fn apply(shared: &Rc<NodeState>, message: &QuotaMessage) -> QuotaReply {
    let now_us = shared.clock.now_us();
    if !message.limited.is_empty() {
        let mut view = shared.quotas.view.borrow_mut();
        view.apply_announcement(now_us, &message.limited);
    }
    if message.suspicious {
        shared.quotas.view.borrow_mut().apply_suspicion(now_us);
        shared.quotas.due.notify_one();
    }
    let table = shared.table.borrow().clone();
    let reply =
        shared
            .quotas
            .owner
            .borrow_mut()
            .receive(now_us, message, &shared.peers.borrow(), |name| {
                limited_tenant(table.as_deref()?, name)
            });
    quota_exchange::log_changes(shared);
    reply
}

/// Returns the tenant with a name if its rate is limited.
pub(crate) fn limited_tenant<'a>(table: &'a RouteTable, name: &str) -> Option<&'a TenantSpec> {
    let tenant = table.tenants.as_ref()?.by_name(name)?;
    tenant.is_limited().then_some(&**tenant)
}
