use wigeonhall_dispatch::RouteTable;

use crate::process::node_state::NodeState;

/// Updates the number of nodes that send to each service, and this node's share of their requests,
/// after a change of routes or nodes.
pub(crate) fn update(shared: &NodeState) {
    let Some(table) = shared.table.borrow().clone() else {
        return;
    };
    if !*shared.feed.nodes_listed.borrow() {
        return;
    }
    update_senders(shared, &table);
    update_own_shares(shared, &table);
}

fn update_senders(shared: &NodeState, table: &RouteTable) {
    let peers = shared.peers.borrow();
    let mut pool = shared.pool.borrow_mut();
    let senders = table.senders_by_service(peers.total_nodes(), |route| {
        peers.senders(pool.gather_size(route))
    });
    for (service, count) in senders {
        pool.set_senders(service, count);
    }
}

fn update_own_shares(shared: &NodeState, table: &RouteTable) {
    let now_us = shared.clock.now_us();
    let peers = shared.peers.borrow();
    let mut pool = shared.pool.borrow_mut();
    let by_service = table.sender_shares_by_service(peers.total_nodes(), |route| {
        peers.sender_shares(now_us, pool.gather_size(route))
    });
    for (service, share) in by_service {
        pool.set_sender_share(service, share);
    }
}
