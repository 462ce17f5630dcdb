//! Nodes that exchange messages about quotas in virtual time.

mod exchange;
mod measures;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::sync::Arc;

use fastrand::Rng;

use wigeonhall_dispatch::PeerNode;
use wigeonhall_dispatch::Peers;
use wigeonhall_dispatch::QuotaBounds;
use wigeonhall_dispatch::QuotaDecision;
use wigeonhall_dispatch::QuotaMessage;
use wigeonhall_dispatch::QuotaNode;
use wigeonhall_dispatch::QuotaOwner;
use wigeonhall_dispatch::QuotaReply;
use wigeonhall_dispatch::QuotaView;
use wigeonhall_dispatch::TenantSpec;
use wigeonhall_dispatch::TokenBucket;

const ASK_TIMEOUT_US: u64 = 30_000;
const CHECK_INTERVAL_US: u64 = 50_000;
const COLLECTION_US: u64 = 2_000;
const MESSAGE_TIMEOUT_US: u64 = 250_000;

pub const SECOND_US: u64 = 1_000_000;

/// What happened to a request.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    pub admitted: bool,
    pub at_us: u64,
    /// Whether a central bucket with the tenant's limits would have admitted it.
    pub owed: bool,
    pub sent_us: u64,
    pub tenant: usize,
}

/// Why a message is sent.
#[derive(Clone, Debug)]
enum Purpose {
    Announce,
    /// A question, with the owners that are asked next.
    Ask(usize, u64, Vec<QuotaNode>),
    Report,
    Sync,
}

#[derive(Clone, Debug)]
struct Message {
    body: QuotaMessage,
    from: usize,
    purpose: Purpose,
    to: usize,
}

#[derive(Debug)]
enum Event {
    Check(usize),
    Deliver(u64),
    Reply(u64, QuotaReply),
    Request(usize, usize),
    Timeout(u64),
}

struct Node {
    alive: bool,
    check_due_us: u64,
    frozen_until_us: u64,
    /// Nodes with different numbers cannot reach each other.
    island: usize,
    owner: QuotaOwner,
    peers: Peers,
    view: QuotaView,
}

impl Node {
    fn new(number: usize, bounds: QuotaBounds, first_start: bool) -> Self {
        Self {
            alive: true,
            check_due_us: u64::MAX,
            frozen_until_us: 0,
            island: 0,
            owner: QuotaOwner::new(bounds, first_start),
            peers: Peers::new(peer(number)),
            view: QuotaView::new(bounds),
        }
    }
}

pub struct Fleet {
    bounds: QuotaBounds,
    central: Vec<TokenBucket>,
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    /// Events by the number in `events`.
    pending: BTreeMap<usize, Event>,
    in_flight: BTreeMap<u64, Message>,
    pub messages: u64,
    next: u64,
    nodes: Vec<Node>,
    pub now_us: u64,
    pub outcomes: Vec<Outcome>,
    pub rng: Rng,
    pub specs: Vec<TenantSpec>,
}

pub fn spec(name: &str, rate_per_s: f64, burst: f64) -> TenantSpec {
    TenantSpec {
        burst,
        key_digests: Vec::new(),
        name: name.into(),
        priority: None,
        rate_per_s,
    }
}

pub fn peer(number: usize) -> PeerNode {
    PeerNode {
        address: ([10, 0, (number >> 8) as u8, number as u8], 80).into(),
        data_centre: "north".into(),
        name: format!("node-{number}").into(),
        processor_share: 0.2,
    }
}

impl Fleet {
    /// Creates nodes that know each other; with `cold`, none has a list of nodes yet.
    pub fn new(count: usize, specs: Vec<TenantSpec>, seed: u64, cold: bool) -> Self {
        let bounds = QuotaBounds::default();
        let nodes = (0..count).map(|number| Node::new(number, bounds, true));
        let central = specs
            .iter()
            .map(|it| TokenBucket::new(0, it.rate_per_s, it.burst, it.burst.max(1.0)));
        let mut fleet = Self {
            bounds,
            central: central.collect(),
            events: BinaryHeap::new(),
            in_flight: BTreeMap::new(),
            messages: 0,
            next: 0,
            nodes: nodes.collect(),
            now_us: 0,
            outcomes: Vec::new(),
            pending: BTreeMap::new(),
            rng: Rng::with_seed(seed),
            specs,
        };
        if !cold {
            (0..count).for_each(|node| fleet.list(node, &(0..count).collect::<Vec<usize>>()));
        }
        fleet
    }

