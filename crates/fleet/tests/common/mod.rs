//! Simulates nodes, a store and a network in virtual time, with seeded message loss and
//! delay. Times are in microseconds.

#![allow(dead_code, reason = "each test file uses its own part")]
#![allow(missing_docs, reason = "a harness of tests")]
#![allow(
    clippy::cast_lossless,
    clippy::option_option,
    reason = "short code in tests"
)]

mod actions;
mod checks;
mod event_loop;
mod node;
mod store;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use wigeonhall_fleet::ConfigManifest;
use wigeonhall_fleet::ConfigRecord;
use wigeonhall_fleet::EvacuationOverride;
use wigeonhall_fleet::Fleet;
use wigeonhall_fleet::FleetEvent;
use wigeonhall_fleet::FleetSettings;
use wigeonhall_fleet::PartHash;
use wigeonhall_fleet::PushTopology;
use wigeonhall_types::ColdBound;
use wigeonhall_types::DataCentre;
use wigeonhall_types::Deployment;
use wigeonhall_types::NameCatalog;
use wigeonhall_types::Replica;
use wigeonhall_types::Vm;
use wigeonhall_types::VmState;

pub use node::Node;
pub use store::Store;

/// Microseconds in a millisecond.
pub const MS: u64 = 1000;
/// Microseconds in a second.
pub const SECOND: u64 = 1_000_000;
/// Largest allowed message between nodes: 64 KiB of parts and their lengths.
const MESSAGE_BYTES: usize = 65_536 + 64 * 8 + 64;

type Task = Box<dyn FnOnce(&mut Simulation)>;

