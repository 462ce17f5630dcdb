//! Spreads versions by push and digest exchange; receivers pull what is new.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::Digest;
use crate::Fleet;
use crate::GossipMessage;
use crate::PullItem;
use crate::TableVersion;
use crate::limits;
use crate::rendezvous;
use crate::step::Step;
use wigeonhall_types::DataCentreKey;
use wigeonhall_types::NodeKey;

/// Whom a node tells of a new version; for comparison, `Neighbours` is the default.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PushShape {
    /// The node that read the store tells all others.
    FullMesh,
    /// Every node tells random peers, logarithmic in number.
    #[default]
    Neighbours,
    /// The node that read the store tells the first of each data centre; they
    /// tell their children in a tree of the data centre.
    Tree,
}

/// A record that can be pulled.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Item {
    Config,
    Override(Arc<str>),
    Table(DataCentreKey),
}

/// A record that is known to exist and its known holders.
#[derive(Debug)]
struct Wanted {
    due_us: u64,
    from: Vec<NodeKey>,
    next: usize,
    version: u64,
}

#[derive(Debug)]
pub(crate) struct Dissemination {
    digest_due_us: u64,
    pub(crate) shape: PushShape,
    wanted: BTreeMap<Item, Wanted>,
}

impl Dissemination {
    pub(crate) fn new() -> Self {
        Self {
            digest_due_us: 0,
            shape: PushShape::default(),
            wanted: BTreeMap::new(),
        }
    }

    pub(crate) fn wake_us(&self) -> u64 {
        let wanted = self.wanted.values().map(|it| it.due_us).min();
        wanted.unwrap_or(u64::MAX).min(self.digest_due_us)
    }
}

impl Fleet {
    fn digest(&self, step: &Step<'_>) -> Digest {
        let version = |(&key, known): (&DataCentreKey, &crate::ownership::KnownTable)| {
            let age_us = known.proof_us.map(|at| step.now_us.saturating_sub(at));
            let epoch = known.table.epoch;
            let name = step.catalog.data_centre_name(key);
            (name, TableVersion { age_us, epoch })
        };
        Digest {
            generation: self.configuration.generation(),
            overrides: self.overrides.active.keys().cloned().collect(),
            tables: self.ownership.tables.iter().map(version).collect(),
        }
    }

    pub(crate) fn send_digest(&mut self, step: &mut Step<'_>, to: NodeKey, answer: bool) {
        let digest = self.digest(step);
        let mut updates = self.updates_for(step, to);
        self.sample_updates(step, &mut updates);
        let message = GossipMessage::Digest {
            answer,
            digest,
            updates,
        };
        self.send(step, to, message);
    }

    /// Pushes the versions that this node knows, after that of a table grew.
    pub(crate) fn announce_table(&mut self, step: &mut Step<'_>, from_store: bool) {
        for peer in self.push_peers(step, from_store) {
            self.send_digest(step, peer, false);
        }
    }

    /// Pushes the newest generation, alone: digests would be a third of the bytes of a
    /// change at 600 nodes and more at the design size.
    pub(crate) fn announce_config(&mut self, step: &mut Step<'_>, from_store: bool) {
        let generation = self.configuration.generation();
        for peer in self.push_peers(step, from_store) {
            self.send(step, peer, GossipMessage::Generation(generation));
        }
    }

    fn push_peers(&mut self, step: &Step<'_>, from_store: bool) -> Vec<NodeKey> {
        match self.dissemination.shape {
            PushShape::FullMesh if from_store => self.views.peers(),
            PushShape::FullMesh => Vec::new(),
            PushShape::Neighbours => self.neighbours(),
            PushShape::Tree => self.tree_children(step, from_store),
        }
    }

    /// Takes the newest generation of a peer, and tells it a newer one.
    pub(crate) fn on_generation(&mut self, step: &mut Step<'_>, from: NodeKey, generation: u64) {
        self.compare_generation(step, from, generation);
        let own = self.configuration.generation();
        if generation < own {
            self.send(step, from, GossipMessage::Generation(own));
        }
    }

    /// Asks a peer for a newer generation than is known here, or for parts of this one.
    pub(crate) fn compare_generation(
        &mut self,
        step: &mut Step<'_>,
        from: NodeKey,
        generation: u64,
    ) {
        if generation > self.configuration.known_generation() {
            self.want(step, &Item::Config, generation, from);
        } else {
            self.add_part_source(step, generation, from);
        }
    }

    fn tree_children(&self, step: &Step<'_>, from_store: bool) -> Vec<NodeKey> {
        let own = self.config.node;
        let rank = self.views.own_rank() * limits::LEASE_FAN_OUT;
        let children = self.views.ranked.iter().skip(rank + 1);
        let mut peers: Vec<_> = children.take(limits::LEASE_FAN_OUT).copied().collect();
        if from_store {
            let mut firsts = BTreeMap::new();
            for (&node, member) in self.membership.members.iter().filter(|it| it.1.reachable()) {
                let Some(key) = member.data_centre else {
                    continue;
                };
                let hash = rendezvous::name_hash(&step.catalog.data_centre_name(key));
                let rank = rendezvous::rank(hash, member.hash);
                let first = firsts.entry(key).or_insert((rank, node));
                *first = (*first).min((rank, node));
            }
            peers.extend(firsts.into_values().map(|it| it.1));
            peers.extend(self.views.ranked.first());
        }
        peers.retain(|&it| it != own);
        peers
    }

