//! Checks after every event.

use std::sync::Arc;

use wigeonhall_fleet::NotReadyReason;
use wigeonhall_types::Deployment;

use super::Simulation;

impl Simulation {
    /// Overrides that this node has shown must last until a configuration has them.
    pub(super) fn check_orders(&mut self, node: usize, deployment: &Deployment) {
        let it = &mut self.nodes[node];
        for (id, vm, contained) in &self.orders {
            let ended = contained.is_some_and(|it| it <= deployment.generation);
            // With two overrides of one VM nobody can see which of them took it out.
            let others = self.orders.iter().filter(|it| it.1 == *vm && it.0 != *id);
            let alone = others
                .filter(|it| it.2.is_none_or(|it| it > deployment.generation))
                .count()
                == 0;
            let key = it.catalog.find_node(vm);
            let out = key.is_some_and(|it| deployment.vms[&it].out);
            if ended {
                it.orders.remove(id);
            } else if out && alone {
                it.orders.insert(Arc::clone(id));
            }
            assert!(
                ended || out || !it.orders.contains(id),
                "override {id} disappeared"
            );
        }
    }

    pub(super) fn check_floor(&mut self, node: usize) {
        let it = &mut self.nodes[node];
        if it
            .ready
            .is_some_and(|it| it != Some(NotReadyReason::ConfigurationUnknown))
        {
            let generation = it.generation();
            assert!(
                generation >= it.floor,
                "{}: ready with an old generation",
                it.name
            );
            it.floor = generation;
        }
    }

    /// Nobody else may hold a valid lease and a grant for what this node holds.
    pub(super) fn check(&self, node: usize) {
        if !self.leased(node) {
            return;
        }
        for replica in &self.nodes[node].grants {
            let holders = self.holders(replica);
            assert!(
                holders.len() < 2,
                "{replica} held by {holders:?} at {}",
                self.now
            );
        }
    }
}
