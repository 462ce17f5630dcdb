//! Initial state of a world, the simulation of nodes with fake targets and callers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use fastrand::Rng;

use crate::RunResult;
use crate::World;
use crate::event_queue::EventQueue;
use crate::fake_target::FakeTarget;
use crate::load;
use crate::network::Network;
use crate::session::SessionState;
use crate::shards;
use crate::world::Event;
use crate::world::SimNode;
use wigeonhall_gate::Gate;
use wigeonhall_gate::GateEvent;
use wigeonhall_query::Coordinator;
use wigeonhall_query::CoordinatorConfig;
use wigeonhall_query::QueryEvent;
use wigeonhall_types::Deployment;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::NodeKey;
use wigeonhall_types::OwnershipTable;

impl World {
    /// Creates a world at time zero, in which all targets are warm and each replica is owned
    /// by a node of its data centre.
    #[must_use]
    pub fn new(deployment: Deployment, network: Network, seed: u64) -> Self {
        let mut world = Self::empty(deployment, network, seed);
        world.add_targets();
        world.add_nodes(seed);
        world
    }

    /// Creates a world that runs a session.
    pub(crate) fn with_session(
        deployment: Deployment,
        network: Network,
        seed: u64,
        state: SessionState,
    ) -> Self {
        let mut world = Self::empty(deployment, network, seed);
        world.session = Some(Box::new(state));
        world.add_targets();
        world.add_nodes(seed);
        world
    }

    fn empty(deployment: Deployment, network: Network, seed: u64) -> Self {
        let deployment = Arc::new(deployment);
        Self {
            arrivals: load::arrivals_rng(seed),
            deployment: Arc::clone(&deployment),
            events: EventQueue::default(),
            at_targets: HashMap::new(),
            lost: BTreeSet::new(),
            network,
            next_instance: 1,
            next_query: 1,
            nodes: BTreeMap::new(),
            open_queries: HashMap::new(),
            out_since_us: BTreeMap::new(),
            rates: BTreeMap::new(),
            result: RunResult::default(),
            rng: Rng::with_seed(seed),
            session: None,
            measure_from_us: 0,
            targets: BTreeMap::new(),
            trace: None,
            version: IndexVersion(10),
        }
    }

    pub(crate) fn add_targets(&mut self) {
        let deployment = Arc::clone(&self.deployment);
        for (&service, spec) in &deployment.services {
            let (index, count) = shard_position(&deployment, service);
            for &replica in &spec.replicas {
                let served = shards::served(index, count, self.version);
                let limits = deployment.replicas[&replica];
                let target = FakeTarget::new(limits, self.next_instance, served);
                self.next_instance += 1;
                self.targets.insert(replica, target);
            }
        }
    }

    pub(crate) fn add_nodes(&mut self, seed: u64) {
        let deployment = Arc::clone(&self.deployment);
        for (&key, vm) in &deployment.vms {
            let config = CoordinatorConfig {
                boot: u64::from(key.0) + 1,
                data_centre: vm.data_centre,
                node: key,
            };
            // The coordinator mixes the boot id into the seed, so the nodes of a session get
            // different random streams.
            let node_seed = if self.session.is_some() {
                seed
            } else {
                node_seed(seed, key)
            };
            let node = SimNode {
                coordinator: Coordinator::new(config, node_seed),
                data_centre: vm.data_centre,
                gate: Gate::new(),
                submitters: HashMap::new(),
                planned_wake_us: None,
            };
            self.nodes.insert(key, node);
            self.events
                .push(0, Event::Deployment(key, Arc::clone(&deployment)));
            if self.session.is_some() {
                self.events.push(0, Event::LeaseRequest(key));
            } else {
                let lease = GateEvent::LeaseUntil(u64::MAX);
                self.events.push(0, Event::Gate(key, lease));
            }
        }
        for table in initial_ownership(&deployment) {
            self.record_initial_table(&table);
            for (&replica, &node) in &table.owners {
                let grant = GateEvent::Grant {
                    epoch: table.epoch,
                    replica,
                    state: Some(self.initial_state(replica)),
                };
                self.events.push(0, Event::Gate(node, grant));
            }
            let table = Arc::new(table);
            for &node in self.nodes.keys() {
                let owners = QueryEvent::Owners(Arc::clone(&table));
                self.events.push(0, Event::Query(node, owners));
            }
        }
    }
}

/// Returns the seed of a node's random choices in a measured run.
///
/// Seeds that differ only in a few low bits could, once mixed with the boot ids, give nodes
/// of two runs the same random stream.
fn node_seed(seed: u64, node: NodeKey) -> u64 {
    Rng::with_seed((seed << 32) | u64::from(node.0)).u64(..)
}

/// Returns the index of a service among the shards of the first class that depends on it,
/// and the number of these shards.
pub(crate) fn shard_position(
    deployment: &Deployment,
    service: wigeonhall_types::ServiceKey,
) -> (usize, usize) {
    for class in deployment.classes.values() {
        if let Ok(index) = class.depends_on.binary_search(&service) {
            return (index, class.depends_on.len());
        }
    }
    (0, 1)
}

/// Returns one table per data centre, which spreads its replicas evenly over its nodes.
pub(crate) fn initial_ownership(deployment: &Deployment) -> Vec<OwnershipTable> {
    let tables = deployment.data_centres.keys().map(|&data_centre| {
        let vms = deployment.vms.iter();
        let members: Vec<NodeKey> = vms
            .filter(|(_, vm)| vm.data_centre == data_centre)
            .map(|(&key, _)| key)
            .collect();
        let replicas = deployment.replicas.iter();
        let local_replicas = replicas.filter(|(_, it)| it.data_centre == data_centre);
        let owners = local_replicas
            .enumerate()
            .filter_map(|(index, (&key, _))| {
                let owner = members.get(index % members.len().max(1))?;
                Some((key, *owner))
            })
            .collect();
        OwnershipTable {
            data_centre,
            epoch: 1,
            members,
            owners,
        }
    });
    tables.collect()
}
