//! Opens connections to replicas before the first request needs them.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use tokio::task;
use tokio::time;

use wigeonhall_dispatch::ReplicaKey;
use wigeonhall_dispatch::Route;
use wigeonhall_dispatch::ServiceKey;

use crate::process::node_state::NodeState;
use crate::replicas::replica_client;

/// Window over which connection attempts are spread at random.
const SPREAD_MS: u64 = 1_500;

/// Opens connections to those of the `new` replicas that this node is likely to send to.
pub(crate) fn to_replicas(shared: &Rc<NodeState>, new: &[ReplicaKey]) {
    if new.is_empty() {
        return;
    }
    let services = services(shared);
    let now_us = shared.clock.now_us();
    let chosen = shared
        .pool
        .borrow_mut()
        .preconnect_candidates(now_us, new, &services);
    for key in chosen {
        open(shared, key);
    }
}

/// Opens a connection for each service that this node sends to and has no connection for,
/// after a change of routes or nodes.
pub(crate) fn to_services(shared: &Rc<NodeState>) {
    let now_us = shared.clock.now_us();
    for service in services(shared) {
        let chosen = shared.pool.borrow_mut().choose(now_us, service, &[]);
        if let Some(key) = chosen.filter(|key| !shared.idle_connections.borrow().contains(*key)) {
            open(shared, key);
        }
    }
}

/// Returns the services that this node sends to: of a shared gather, whose legs (requests to one
/// shard each) are divided among nodes, only those of the legs that are assigned to this node.
fn services(shared: &NodeState) -> BTreeSet<ServiceKey> {
    let table = shared.table.borrow().clone();
    let wanted = shared.pool.borrow().policy().preconnects;
    let Some(table) = table.filter(|_| wanted) else {
        return BTreeSet::new();
    };
    let peers = shared.peers.borrow();
    let now_us = shared.clock.now_us();
    let pool = shared.pool.borrow();
    let own_legs = |route: &Route| peers.own_legs(now_us, pool.gather_size(route));
    if *shared.feed.nodes_listed.borrow() {
        table.services(own_legs)
    } else {
        // The legs that are assigned to this node aren't known yet.
        table.services(|_| Vec::new())
    }
}

fn open(shared: &Rc<NodeState>, key: ReplicaKey) {
    let shared = shared.clone();
    task::spawn_local(async move {
        let delay_ms = fastrand::u64(0..SPREAD_MS);
        time::sleep(Duration::from_millis(delay_ms)).await;
        if !shared.idle_connections.borrow().contains(key) {
            replica_client::preconnect(&shared, key).await;
        }
    });
}
