//! Handles messages about quotas from other nodes.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;

use wigeonhall_dispatch::OwnerRank;
use wigeonhall_dispatch::Peers;
use wigeonhall_dispatch::QuotaAnswer;
use wigeonhall_dispatch::QuotaMessage;
use wigeonhall_dispatch::QuotaReply;
use wigeonhall_dispatch::RouteTable;
use wigeonhall_dispatch::TenantSpec;

use crate::peers::quota_exchange;
use crate::peers::quota_protocol;
use crate::peers::quota_protocol::MESSAGE_BYTES_MAX;
use crate::process::node_state::NodeState;

/// Nodes of this rank or before it accept messages as owners: the lists of nodes differ between
/// nodes for some seconds after a node was added or removed.
const ACCEPTING_RANKS: usize = 3;

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
    let table = shared.table.borrow().clone();
    let answer_unknown = message.ask.as_ref().map(|_| QuotaAnswer::NotOwner);
    let mut reply = QuotaReply {
        answer: answer_unknown,
        states: Vec::new(),
    };
    let Some(table) = table else {
        return reply;
    };
    let mut owner = shared.quotas.owner.borrow_mut();
    for report in &message.reports {
        if let Some(spec) = owned(shared, &table, &report.tenant) {
            owner.report(now_us, spec, report);
            reply.states.push(owner.state(now_us, spec));
        }
    }
    let asked = message.ask.as_ref();
    if let Some(spec) = asked.and_then(|name| owned(shared, &table, name)) {
        reply.answer = Some(owner.ask(now_us, spec, &message.from));
        reply.states.push(owner.state(now_us, spec));
    }
    drop(owner);
    quota_exchange::log_changes(shared);
    reply
}

/// Returns the tenant with a name if this node is one of its owners.
fn owned<'a>(shared: &NodeState, table: &'a RouteTable, name: &Arc<str>) -> Option<&'a TenantSpec> {
    let spec = limited_tenant(table, name)?;
    let peers = shared.peers.borrow();
    let accepts = peers.generation() > 0 && is_ranked(&peers, name, ACCEPTING_RANKS);
    accepts.then_some(spec)
}

/// Returns the tenant with a name if its rate is limited.
pub(crate) fn limited_tenant<'a>(table: &'a RouteTable, name: &str) -> Option<&'a TenantSpec> {
    let tenant = table.tenants.as_ref()?.by_name(name)?;
    tenant.is_limited().then_some(&**tenant)
}

/// Returns the rank of this node as an owner of a tenant.
pub(crate) fn own_rank(peers: &Peers, name: &str) -> OwnerRank {
    let ranked = peers.ranked_nodes(name, 2);
    let own = ranked.iter().position(|node| node.name == peers.own().name);
    match own {
        Some(0) => OwnerRank::First,
        Some(_) => OwnerRank::Backup,
        None => OwnerRank::Other,
    }
}

fn is_ranked(peers: &Peers, name: &str, ranks: usize) -> bool {
    let ranked = peers.ranked_nodes(name, ranks);
    ranked.iter().any(|node| node.name == peers.own().name)
}
