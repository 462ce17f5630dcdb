use std::net::SocketAddr;
use std::sync::Arc;

use crate::Peers;
use crate::rendezvous::hash_name;

/// Finds the coordinator of a service's rollout.
impl Peers {
    /// Returns the nodes that may coordinate the rollouts of a service, the first choice first,
    /// each with its address; `None` for this node. Nodes that did not answer recently are left
    /// out.
    ///
    /// Nodes that know the same nodes make the same choice, whatever the nodes' shares of a core.
    #[must_use]
    pub fn peers_coordinators(
        &self,
        now_us: u64,
        service: &str,
    ) -> Vec<(Arc<str>, Option<SocketAddr>)> {
        let others = self.others.iter();
        let others = others.map(|(name, address)| (name.clone(), Some(*address)));
        let usable = others.filter(|(name, _)| self.coordinator_backoffs.is_usable(now_us, name));
        let own = (self.own().name.clone(), None);
        let mut nodes: Vec<_> = usable.chain([own]).collect();
        nodes.sort_by_cached_key(|(name, _)| hash_name(&format!("{service} {name}")));
        nodes
    }

    /// Records whether a node answered as the coordinator of a rollout.
    pub fn record_coordinator(&mut self, now_us: u64, name: &Arc<str>, answered: bool) {
        if answered {
            self.coordinator_backoffs.clear(name);
        } else {
            self.coordinator_backoffs.record_failure(now_us, name);
        }
    }
}
