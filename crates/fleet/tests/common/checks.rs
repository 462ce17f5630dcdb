//! Invariants that are checked after every event.

use std::sync::Arc;

use wigeonhall_fleet::NotReadyReason;
use wigeonhall_types::Deployment;

use super::Simulation;

impl Simulation {
    /// Checks that an override, once this node has applied it, lasts until a configuration
    /// contains it.
    pub(super) fn check_overrides(&mut self, node: usize, deployment: &Deployment) {
        let it = &mut self.nodes[node];
        for (id, vm, contained) in &self.overrides {
            let ended = contained.is_some_and(|it| it <= deployment.generation);
            // With two overrides of one VM, the deployment does not tell which of them took it
            // out of service.
            let others = self
                .overrides
                .iter()
                .filter(|it| it.1 == *vm && it.0 != *id);
            let alone = others
                .filter(|it| it.2.is_none_or(|it| it > deployment.generation))
                .count()
                == 0;
            let key = it.catalog.find_node(vm);
            let out = key.is_some_and(|it| deployment.vms[&it].out);
            if ended {
                it.shown_overrides.remove(id);
            } else if out && alone {
                it.shown_overrides.insert(Arc::clone(id));
            }
            assert!(
                ended || out || !it.shown_overrides.contains(id),
                "override {id} disappeared"
            );
        }
    }

    /// Checks that a ready node has a generation that is not older than any it was ready
    /// with.
    pub(super) fn check_ready_generation(&mut self, node: usize) {
        let it = &mut self.nodes[node];
        if it
            .ready
            .is_some_and(|it| it != Some(NotReadyReason::ConfigurationUnknown))
        {
            let generation = it.generation();
            assert!(
                generation >= it.min_ready_generation,
                "{}: ready with an old generation",
                it.name
            );
            it.min_ready_generation = generation;
        }
    }

    /// Checks that no other node has a valid lease and a grant for a replica that this node
    /// holds.
    pub(super) fn check_single_owner(&self, node: usize) {
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
