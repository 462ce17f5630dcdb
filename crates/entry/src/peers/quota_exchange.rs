//! Reports requests of tenants to their owners, and announces limited tenants to all nodes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::task;
use tokio::time;

use wigeonhall_dispatch::QuotaMessage;
use wigeonhall_dispatch::QuotaNode;
use wigeonhall_dispatch::QuotaReply;

use crate::peers::quota_client;
use crate::peers::quota_server;
use crate::process::event::Event;
use crate::process::node_state::NodeState;

/// Timeout for the reply to a report or an announcement.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which reports and changes are collected before they are sent.
const COLLECTION_TIME: Duration = Duration::from_millis(2);

/// Interval between checks while reports are pending or tenants are limited.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Sends reports and announcements until the process ends. It sleeps while there is nothing to send,
/// as always where no tenant has a rate.
pub(crate) async fn run(shared: Rc<NodeState>) {
    let due = &shared.quotas.due;
    let mut refresh_at_us = 0;
    loop {
        let now_us = shared.clock.now_us();
        let limited = shared.quotas.owner.borrow().has_limited_tenants();
        if limited && now_us >= refresh_at_us {
            refresh_at_us = now_us + CHECK_INTERVAL.as_micros() as u64;
            refresh(&shared, now_us);
        }
        if limited {
            announce(&shared, now_us);
        }
        send_reports(&shared, now_us);
        if limited || shared.quotas.view.borrow().has_reports() {
            drop(time::timeout(CHECK_INTERVAL, due.notified()).await);
        } else {
            due.notified().await;
        }
        time::sleep(COLLECTION_TIME).await;
    }
}

fn send_reports(shared: &Rc<NodeState>, now_us: u64) {
    let owners = shared.quotas.view.borrow_mut().due_reports(now_us);
    for owner in owners {
        send_report(shared, owner);
    }
}

/// Sends a report, or applies it if this node is the owner.
fn send_report(shared: &Rc<NodeState>, owner: QuotaNode) {
    let message = message_to(shared, &owner.name);
    if is_own(shared, &owner.name) {
        let reply = quota_server::apply(shared, &message);
        apply_reply(shared, &owner, &reply);
        return;
    }
    let shared = shared.clone();
    task::spawn_local(async move {
        let reply = quota_client::send(&shared, owner.address, &message, MESSAGE_TIMEOUT).await;
        match reply {
            Some(reply) => apply_reply(&shared, &owner, &reply),
            None => record_failure(&shared, &owner, &message),
        }
    });
}

/// Returns a message with all that an owner must be told.
pub(crate) fn message_to(shared: &NodeState, owner: &Arc<str>) -> QuotaMessage {
    let now_us = shared.clock.now_us();
    QuotaMessage {
        ask: None,
        from: shared.settings.node_name.clone(),
        limited: Vec::new(),
        reports: shared.quotas.view.borrow_mut().take_reports(now_us, owner),
    }
}

pub(crate) fn is_own(shared: &NodeState, name: &Arc<str>) -> bool {
    *name == shared.settings.node_name
}

/// Applies a reply, and logs an owner that replies again after it did not.
pub(crate) fn apply_reply(shared: &NodeState, owner: &QuotaNode, reply: &QuotaReply) {
    let now_us = shared.clock.now_us();
    let mut view = shared.quotas.view.borrow_mut();
    if view.apply_reply(now_us, &owner.name, reply) {
        log_owner(shared, owner, "reachable");
    }
}

/// Records that an owner did not reply, and logs it the first time.
pub(crate) fn record_failure(shared: &NodeState, owner: &QuotaNode, message: &QuotaMessage) {
    let now_us = shared.clock.now_us();
    let mut view = shared.quotas.view.borrow_mut();
    if view.record_failure(now_us, owner, &message.reports) {
        log_owner(shared, owner, "unreachable");
    }
    shared.quotas.due.notify_one();
}

fn log_owner(shared: &NodeState, owner: &QuotaNode, state: &str) {
    shared.log(&Event::QuotaOwner {
        owner: &owner.name,
        state,
    });
}

/// Updates the limited states of this node's tenants.
fn refresh(shared: &NodeState, now_us: u64) {
    let table = shared.table.borrow().clone();
    let peers = shared.peers.borrow();
    let own = &peers.own().name;
    let others = peers.all_nodes().iter().map(|node| &node.name);
    let others: Vec<Arc<str>> = others.filter(|name| *name != own).cloned().collect();
    let mut owner = shared.quotas.owner.borrow_mut();
    owner.refresh(now_us, &others, |name| {
        quota_server::limited_tenant(table.as_deref()?, name)
    });
    drop(owner);
    log_changes(shared);
}

/// Announces the limited tenants of this node to all nodes, if that is due.
fn announce(shared: &Rc<NodeState>, now_us: u64) {
    let peers = shared.peers.borrow();
    let view = shared.quotas.view.borrow();
    let limited = shared.quotas.owner.borrow_mut().announcements(
        now_us,
        |name| quota_server::own_rank(&peers, name),
        |name| view.is_announced(now_us, name),
    );
    drop(view);
    if limited.is_empty() {
        return;
    }
    let mut view = shared.quotas.view.borrow_mut();
    view.mark_limited(now_us, &limited);
    let message = Rc::new(QuotaMessage {
        ask: None,
        from: shared.settings.node_name.clone(),
        limited,
        reports: Vec::new(),
    });
    for node in peers.all_nodes() {
        if !is_own(shared, &node.name) {
            let node = (node.name.clone(), node.address);
            task::spawn_local(announce_to(shared.clone(), node, message.clone()));
        }
    }
}

async fn announce_to(
    shared: Rc<NodeState>,
    (name, address): (Arc<str>, SocketAddr),
    message: Rc<QuotaMessage>,
) {
    let reply = quota_client::send(&shared, address, &message, MESSAGE_TIMEOUT).await;
    if reply.is_none() {
        log::debug!("node {name} could not be told of limited tenants");
        return;
    }
    let now_us = shared.clock.now_us();
    let mut owner = shared.quotas.owner.borrow_mut();
    owner.acknowledge(now_us, &name, &message.limited);
}

/// Logs the changes of the tenants that this node owns, and starts announcements.
pub(crate) fn log_changes(shared: &NodeState) {
    let changes = shared.quotas.owner.borrow_mut().take_changes();
    for change in changes {
        shared.log(&Event::Quota {
            demand_per_s: change.demand_per_s,
            reserved_percent: (change.reserved_share * 100.0).round() as u32,
            state: if change.limited {
                "limited"
            } else {
                "unlimited"
            },
            tenant: &change.tenant,
            tokens: change.tokens,
        });
        shared.quotas.due.notify_one();
    }
}
