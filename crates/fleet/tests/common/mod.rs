//! Nodes, a store and a message bus in virtual time, with seeded loss and delay.

#![allow(dead_code, reason = "each test file uses its own part")]
#![allow(missing_docs, reason = "a harness of tests")]
#![allow(
    clippy::cast_lossless,
    clippy::option_option,
    reason = "short code in tests"
)]

mod actions;
mod checks;
mod store;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use wigeonhall_fleet::ConfigManifest;
use wigeonhall_fleet::ConfigRecord;
use wigeonhall_fleet::EvacuationOverride;
use wigeonhall_fleet::Fleet;
use wigeonhall_fleet::FleetConfig;
use wigeonhall_fleet::FleetEvent;
use wigeonhall_fleet::NotReadyReason;
use wigeonhall_fleet::PartHash;
use wigeonhall_fleet::PushShape;
use wigeonhall_types::Catalog;
use wigeonhall_types::ColdBound;
use wigeonhall_types::DataCentre;
use wigeonhall_types::Deployment;
use wigeonhall_types::OwnershipTable;
use wigeonhall_types::Replica;
use wigeonhall_types::Vm;
use wigeonhall_types::VmState;

pub use store::Store;

pub const MS: u64 = 1000;
pub const S: u64 = 1_000_000;
/// Largest message between nodes: 64 KiB of parts and their lengths.
const MESSAGE_BYTES: usize = 65_536 + 64 * 8 + 64;

type Task = Box<dyn FnOnce(&mut World)>;

pub struct Node {
    pub boot: u64,
    catalog: Catalog,
    /// Microseconds that the clock gains in a second, and its reading at time 0.
    clock: (i64, u64),
    pub data_centre: usize,
    pub fleet: Option<Fleet>,
    /// Generation that a restarted node may not fall behind.
    floor: u64,
    /// Replicas granted in this boot.
    pub grants: BTreeSet<Arc<str>>,
    pub in_force: Option<Arc<Deployment>>,
    pub lease_until: u64,
    pub lost: Vec<Arc<str>>,
    /// Ids of the overrides seen in effect in this boot.
    orders: BTreeSet<Arc<str>>,
    pub name: Arc<str>,
    paused_until: u64,
    pub ready: Option<Option<NotReadyReason>>,
    pub stopped: bool,
    pub tables: BTreeMap<Arc<str>, Arc<OwnershipTable>>,
    wake_at: u64,
}

impl Node {
    pub fn generation(&self) -> u64 {
        self.in_force.as_ref().map_or(0, |it| it.generation)
    }

    fn local(&self, now: u64) -> u64 {
        self.clock.1 + (now as i128 * (1_000_000 + self.clock.0) as i128 / 1_000_000) as u64
    }

    fn global(&self, local: u64) -> u64 {
        let passed = local.saturating_sub(self.clock.1) as i128 * 1_000_000;
        (passed / (1_000_000 + self.clock.0) as i128) as u64 + 1
    }
}