pub struct Simulation {
    /// Processor time spent in the decision logic of all nodes.
    pub cpu_time: Duration,
    pub bytes: u64,
    /// Bytes of messages that carry or request a configuration.
    pub config_bytes: u64,
    /// Probability in percent that a part arrives corrupted.
    pub corrupt_percent: u8,
    /// Nodes that cannot reach the store.
    pub store_unreachable_from: BTreeSet<usize>,
    /// Region and name of each data centre.
    pub data_centres: Vec<(&'static str, String)>,
    /// Partition of each node; messages between partitions are lost.
    pub partition: Vec<u8>,
    /// Nodes with a grant, by replica.
    holders: BTreeMap<Arc<str>, BTreeSet<usize>>,
    /// Whether the store delivers the new parts of a text together with its manifest.
    pub parts_inline: bool,
    /// Probability in percent that a message or reply is delayed by seconds, and that a
    /// message is duplicated.
    pub late_percent: u8,
    /// Probability in percent that a message is lost.
    pub loss_percent: u8,
    pub messages: u64,
    pub nodes: Vec<Node>,
    /// Overrides of VMs: id, VM and the generation that contains the id.
    pub overrides: Vec<(Arc<str>, Arc<str>, Option<u64>)>,
    pub now: u64,
    /// Number of store reads of parts.
    pub part_reads: u64,
    /// Time and id of each scheduled task.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    replicas_per_dc: usize,
    pub rng: fastrand::Rng,
    /// Id of the latest task.
    sequence: u64,
    pub topology: PushTopology,
    pub store: Store,
    /// Scheduled tasks by id.
    tasks: BTreeMap<u64, Task>,
    /// The platform's VM list.
    pub vms: BTreeMap<Arc<str>, VmState>,
}

impl Simulation {
    /// Creates a fleet that is not started; `data_centres` names the region and the data
    /// centre, and nodes are assigned to them in turn. Each data centre has `replicas` replicas.
    pub fn new(
        data_centres: &[(&'static str, &str)],
        count: usize,
        replicas: usize,
        seed: u64,
    ) -> Self {
        let mut sim = Self {
            cpu_time: Duration::ZERO,
            bytes: 0,
            config_bytes: 0,
            corrupt_percent: 0,
            store_unreachable_from: BTreeSet::new(),
            data_centres: data_centres
                .iter()
                .map(|it| (it.0, it.1.to_owned()))
                .collect(),
            partition: vec![0; count],
            holders: BTreeMap::new(),
            parts_inline: false,
            late_percent: 0,
            loss_percent: 0,
            messages: 0,
            nodes: Vec::new(),
            overrides: Vec::new(),
            now: 0,
            part_reads: 0,
            queue: BinaryHeap::new(),
            replicas_per_dc: replicas,
            rng: fastrand::Rng::with_seed(seed),
            sequence: 0,
            topology: PushTopology::default(),
            store: Store::default(),
            tasks: BTreeMap::new(),
            vms: BTreeMap::new(),
        };
        for index in 0..count {
            let name = Arc::<str>::from(format!("vm-{index:03}"));
            sim.vms.insert(Arc::clone(&name), VmState::Live);
            let clock = (sim.rng.i64(-20_000..20_000), sim.rng.u64(1..1000 * SECOND));
            sim.nodes.push(Node {
                boot: 0,
                catalog: NameCatalog::default(),
                clock,
                data_centre: index % data_centres.len(),
                fleet: None,
                min_ready_generation: 0,
                grants: BTreeSet::new(),
                in_force: None,
                lease_until: 0,
                lost_nodes: Vec::new(),
                shown_overrides: BTreeSet::new(),
                name,
                paused_until: 0,
                ready: None,
                stopped: false,
                tables: BTreeMap::new(),
                wake_at: 0,
            });
        }
        sim
    }

    /// Creates a fleet of 3 data centres with 20 replicas each and an empty configuration text,
    /// starts it and lets it settle for 15 s.
    pub fn settled(count: usize, seed: u64) -> Self {
        let mut sim = Self::new(
            &[("south", "dc-a"), ("south", "dc-b"), ("south", "dc-c")],
            count,
            20,
            seed,
        );
        sim.apply("", &[]);
        (0..count).for_each(|it| sim.start(it));
        sim.run(15 * SECOND);
        sim
    }

    /// Starts a node with a new boot id and no state.
    pub fn start(&mut self, node: usize) {
        let dc = self.data_centres[self.nodes[node].data_centre].clone();
        let seeds = [0, 1, 2].map(|it| Arc::clone(&self.nodes[it % self.nodes.len()].name));
        let (boot, seed) = (self.rng.u64(1..), self.rng.u64(..));
        let it = &mut self.nodes[node];
        // Makes the keys of the same names differ between nodes.
        it.catalog = NameCatalog::default();
        it.catalog.node(&format!("pad-{}", boot % 7));
        it.boot = boot;
        it.in_force = None;
        it.lease_until = 0;
        it.lost_nodes.clear();
        it.shown_overrides.clear();
        it.ready = None;
        it.stopped = false;
        it.tables.clear();
        it.wake_at = 0;
        it.paused_until = 0;
        let config = FleetSettings {
            boot,
            data_centre: it.catalog.data_centre(&dc.1),
            node: it.catalog.node(&it.name),
            seeds: seeds.iter().map(|name| it.catalog.node(name)).collect(),
            region: dc.0.into(),
        };
        let mut fleet = Fleet::new(config, seed);
        fleet.set_push_topology(self.topology);
        it.fleet = Some(fleet);
        self.handle(node, boot, |_| FleetEvent::Tick);
    }

    /// Stops a node without notice; its state is lost.
    pub fn crash(&mut self, node: usize) {
        let generation = self.nodes[node].min_ready_generation;
        let nodes_with_it = self.nodes.iter().filter(|it| it.fleet.is_some());
        let nodes_with_it = nodes_with_it
            .filter(|it| it.generation() >= generation)
            .count();
        // A generation that no majority has may be lost with the node until the store
        // answers again.
        if nodes_with_it * 2 <= self.nodes.len() {
            self.nodes[node].min_ready_generation = 0;
        }
        self.nodes[node].fleet = None;
        for replica in std::mem::take(&mut self.nodes[node].grants) {
            self.holders.entry(replica).or_default().remove(&node);
        }
    }

    /// Stops a node from handling events for some time, as a suspended VM does.
    pub fn pause(&mut self, node: usize, time: u64) {
        self.nodes[node].paused_until = self.now + time;
    }

    /// Writes a configuration to the store and returns its generation. `contains` holds the ids
    /// of the overrides that it ends. VMs and data centres whose names are words of the text are
    /// out of service.
    pub fn apply(&mut self, text: &str, contains: &[&str]) -> u64 {
        let generation = self.store.config.as_ref().map_or(0, |it| it.generation) + 1;
        let contained = |it: &&mut (Arc<str>, _, _)| contains.contains(&&*it.0);
        for evacuation in self.overrides.iter_mut().filter(contained) {
            evacuation.2.get_or_insert(generation);
        }
        let parts = wigeonhall_fleet::split_text(text);
        let hashes: Vec<_> = parts.iter().map(|it| PartHash::of(it)).collect();
        let old = self.store.config.take().map_or(Vec::new(), |it| it.parts);
        let new = hashes.iter().zip(&parts).filter(|it| !old.contains(it.0));
        let new: Vec<_> = new.map(|it| (*it.0, Arc::clone(it.1))).collect();
        self.store.inline_parts = new.iter().map(|it| Arc::clone(&it.1)).collect();
        if !self.parts_inline {
            self.store.inline_parts.clear();
        }
        self.store.parts.extend(new);
        self.store.texts.insert(generation, text.into());
        self.store.config = Some(ConfigManifest {
            author: "operator".into(),
            change_id: format!("change-{generation}").into(),
            contains: contains.iter().map(|&it| it.into()).collect(),
            generation,
            parts: hashes,
        });
        for (node, boot, _) in std::mem::take(&mut self.store.watches) {
            self.store_call(node, move |sim| {
                let event = sim.store.config_read();
                sim.deliver_after_delay(node, boot, move |_| event);
            });
        }
        generation
    }

    pub fn set_store_down(&mut self, down: bool) {
        self.store.down = down;
        if down {
            for (node, boot, _) in std::mem::take(&mut self.store.watches) {
                self.deliver_after_delay(node, boot, |_| FleetEvent::ConfigReadFailed);
            }
        }
    }

    pub fn evacuate(&mut self, node: usize, id: &str, dc: Option<&str>, vm: Option<&str>) {
        if let Some(vm) = vm {
            self.overrides.push((id.into(), vm.into(), None));
        }
        let evacuation = EvacuationOverride {
            author: "operator".into(),
            change_id: id.into(),
            data_centre: dc.map(Into::into),
            vm: vm.map(Into::into),
        };
        let boot = self.nodes[node].boot;
        self.handle(node, boot, |_| FleetEvent::Evacuate(evacuation));
    }

    pub fn stop(&mut self, node: usize) {
        let boot = self.nodes[node].boot;
        self.handle(node, boot, |_| FleetEvent::Stop);
    }

    pub fn running(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|it| it.fleet.is_some())
    }

    /// Returns the running nodes that have a valid lease and a grant for the replica.
    pub fn holders(&self, replica: &str) -> Vec<usize> {
        let holders = self.holders.get(replica).into_iter().flatten().copied();
        holders.filter(|&it| self.leased(it)).collect()
    }

    pub fn leased(&self, node: usize) -> bool {
        let it = &self.nodes[node];
        it.fleet.is_some() && it.local_time(self.now) < it.lease_until
    }

    pub fn replicas(&self, dc: usize) -> Vec<String> {
        let name = &self.data_centres[dc].1;
        (0..self.replicas_per_dc)
            .map(|it| format!("{name}-r{it:03}"))
            .collect()
    }

    /// Returns whether each replica has exactly one owner with a valid lease.
    pub fn all_owned(&self) -> bool {
        let all = (0..self.data_centres.len()).flat_map(|dc| self.replicas(dc));
        all.into_iter().all(|it| self.holders(&it).len() == 1)
    }

    fn deployment(
        &self,
        node: usize,
        catalog: &mut NameCatalog,
        record: &ConfigRecord,
    ) -> Deployment {
        let mut deployment = Deployment {
            generation: record.generation,
            ..Deployment::default()
        };
        let text = record.text();
        let names: BTreeSet<_> = text.split_whitespace().collect();
        let out = |name: &str| names.contains(name);
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        for offset in 0..self.nodes.len() {
            let it = &self.nodes[(node + offset) % self.nodes.len()];
            let vm = Vm {
                caller_address: address,
                data_centre: catalog.data_centre(&self.data_centres[it.data_centre].1),
                node_address: address,
                out: out(&it.name),
            };
            deployment.vms.insert(catalog.node(&it.name), vm);
        }
        for (index, (region, name)) in self.data_centres.iter().enumerate() {
            let data_centre = catalog.data_centre(name);
            let (out, region) = (out(name), (*region).into());
            deployment
                .data_centres
                .insert(data_centre, DataCentre { out, region });
            for replica in self.replicas(index) {
                let cold = ColdBound {
                    requests_per_s: 1,
                    slots: 1,
                };
                let service = catalog.service("service");
                let it = Replica {
                    address,
                    cold,
                    connect_us: 1,
                    connections: 1,
                    data_centre,
                    out: false,
                    service,
                    slots: 2,
                };
                deployment.replicas.insert(catalog.replica(&replica), it);
            }
        }
        deployment
    }
}