    /// Compares a peer's versions with this node's own.
    pub(crate) fn on_digest(
        &mut self,
        step: &mut Step<'_>,
        from: NodeKey,
        digest: &Digest,
        answer: bool,
    ) {
        let mut behind = digest.generation < self.configuration.generation();
        self.compare_generation(step, from, digest.generation);
        let mut ended = Vec::new();
        for id in &digest.overrides {
            if self.overrides.ended(id).is_some() {
                ended.push(Arc::clone(id));
            } else if !self.overrides.active.contains_key(id) {
                self.want(step, &Item::Override(Arc::clone(id)), 1, from);
            }
        }
        self.tell_ended(step, from, ended);
        let lacks = |id: &Arc<str>| !digest.overrides.contains(id);
        behind |= self.overrides.active.keys().any(lacks);
        for (name, version) in &digest.tables {
            let key = step.catalog.data_centre(name);
            let known = self.ownership.tables.get(&key);
            let epoch = known.map_or(0, |it| it.table.epoch);
            behind |= version.epoch < epoch;
            if version.epoch > epoch {
                self.want(step, &Item::Table(key), version.epoch, from);
            }
        }
        behind |= digest.tables.len() < self.ownership.tables.len();
        if behind && !answer {
            self.send_digest(step, from, true);
        }
    }

    /// Pulls a record from a peer that has it, and again from others until it comes.
    pub(crate) fn want(&mut self, step: &mut Step<'_>, item: &Item, version: u64, from: NodeKey) {
        let fresh = Wanted {
            due_us: 0,
            from: Vec::new(),
            next: 0,
            version,
        };
        let wanted = self
            .dissemination
            .wanted
            .entry(item.clone())
            .or_insert(fresh);
        if version > wanted.version {
            wanted.version = version;
            wanted.from.clear();
            wanted.due_us = 0;
        }
        if wanted.from.len() < limits::PULL_SOURCES && !wanted.from.contains(&from) {
            wanted.from.push(from);
        }
        if wanted.due_us == 0 {
            wanted.due_us = step.now_us + limits::PULL_RETRY_US;
            self.pull(step, item, from);
        }
    }

    fn pull(&mut self, step: &mut Step<'_>, item: &Item, from: NodeKey) {
        let item = match item {
            Item::Config => PullItem::Config,
            Item::Override(id) => PullItem::Override(Arc::clone(id)),
            Item::Table(key) => PullItem::Table(step.catalog.data_centre_name(*key)),
        };
        self.send(step, from, GossipMessage::Pull(item));
    }

    pub(crate) fn stop_wanting(&mut self, item: &Item, version: u64) {
        let wanted = self.dissemination.wanted.get(item);
        if wanted.is_some_and(|it| it.version <= version) {
            self.dissemination.wanted.remove(item);
        }
    }

    pub(crate) fn on_pull(&mut self, step: &mut Step<'_>, from: NodeKey, item: PullItem) {
        let message = match item {
            PullItem::Config => {
                let list = self.configuration.list.as_ref();
                list.map(|it| GossipMessage::Config(it.clone()))
            }
            PullItem::Override(id) => {
                let order = self.overrides.active.get(&id);
                order.map(|it| GossipMessage::Evacuate(it.clone()))
            }
            PullItem::Parts(hashes) => Some(self.parts_message(&hashes)),
            PullItem::Table(name) => {
                let key = step.catalog.data_centre(&name);
                self.table_message(key)
            }
        };
        if let Some(message) = message {
            self.send(step, from, message);
        }
    }

    pub(crate) fn table_message(&self, key: DataCentreKey) -> Option<GossipMessage> {
        let known = self.ownership.tables.get(&key)?;
        Some(GossipMessage::Table((*known.record).clone()))
    }

    pub(crate) fn run_dissemination(&mut self, step: &mut Step<'_>) {
        let now = step.now_us;
        let mut pulls = Vec::new();
        for (item, wanted) in &mut self.dissemination.wanted {
            if wanted.due_us <= now {
                wanted.next += 1;
                wanted.due_us = now + limits::PULL_RETRY_US;
                let from = wanted.from[wanted.next % wanted.from.len()];
                pulls.push((item.clone(), from));
            }
        }
        // A holder that never answers is forgotten; a later digest names another.
        self.dissemination
            .wanted
            .retain(|_, it| it.next < 3 * limits::PULL_SOURCES);
        for (item, from) in pulls {
            self.pull(step, &item, from);
        }
        if self.dissemination.digest_due_us <= now {
            self.dissemination.digest_due_us = now + limits::DIGEST_US;
            if let Some(peer) = self.views.random(&mut self.rng) {
                self.send_digest(step, peer, false);
            }
        }
    }
}