pub struct World {
    pub busy: Duration,
    pub bytes: u64,
    /// Bytes of messages that carry or ask for a configuration.
    pub config_bytes: u64,
    /// Chance that a part arrives with another content, in percent.
    pub corrupt: u8,
    pub cut_from_store: BTreeSet<usize>,
    pub dcs: Vec<(&'static str, String)>,
    /// Group of each node; nodes of different groups hear nothing of each other.
    pub group: Vec<u8>,
    holders: BTreeMap<Arc<str>, BTreeSet<usize>>,
    /// Whether the new parts of a text come with its list.
    pub inline: bool,
    /// Chance that a message or reply is seconds late, and that a message comes
    /// twice, in percent.
    pub late: u8,
    /// Chance that a message is lost, in percent.
    pub loss: u8,
    pub messages: u64,
    pub nodes: Vec<Node>,
    /// Overrides of VMs: id, VM and the generation that contains the id.
    pub orders: Vec<(Arc<str>, Arc<str>, Option<u64>)>,
    pub now: u64,
    /// Reads of parts from the store.
    pub part_reads: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    replicas_per_dc: usize,
    pub rng: fastrand::Rng,
    sequence: u64,
    pub shape: PushShape,
    pub store: Store,
    tasks: BTreeMap<u64, Task>,
    pub vms: BTreeMap<Arc<str>, VmState>,
}

impl World {
    /// `dcs` names region and data centre; nodes are dealt to them in turn.
    pub fn new(dcs: &[(&'static str, &str)], count: usize, replicas: usize, seed: u64) -> Self {
        let mut world = Self {
            busy: Duration::ZERO,
            bytes: 0,
            config_bytes: 0,
            corrupt: 0,
            cut_from_store: BTreeSet::new(),
            dcs: dcs.iter().map(|it| (it.0, it.1.to_owned())).collect(),
            group: vec![0; count],
            holders: BTreeMap::new(),
            inline: false,
            late: 0,
            loss: 0,
            messages: 0,
            nodes: Vec::new(),
            orders: Vec::new(),
            now: 0,
            part_reads: 0,
            queue: BinaryHeap::new(),
            replicas_per_dc: replicas,
            rng: fastrand::Rng::with_seed(seed),
            sequence: 0,
            shape: PushShape::default(),
            store: Store::default(),
            tasks: BTreeMap::new(),
            vms: BTreeMap::new(),
        };
        for index in 0..count {
            let name = Arc::<str>::from(format!("vm-{index:03}"));
            world.vms.insert(Arc::clone(&name), VmState::Live);
            let clock = (world.rng.i64(-20_000..20_000), world.rng.u64(1..1000 * S));
            world.nodes.push(Node {
                boot: 0,
                catalog: Catalog::default(),
                clock,
                data_centre: index % dcs.len(),
                fleet: None,
                floor: 0,
                grants: BTreeSet::new(),
                in_force: None,
                lease_until: 0,
                lost: Vec::new(),
                orders: BTreeSet::new(),
                name,
                paused_until: 0,
                ready: None,
                stopped: false,
                tables: BTreeMap::new(),
                wake_at: 0,
            });
        }
        world
    }

    /// A fleet of 3 data centres with a configuration, started and settled.
    pub fn settled(count: usize, seed: u64) -> Self {
        let mut world = Self::new(
            &[("south", "dc-a"), ("south", "dc-b"), ("south", "dc-c")],
            count,
            20,
            seed,
        );
        world.apply("", &[]);
        (0..count).for_each(|it| world.start(it));
        world.run(15 * S);
        world
    }

    pub fn at(&mut self, time: u64, task: impl FnOnce(&mut Self) + 'static) {
        self.sequence += 1;
        self.queue
            .push(Reverse((time.max(self.now), self.sequence)));
        self.tasks.insert(self.sequence, Box::new(task));
    }

    pub fn run(&mut self, time: u64) {
        let end = self.now + time;
        while let Some(&Reverse((at, id))) = self.queue.peek().filter(|it| it.0.0 <= end) {
            self.queue.pop();
            self.now = at;
            if let Some(task) = self.tasks.remove(&id) {
                task(self);
            }
        }
        self.now = end;
    }

    pub fn start(&mut self, node: usize) {
        let dc = self.dcs[self.nodes[node].data_centre].clone();
        let seeds = [0, 1, 2].map(|it| Arc::clone(&self.nodes[it % self.nodes.len()].name));
        let (boot, seed) = (self.rng.u64(1..), self.rng.u64(..));
        let it = &mut self.nodes[node];
        // Keys of different nodes differ.
        it.catalog = Catalog::default();
        it.catalog.node(&format!("pad-{}", boot % 7));
        it.boot = boot;
        it.in_force = None;
        it.lease_until = 0;
        it.lost.clear();
        it.orders.clear();
        it.ready = None;
        it.stopped = false;
        it.tables.clear();
        it.wake_at = 0;
        it.paused_until = 0;
        let config = FleetConfig {
            boot,
            data_centre: it.catalog.data_centre(&dc.1),
            node: it.catalog.node(&it.name),
            seeds: seeds.iter().map(|name| it.catalog.node(name)).collect(),
            region: dc.0.into(),
        };
        let mut fleet = Fleet::new(config, seed);
        fleet.set_push_shape(self.shape);
        it.fleet = Some(fleet);
        self.handle(node, boot, |_| FleetEvent::Tick);
    }

    pub fn crash(&mut self, node: usize) {
        let generation = self.nodes[node].floor;
        let know = self.nodes.iter().filter(|it| it.fleet.is_some());
        let know = know.filter(|it| it.generation() >= generation).count();
        // A generation that no majority knew may be lost with the node until the
        // store answers again.
        if know * 2 <= self.nodes.len() {
            self.nodes[node].floor = 0;
        }
        self.nodes[node].fleet = None;
        for replica in std::mem::take(&mut self.nodes[node].grants) {
            self.holders.entry(replica).or_default().remove(&node);
        }
    }

    pub fn pause(&mut self, node: usize, time: u64) {
        self.nodes[node].paused_until = self.now + time;
    }

    /// Writes a configuration, as the operators' command does.
    pub fn apply(&mut self, text: &str, contains: &[&str]) -> u64 {
        let generation = self.store.config.as_ref().map_or(0, |it| it.generation) + 1;
        let contained = |it: &&mut (Arc<str>, _, _)| contains.contains(&&*it.0);
        for order in self.orders.iter_mut().filter(contained) {
            order.2.get_or_insert(generation);
        }
        let parts = wigeonhall_fleet::cut(text);
        let hashes: Vec<_> = parts.iter().map(|it| PartHash::of(it)).collect();
        let old = self.store.config.take().map_or(Vec::new(), |it| it.parts);
        let new = hashes.iter().zip(&parts).filter(|it| !old.contains(it.0));
        let new: Vec<_> = new.map(|it| (*it.0, Arc::clone(it.1))).collect();
        self.store.inline = new.iter().map(|it| Arc::clone(&it.1)).collect();
        if !self.inline {
            self.store.inline.clear();
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
            self.store_call(node, move |world| {
                let event = world.store.config_read();
                world.answer(node, boot, move |_| event);
            });
        }
        generation
    }

    pub fn set_store_down(&mut self, down: bool) {
        self.store.down = down;
        if down {
            for (node, boot, _) in std::mem::take(&mut self.store.watches) {
                self.answer(node, boot, |_| FleetEvent::ConfigReadFailed);
            }
        }
    }

    pub fn evacuate(&mut self, node: usize, id: &str, dc: Option<&str>, vm: Option<&str>) {
        if let Some(vm) = vm {
            self.orders.push((id.into(), vm.into(), None));
        }
        let order = EvacuationOverride {
            author: "operator".into(),
            change_id: id.into(),
            data_centre: dc.map(Into::into),
            vm: vm.map(Into::into),
        };
        let boot = self.nodes[node].boot;
        self.handle(node, boot, |_| FleetEvent::Evacuate(order));
    }

    pub fn stop(&mut self, node: usize) {
        let boot = self.nodes[node].boot;
        self.handle(node, boot, |_| FleetEvent::Stop);
    }

    pub fn running(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|it| it.fleet.is_some())
    }

    /// Running nodes that hold a valid lease and a grant for the replica.
    pub fn holders(&self, replica: &str) -> Vec<usize> {
        let holders = self.holders.get(replica).into_iter().flatten().copied();
        holders.filter(|&it| self.leased(it)).collect()
    }

    pub fn leased(&self, node: usize) -> bool {
        let it = &self.nodes[node];
        it.fleet.is_some() && it.local(self.now) < it.lease_until
    }

    pub fn replicas(&self, dc: usize) -> Vec<String> {
        let name = &self.dcs[dc].1;
        (0..self.replicas_per_dc)
            .map(|it| format!("{name}-r{it:03}"))
            .collect()
    }

    pub fn all_owned(&self) -> bool {
        let all = (0..self.dcs.len()).flat_map(|dc| self.replicas(dc));
        all.into_iter().all(|it| self.holders(&it).len() == 1)
    }

    fn deployment(&self, node: usize, catalog: &mut Catalog, record: &ConfigRecord) -> Deployment {
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
                data_centre: catalog.data_centre(&self.dcs[it.data_centre].1),
                node_address: address,
                out: out(&it.name),
            };
            deployment.vms.insert(catalog.node(&it.name), vm);
        }
        for (index, (region, name)) in self.dcs.iter().enumerate() {
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

    fn handle(&mut self, node: usize, boot: u64, event: impl FnOnce(&mut Catalog) -> FleetEvent) {
        let now = self.now;
        let it = &mut self.nodes[node];
        let Some(fleet) = it.fleet.as_mut().filter(|_| it.boot == boot) else {
            return;
        };
        let local =
            it.clock.1 + (now as i128 * (1_000_000 + it.clock.0) as i128 / 1_000_000) as u64;
        let event = event(&mut it.catalog);
        let mut actions = Vec::new();
        let begin = Instant::now();
        fleet.handle(local, event, &mut it.catalog, &mut actions);
        self.busy += begin.elapsed();
        let wake = fleet.next_wake_us();
        for action in actions {
            self.act(node, boot, local, action);
        }
        self.check(node);
        let it = &mut self.nodes[node];
        let wake = wake.map_or(u64::MAX, |wake| it.global(wake).max(now + 1));
        if wake != u64::MAX && (it.wake_at != wake) {
            it.wake_at = wake;
            self.at(wake, move |world| world.wake(node, boot, wake));
        }
    }

    fn wake(&mut self, node: usize, boot: u64, wake: u64) {
        let it = &self.nodes[node];
        if it.boot != boot || it.wake_at != wake {
            return;
        }
        if it.paused_until > self.now {
            let until = it.paused_until;
            self.at(until, move |world| world.wake(node, boot, wake));
            return;
        }
        self.nodes[node].wake_at = 0;
        self.handle(node, boot, |_| FleetEvent::Tick);
    }

    /// Gives an event to a node, after its pause if it is paused.
    fn deliver(
        &mut self,
        node: usize,
        boot: u64,
        event: impl FnOnce(&mut Catalog) -> FleetEvent + 'static,
    ) {
        let until = self.nodes[node].paused_until;
        if until > self.now {
            self.at(until, move |world| world.deliver(node, boot, event));
        } else {
            self.handle(node, boot, event);
        }
    }

    fn answer(
        &mut self,
        node: usize,
        boot: u64,
        event: impl FnOnce(&mut Catalog) -> FleetEvent + 'static,
    ) {
        let late = self.rng.u8(..100) < self.late;
        let delay = self.rng.u64(MS..if late { 5 * S } else { 3 * MS });
        self.at(self.now + delay, move |world| {
            world.deliver(node, boot, event);
        });
    }
}
