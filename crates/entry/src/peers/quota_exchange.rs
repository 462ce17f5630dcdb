//! Reports requests of tenants to their owners, and announces limited tenants to all nodes.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::task;
use tokio::time;

use wigeonhall_dispatch::PeerNode;
use wigeonhall_dispatch::QuotaMessage;
use wigeonhall_dispatch::QuotaNode;
use wigeonhall_dispatch::QuotaOwner;
use wigeonhall_dispatch::QuotaReply;
use wigeonhall_dispatch::Tenants;

use crate::peers::quota_client;
use crate::peers::quota_server;
use crate::process::event::Event;
use crate::process::node_state::NodeState;

/// Timeout for the reply to a report or an announcement.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum number of nodes that are told of an owner that does not reply.
const SUSPICION_NODES_MAX: usize = 300;

/// Time for which reports and changes are collected before they are sent.
const COLLECTION_TIME: Duration = Duration::from_millis(2);

/// Interval between checks while reports are pending or tenants are limited.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Sends reports and announcements until the process ends. It sleeps while there is nothing to
/// send, as always where no tenant has a rate.
pub(crate) async fn run(shared: Rc<NodeState>) {
    let due = &shared.quotas.due;
    let mut refresh_at_us = 0;
    let mut adopted = None;
    loop {
        let now_us = shared.clock.now_us();
        adopt(&shared, now_us, &mut adopted);
        let owns = is_owner_active(&shared, now_us);
        if owns {
            if now_us >= refresh_at_us {
                refresh_at_us = now_us + CHECK_INTERVAL.as_micros() as u64;
                refresh(&shared, now_us);
            }
            announce(&shared, now_us);
        }
        announce_suspicion(&shared, now_us);
        send_syncs(&shared);
        send_reports(&shared, now_us);
        if owns || shared.quotas.view.borrow().has_reports() {
            drop(time::timeout(CHECK_INTERVAL, due.notified()).await);
        } else {
            due.notified().await;
        }
        time::sleep(COLLECTION_TIME).await;
    }
}

/// Wakes the task after a change of the nodes or the configuration, if any tenant has a rate.
pub(crate) fn notify_change(shared: &NodeState) {
    let table = shared.table.borrow();
    let tenants = table.as_ref().and_then(|table| table.tenants.as_ref());
    if tenants.is_some_and(|tenants| tenants.iter().any(|it| it.is_limited())) {
        shared.quotas.due.notify_one();
    }
}

/// Creates the buckets of this node's tenants if the list of nodes or the configuration is not the
/// one for which that was done.
fn adopt(shared: &NodeState, now_us: u64, adopted: &mut Option<(u64, u64)>) {
    let Some(table) = shared.table.borrow().clone() else {
        return;
    };
    let peers = shared.peers.borrow();
    let current = Some((peers.generation(), table.version));
    if *adopted != current {
        *adopted = current;
        let specs = table.tenants.iter().flat_map(Tenants::iter);
        let mut owner = shared.quotas.owner.borrow_mut();
        owner.adopt(now_us, &peers, specs.map(|spec| &**spec));
    }
}

/// Whether this node, as an owner, has limited tenants, or tenants while nodes may be cut off.
fn is_owner_active(shared: &NodeState, now_us: u64) -> bool {
    let owner = shared.quotas.owner.borrow();
    let suspicious = shared.quotas.view.borrow().may_be_partitioned(now_us);
    owner.has_limited_tenants() || (suspicious && owner.has_tenants())
}

fn send_reports(shared: &Rc<NodeState>, now_us: u64) {
    let mut view = shared.quotas.view.borrow_mut();
    let owners = view.due_reports(now_us, &shared.peers.borrow());
    drop(view);
    for owner in owners {
        send_report(shared, owner);
    }
}

/// Asks the other owners of this node's tenants for their tokens, where this node's bucket is new.
fn send_syncs(shared: &Rc<NodeState>) {
    let mut owner = shared.quotas.owner.borrow_mut();
    let syncs = owner.take_syncs(&shared.peers.borrow());
    for (node, message) in syncs {
        let shared = shared.clone();
        task::spawn_local(async move {
            let reply = quota_client::send(&shared, node.address, &message, MESSAGE_TIMEOUT).await;
            let now_us = shared.clock.now_us();
            match reply {
                Some(reply) => shared.quotas.owner.borrow_mut().sync(now_us, &reply),
                None => log::debug!("node {} did not state its tokens", node.name),
            }
        });
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
    let mut view = shared.quotas.view.borrow_mut();
    QuotaMessage {
        from: shared.settings.node_name.clone(),
        reports: view.take_reports(now_us, owner),
        ..QuotaMessage::default()
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
    if view.record_failure(now_us, owner, message) {
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
    let suspicious = shared.quotas.view.borrow().may_be_partitioned(now_us);
    let mut owner = shared.quotas.owner.borrow_mut();
    owner.refresh(now_us, &shared.peers.borrow(), suspicious, |name| {
        quota_server::limited_tenant(table.as_deref()?, name)
    });
    drop(owner);
    log_changes(shared);
}

/// Announces the limited tenants of this node to all nodes, if that is due.
fn announce(shared: &Rc<NodeState>, now_us: u64) {
    let peers = shared.peers.borrow();
    let mut view = shared.quotas.view.borrow_mut();
    let mut owner = shared.quotas.owner.borrow_mut();
    let limited = owner.announcements(now_us, &peers, |name| view.is_announced(now_us, name));
    if limited.is_empty() {
        return;
    }
    view.mark_limited(now_us, &limited);
    let message = Rc::new(QuotaMessage {
        from: shared.settings.node_name.clone(),
        limited,
        ..QuotaMessage::default()
    });
    for node in peers.all_nodes() {
        announce_to(shared, node, &message);
    }
}

/// Tells other nodes that an owner did not reply, if that is due.
fn announce_suspicion(shared: &Rc<NodeState>, now_us: u64) {
    if !shared.quotas.view.borrow_mut().take_suspicion(now_us) {
        return;
    }
    let message = Rc::new(QuotaMessage {
        from: shared.settings.node_name.clone(),
        suspicious: true,
        ..QuotaMessage::default()
    });
    let peers = shared.peers.borrow();
    for node in fastrand::choose_multiple(peers.all_nodes(), SUSPICION_NODES_MAX) {
        announce_to(shared, node, &message);
    }
}

/// Sends an announcement to another node in the background.
fn announce_to(shared: &Rc<NodeState>, node: &PeerNode, message: &Rc<QuotaMessage>) {
    if is_own(shared, &node.name) {
        return;
    }
    let (shared, message) = (shared.clone(), message.clone());
    let (name, address) = (node.name.clone(), node.address);
    let sending = Duration::from_micros(QuotaOwner::announcement_us(&shared.peers.borrow()));
    let timeout = MESSAGE_TIMEOUT + sending;
    task::spawn_local(async move {
        let reply = quota_client::send(&shared, address, &message, timeout).await;
        let mut owner = shared.quotas.owner.borrow_mut();
        if reply.is_some() {
            owner.acknowledge(shared.clock.now_us(), &name, &message.limited);
        } else {
            log::debug!("node {name} did not reply to an announcement");
            owner.remove_acknowledgement(&name, &message.limited);
        }
    });
}

/// Logs the changes of the tenants that this node owns, and starts announcements.
pub(crate) fn log_changes(shared: &NodeState) {
    let mut owner = shared.quotas.owner.borrow_mut();
    if owner.has_syncs() {
        shared.quotas.due.notify_one();
    }
    let changes = owner.take_changes();
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
