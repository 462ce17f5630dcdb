//! Disseminates the versions of records by push and by digest exchange; receivers pull the
//! records that they lack. Records are the configuration, the ownership tables and the evacuation
//! overrides (operators' requests to take a VM or a data centre out of service without the store).
//! A digest lists the versions of all records of a node: the generation of the configuration, the
//! epochs of the tables and the ids of the overrides.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::Digest;
use crate::Fleet;
use crate::GossipMessage;
use crate::PullItem;
use crate::TableVersion;
use crate::event_context::EventContext;
use crate::limits;
use crate::rendezvous;
use wigeonhall_types::DataCentreKey;
use wigeonhall_types::NodeKey;

/// Which peers a node notifies of a new version. The variants that are not the default exist
/// for comparison.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PushTopology {
    /// The node that read the store pushes to all others.
    FullMesh,
    /// Every node pushes to random peers, whose number grows with the logarithm of the
    /// fleet's size.
    #[default]
    Neighbours,
    /// The node that read the store pushes to the first-ranked node of each data centre,
    /// which pushes on along a tree within the data centre.
    Tree,
}

/// Identifies a record that can be pulled.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum RecordKey {
    Config,
    Override(Arc<str>),
    Table(DataCentreKey),
}

/// A record that this node lacks, and the peers that have it.
#[derive(Debug)]
struct RequestedRecord {
    /// When the next source is asked.
    due_us: u64,
    sources: Vec<NodeKey>,
    attempts: usize,
    version: u64,
}

/// Outstanding pulls and the timer of the digest exchange.
#[derive(Debug)]
pub(crate) struct Dissemination {
    digest_due_us: u64,
    pub(crate) topology: PushTopology,
    requested: BTreeMap<RecordKey, RequestedRecord>,
}

impl Dissemination {
    pub(crate) fn new() -> Self {
        Self {
            digest_due_us: 0,
            topology: PushTopology::default(),
            requested: BTreeMap::new(),
        }
    }

    pub(crate) fn wake_us(&self) -> u64 {
        let requested = self.requested.values().map(|it| it.due_us).min();
        requested.unwrap_or(u64::MAX).min(self.digest_due_us)
    }
}

impl Fleet {
    fn digest(&self, cx: &EventContext<'_>) -> Digest {
        let version = |(&key, known): (&DataCentreKey, &crate::ownership::KnownTable)| {
            let age_us = known.proof_us.map(|at| cx.now_us.saturating_sub(at));
            let epoch = known.table.epoch;
            let name = cx.catalog.data_centre_name(key);
            (name, TableVersion { age_us, epoch })
        };
        Digest {
            generation: self.configuration.generation(),
            overrides: self.overrides.active.keys().cloned().collect(),
            tables: self.ownership.tables.iter().map(version).collect(),
        }
    }

    pub(crate) fn send_digest(&mut self, cx: &mut EventContext<'_>, to: NodeKey, answer: bool) {
        let digest = self.digest(cx);
        let mut updates = self.updates_for(cx, to);
        self.sample_updates(cx, &mut updates);
        let message = GossipMessage::Digest {
            answer,
            digest,
            updates,
        };
        self.send(cx, to, message);
    }

    /// Pushes a digest after the epoch of a table grew.
    pub(crate) fn announce_table(&mut self, cx: &mut EventContext<'_>, from_store: bool) {
        for peer in self.push_peers(cx, from_store) {
            self.send_digest(cx, peer, false);
        }
    }

    /// Pushes the newest generation without a digest: digests would be a third of the bytes
    /// of a change at 600 nodes, and more in a larger fleet.
    pub(crate) fn announce_config(&mut self, cx: &mut EventContext<'_>, from_store: bool) {
        let generation = self.configuration.generation();
        for peer in self.push_peers(cx, from_store) {
            self.send(cx, peer, GossipMessage::Generation(generation));
        }
    }

    fn push_peers(&mut self, cx: &EventContext<'_>, from_store: bool) -> Vec<NodeKey> {
        match self.dissemination.topology {
            PushTopology::FullMesh if from_store => self.groups.peers(),
            PushTopology::FullMesh => Vec::new(),
            PushTopology::Neighbours => self.random_push_peers(),
            PushTopology::Tree => self.tree_children(cx, from_store),
        }
    }

    /// Handles the generation that a peer announced, and replies with this node's own if that
    /// is newer.
    pub(crate) fn on_generation(
        &mut self,
        cx: &mut EventContext<'_>,
        from: NodeKey,
        generation: u64,
    ) {
        self.compare_generation(cx, from, generation);
        let own = self.configuration.generation();
        if generation < own {
            self.send(cx, from, GossipMessage::Generation(own));
        }
    }

    /// Pulls a newer generation from a peer, or records the peer as a source for the parts
    /// of the generation that is being fetched.
    pub(crate) fn compare_generation(
        &mut self,
        cx: &mut EventContext<'_>,
        from: NodeKey,
        generation: u64,
    ) {
        if generation > self.configuration.known_generation() {
            self.request_record(cx, &RecordKey::Config, generation, from);
        } else {
            self.add_part_source(cx, generation, from);
        }
    }

    /// Returns the peers that this node pushes to in [`PushTopology::Tree`].
    fn tree_children(&self, cx: &EventContext<'_>, from_store: bool) -> Vec<NodeKey> {
        let own = self.settings.node;
        let rank = self.groups.own_rank() * limits::LEASE_FAN_OUT;
        let children = self.groups.ranked_nodes.iter().skip(rank + 1);
        let mut peers: Vec<_> = children.take(limits::LEASE_FAN_OUT).copied().collect();
        if from_store {
            let mut first_ranked = BTreeMap::new();
            for (&node, member) in self.membership.members.iter().filter(|it| it.1.reachable()) {
                let Some(key) = member.data_centre else {
                    continue;
                };
                let hash = rendezvous::name_hash(&cx.catalog.data_centre_name(key));
                let rank = rendezvous::rank(hash, member.hash);
                let first = first_ranked.entry(key).or_insert((rank, node));
                *first = (*first).min((rank, node));
            }
            peers.extend(first_ranked.into_values().map(|it| it.1));
            peers.extend(self.groups.ranked_nodes.first());
        }
        peers.retain(|&it| it != own);
        peers
    }

