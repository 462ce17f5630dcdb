use crate::process::node_state::NodeState;

/// Updates the number of nodes that send to each service, after a change of routes or nodes.
pub(crate) fn update(shared: &NodeState) {
    let Some(table) = shared.table.borrow().clone() else {
        return;
    };
    if !*shared.feed.nodes_listed.borrow() {
        return;
    }
    let peers = shared.peers.borrow();
    let mut pool = shared.pool.borrow_mut();
    let senders = table.senders_by_service(peers.total_nodes(), |route| {
        peers.senders(pool.gather_size(route))
    });
    for (service, count) in senders {
        pool.set_senders(service, count);
    }
}