    /// Gives a node a list of nodes.
    pub fn list(&mut self, node: usize, listed: &[usize]) {
        let listed = listed.iter().map(|number| peer(*number)).collect();
        let (now_us, specs) = (self.now_us, &self.specs);
        let it = &mut self.nodes[node];
        it.peers.replace(listed);
        it.owner.adopt(now_us, &it.peers, specs.iter());
        self.notify(node);
    }

    /// Returns the nodes in the order in which they own a tenant.
    pub fn ranked(&self, tenant: usize) -> Vec<usize> {
        let peers = &self.nodes[0].peers;
        let ranked = peers.ranked_nodes(&self.specs[tenant].name, usize::MAX);
        ranked.iter().map(|node| number_of(&node.name)).collect()
    }

    /// Starts a node anew, without a list of nodes.
    pub fn restart(&mut self, node: usize) {
        self.nodes[node] = Node::new(node, self.bounds, false);
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].alive = false;
    }

    pub fn freeze(&mut self, node: usize, until_us: u64) {
        self.nodes[node].frozen_until_us = until_us;
    }

    /// Cuts nodes off from those of other islands.
    pub fn set_island(&mut self, node: usize, island: usize) {
        self.nodes[node].island = island;
    }

    /// Sends requests of a tenant to random nodes until a time, at random times.
    pub fn load(&mut self, tenant: usize, per_s: f64, from_us: u64, until_us: u64) {
        let nodes: Vec<usize> = (0..self.nodes.len()).collect();
        self.load_at(&nodes, tenant, per_s, from_us, until_us);
    }

    /// Sends requests of a tenant to some nodes until a time, at random times.
    pub fn load_at(
        &mut self,
        nodes: &[usize],
        tenant: usize,
        per_s: f64,
        from_us: u64,
        until_us: u64,
    ) {
        let mut at_us = from_us as f64;
        loop {
            at_us += -self.rng.f64().max(1e-9).ln() / per_s * 1e6;
            if at_us >= until_us as f64 {
                return;
            }
            let node = nodes[self.rng.usize(..nodes.len())];
            self.schedule(at_us as u64, Event::Request(node, tenant));
        }
    }

    /// Changes the limits of a tenant on all nodes.
    pub fn set_limits(&mut self, tenant: usize, rate_per_s: f64, burst: f64) {
        let spec = &mut self.specs[tenant];
        (spec.burst, spec.rate_per_s) = (burst, rate_per_s);
        self.central[tenant].set_limits(self.now_us, rate_per_s, burst);
    }

    /// Handles all events until a time.
    pub fn run(&mut self, until_us: u64) {
        while let Some(Reverse((at_us, _, key))) = self.events.peek().copied() {
            if at_us > until_us {
                break;
            }
            self.events.pop();
            self.now_us = at_us;
            let event = self.pending.remove(&key).expect("a pending event");
            self.handle(event);
        }
        self.now_us = until_us;
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.next += 1;
        self.pending.insert(self.next as usize, event);
        self.events
            .push(Reverse((at_us, self.next, self.next as usize)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Check(node) => self.check(node),
            Event::Deliver(id) => self.deliver(id),
            Event::Reply(id, reply) => self.reply(id, &reply),
            Event::Request(node, tenant) => self.request(node, tenant),
            Event::Timeout(id) => {
                if let Some(message) = self.in_flight.remove(&id) {
                    self.fail(message);
                }
            }
        }
    }

    fn request(&mut self, node: usize, tenant: usize) {
        let now_us = self.now_us;
        if !self.nodes[node].alive {
            return;
        }
        if self.nodes[node].frozen_until_us > now_us {
            let thaw_us = self.nodes[node].frozen_until_us;
            return self.schedule(thaw_us, Event::Request(node, tenant));
        }
        let (spec, random) = (self.specs[tenant].clone(), self.rng.f64());
        let it = &mut self.nodes[node];
        let decision = it.view.decide(now_us, &spec, &it.peers, random);
        self.follow(node, tenant, now_us, decision);
    }

    fn follow(&mut self, node: usize, tenant: usize, sent_us: u64, decision: QuotaDecision) {
        match decision {
            QuotaDecision::Admit => self.finish(tenant, sent_us, true),
            QuotaDecision::Refuse { .. } => self.finish(tenant, sent_us, false),
            QuotaDecision::Ask(mut owners) => {
                let owner = owners.remove(0);
                let mut message = self.message_to(node, &owner);
                message.ask = Some(self.specs[tenant].name.clone());
                self.send(node, &owner, message, Purpose::Ask(tenant, sent_us, owners));
            }
        }
        self.notify(node);
    }

    fn finish(&mut self, tenant: usize, sent_us: u64, admitted: bool) {
        let owed = self.central[tenant].take(self.now_us);
        self.outcomes.push(Outcome {
            admitted,
            at_us: self.now_us,
            owed,
            sent_us,
            tenant,
        });
    }

    fn message_to(&mut self, node: usize, owner: &QuotaNode) -> QuotaMessage {
        QuotaMessage {
            from: peer(node).name,
            reports: self.nodes[node].view.take_reports(self.now_us, &owner.name),
            ..QuotaMessage::default()
        }
    }

    fn notify(&mut self, node: usize) {
        self.check_at(node, self.now_us + COLLECTION_US);
    }

    fn check_at(&mut self, node: usize, at_us: u64) {
        if self.nodes[node].check_due_us > at_us {
            self.nodes[node].check_due_us = at_us;
            self.schedule(at_us, Event::Check(node));
        }
    }

    /// Sends what is due, like the task of a node.
    fn check(&mut self, number: usize) {
        let now_us = self.now_us;
        let node = &mut self.nodes[number];
        if node.check_due_us != now_us || !node.alive {
            return;
        }
        node.check_due_us = u64::MAX;
        if node.frozen_until_us > now_us {
            let thaw_us = node.frozen_until_us;
            return self.check_at(number, thaw_us);
        }
        let tell = node.view.take_suspicion(now_us);
        let suspicious = node.view.may_be_partitioned(now_us) && node.owner.has_tenants();
        let active = node.owner.has_limited_tenants() || suspicious;
        if active || tell {
            self.announce(number, tell);
        }
        let node = &mut self.nodes[number];
        for (other, message) in node.owner.take_syncs(&node.peers) {
            self.send(number, &other, message, Purpose::Sync);
        }
        let node = &mut self.nodes[number];
        for owner in node.view.due_reports(now_us, &node.peers) {
            let message = self.message_to(number, &owner);
            self.send(number, &owner, message, Purpose::Report);
        }
        if active || self.nodes[number].view.has_reports() {
            self.check_at(number, now_us + CHECK_INTERVAL_US);
        }
    }

    fn announce(&mut self, number: usize, tell: bool) {
        let now_us = self.now_us;
        let node = &mut self.nodes[number];
        let names = node.peers.all_nodes().iter().map(|it| it.name.clone());
        let others: Vec<Arc<str>> = names.filter(|name| number_of(name) != number).collect();
        let specs = &self.specs;
        let find = |name: &str| specs.iter().find(|it| *it.name == *name);
        let suspicious = node.view.may_be_partitioned(now_us);
        node.owner.refresh(now_us, &node.peers, suspicious, find);
        let view = &node.view;
        let is_announced = |name: &str| view.is_announced(now_us, name);
        let limited = node.owner.announcements(now_us, &node.peers, is_announced);
        if limited.is_empty() && !tell {
            return;
        }
        node.view.mark_limited(now_us, &limited);
        let message = QuotaMessage {
            from: peer(number).name,
            limited,
            suspicious: tell,
            ..QuotaMessage::default()
        };
        for name in others {
            let to = quota_node(number_of(&name));
            self.send(number, &to, message.clone(), Purpose::Announce);
        }
    }
}

fn quota_node(number: usize) -> QuotaNode {
    let node = peer(number);
    QuotaNode {
        address: node.address,
        name: node.name,
    }
}

fn number_of(name: &str) -> usize {
    let number = name.strip_prefix("node-").expect("a name of a node");
    number.parse().expect("a number")
}