    /// Compares a peer's versions with this node's: pulls what this node lacks, and replies
    /// with a digest if the peer lacks something.
    pub(crate) fn on_digest(
        &mut self,
        cx: &mut EventContext<'_>,
        from: NodeKey,
        digest: &Digest,
        answer: bool,
    ) {
        let mut peer_behind = digest.generation < self.configuration.generation();
        self.compare_generation(cx, from, digest.generation);
        let mut ended = Vec::new();
        for id in &digest.overrides {
            if self.overrides.ended(id).is_some() {
                ended.push(Arc::clone(id));
            } else if !self.overrides.active.contains_key(id) {
                self.request_record(cx, &RecordKey::Override(Arc::clone(id)), 1, from);
            }
        }
        self.send_ended_overrides(cx, from, ended);
        let missing_at_peer = |id: &Arc<str>| !digest.overrides.contains(id);
        peer_behind |= self.overrides.active.keys().any(missing_at_peer);
        for (name, version) in &digest.tables {
            let key = cx.catalog.data_centre(name);
            let known = self.ownership.tables.get(&key);
            let epoch = known.map_or(0, |it| it.table.epoch);
            peer_behind |= version.epoch < epoch;
            if version.epoch > epoch {
                self.request_record(cx, &RecordKey::Table(key), version.epoch, from);
            }
        }
        peer_behind |= digest.tables.len() < self.ownership.tables.len();
        if peer_behind && !answer {
            self.send_digest(cx, from, true);
        }
    }

    /// Pulls a record from a peer that has it, and retries with other such peers until it
    /// arrives.
    pub(crate) fn request_record(
        &mut self,
        cx: &mut EventContext<'_>,
        key: &RecordKey,
        version: u64,
        from: NodeKey,
    ) {
        let new_request = RequestedRecord {
            due_us: 0,
            sources: Vec::new(),
            attempts: 0,
            version,
        };
        let requested = self
            .dissemination
            .requested
            .entry(key.clone())
            .or_insert(new_request);
        if version > requested.version {
            requested.version = version;
            requested.sources.clear();
            requested.due_us = 0;
        }
        if requested.sources.len() < limits::PULL_SOURCES_MAX && !requested.sources.contains(&from)
        {
            requested.sources.push(from);
        }
        if requested.due_us == 0 {
            requested.due_us = cx.now_us + limits::PULL_RETRY_INTERVAL_US;
            self.pull(cx, key, from);
        }
    }

    /// Sends the pull request for a record.
    fn pull(&mut self, cx: &mut EventContext<'_>, key: &RecordKey, from: NodeKey) {
        let item = match key {
            RecordKey::Config => PullItem::Config,
            RecordKey::Override(id) => PullItem::Override(Arc::clone(id)),
            RecordKey::Table(dc) => PullItem::Table(cx.catalog.data_centre_name(*dc)),
        };
        self.send(cx, from, GossipMessage::Pull(item));
    }

    /// Ends the pulls of a record once this or a newer version has arrived.
    pub(crate) fn cancel_request(&mut self, key: &RecordKey, version: u64) {
        let requested = self.dissemination.requested.get(key);
        if requested.is_some_and(|it| it.version <= version) {
            self.dissemination.requested.remove(key);
        }
    }

    pub(crate) fn on_pull(&mut self, cx: &mut EventContext<'_>, from: NodeKey, item: PullItem) {
        let message = match item {
            PullItem::Config => {
                let manifest = self.configuration.manifest.as_ref();
                manifest.map(|it| GossipMessage::Config(it.clone()))
            }
            PullItem::Override(id) => {
                let evacuation = self.overrides.active.get(&id);
                evacuation.map(|it| GossipMessage::Evacuate(it.clone()))
            }
            PullItem::Parts(hashes) => Some(self.parts_message(&hashes)),
            PullItem::Table(name) => {
                let key = cx.catalog.data_centre(&name);
                self.table_message(key)
            }
        };
        if let Some(message) = message {
            self.send(cx, from, message);
        }
    }

    pub(crate) fn table_message(&self, key: DataCentreKey) -> Option<GossipMessage> {
        let known = self.ownership.tables.get(&key)?;
        Some(GossipMessage::Table((*known.record).clone()))
    }

    pub(crate) fn run_dissemination(&mut self, cx: &mut EventContext<'_>) {
        let now = cx.now_us;
        let mut pulls = Vec::new();
        for (key, requested) in &mut self.dissemination.requested {
            if requested.due_us <= now {
                requested.attempts += 1;
                requested.due_us = now + limits::PULL_RETRY_INTERVAL_US;
                let from = requested.sources[requested.attempts % requested.sources.len()];
                pulls.push((key.clone(), from));
            }
        }
        // Gives up a record whose sources never reply; a later digest names another source.
        self.dissemination
            .requested
            .retain(|_, it| it.attempts < 3 * limits::PULL_SOURCES_MAX);
        for (key, from) in pulls {
            self.pull(cx, &key, from);
        }
        if self.dissemination.digest_due_us <= now {
            self.dissemination.digest_due_us = now + limits::DIGEST_INTERVAL_US;
            if let Some(peer) = self.groups.random_peer(&mut self.rng) {
                self.send_digest(cx, peer, false);
            }
        }
    }
}
