//! Applies the faults of a scenario to a world.

use std::sync::Arc;

use crate::World;
use crate::scenario::Fault;
use crate::world::Event;
use wigeonhall_types::DataCentreKey;
use wigeonhall_types::Deployment;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::NodeKey;
use wigeonhall_types::ReplicaKey;

/// Time within which a changed deployment reaches every node.
const CONFIG_PROPAGATION_US: u64 = 1_000_000;

/// Time within which a new index version reaches every target.
const VERSION_ROLL_US: u64 = 1_000_000;

/// Time from the crash of a target to its restart.
const RESTART_DELAY_US: u64 = 1_000_000;

impl World {
    pub(crate) fn apply_fault(&mut self, now_us: u64, fault: Fault) {
        match fault {
            Fault::DataCentreOut(data_centre) => self.set_out(now_us, data_centre, true),
            Fault::DataCentreIn(data_centre) => self.set_out(now_us, data_centre, false),
            Fault::NodeLost(node) => self.lose_node(now_us, node),
            Fault::NodeReplaced(node) => self.replace_node(now_us, node),
            Fault::TargetLost(replica) => self.crash(now_us, replica),
            Fault::TargetRestart(replica) => {
                self.crash(now_us, replica);
                self.events
                    .push(now_us + RESTART_DELAY_US, Event::Restart(replica));
            }
            Fault::TargetSlow(replica, factor) => self.target(replica).slowness = factor,
            Fault::VersionRoll => {
                self.version = IndexVersion(self.version.0 + 1);
                let replicas: Vec<ReplicaKey> = self.targets.keys().copied().collect();
                for replica in replicas {
                    let at_us = now_us + self.rng.u64(..VERSION_ROLL_US);
                    self.events
                        .push(at_us, Event::RollTarget(replica, self.version));
                }
            }
        }
    }

    pub(crate) fn set_out(&mut self, now_us: u64, data_centre: DataCentreKey, out: bool) {
        let mut deployment = Deployment::clone(&self.deployment);
        deployment.generation += 1;
        if let Some(it) = deployment.data_centres.get_mut(&data_centre) {
            it.out = out;
        }
        self.deployment = Arc::new(deployment);
        if out {
            self.out_since_us.insert(data_centre, now_us);
        } else {
            self.out_since_us.remove(&data_centre);
        }
        let nodes: Vec<NodeKey> = self.nodes.keys().copied().collect();
        for node in nodes {
            let at_us = now_us + self.rng.u64(..CONFIG_PROPAGATION_US);
            let deployment = Arc::clone(&self.deployment);
            self.events.push(at_us, Event::Deployment(node, deployment));
        }
    }
}
