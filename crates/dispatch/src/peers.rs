use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::GatherSize;
use crate::node_backoffs::NodeBackoffs;
use crate::rendezvous::hash_name;
use crate::rendezvous::score;

/// Processor time for sending one leg of a gather (the request to one shard) and receiving its
/// part, on a whole core.
const LEG_PROCESSOR_TIME_US: f64 = 50.0;

/// Divisor of the target latency; a node sends all legs of a gather itself if they take no
/// more processor time than the quotient.
const ALONE_TIME_DIVISOR: f64 = 6.0;

/// Minimum number of nodes in a data centre for a shared gather, whose legs are divided among
/// the nodes of the data centre.
const SHARING_NODES_MIN: usize = 4;

/// Number of nodes of a data centre that may send one leg of a shared gather: the one that is
/// assigned the leg, one that takes it back, and the one that was assigned it before the set
/// of nodes changed.
const SENDERS_PER_LEG: usize = 3;

/// A node of the entry tier, as registered by itself.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerNode {
    /// Address on which it listens for other nodes.
    pub address: SocketAddr,
    /// Data centre of the node.
    pub data_centre: Arc<str>,
    /// Name of the node.
    pub name: Arc<str>,
    /// Share of a core that the node may use.
    pub processor_share: f64,
}

/// Legs of a gather that one node sends.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RelayGroup {
    /// Indexes of the legs, in ascending order.
    pub legs: Vec<usize>,
    /// Name and address of the node; `None` for the planning node itself.
    pub peer: Option<(Arc<str>, SocketAddr)>,
}

/// The nodes of one data centre; assigns the legs of a large gather to them.
#[derive(Debug)]
pub struct Peers {
    /// Addresses of all other nodes.
    addresses: Vec<SocketAddr>,
    /// Backoffs of nodes that did not answer as coordinators of rollouts.
    pub(crate) coordinator_backoffs: NodeBackoffs,
    /// Names and addresses of all other nodes.
    pub(crate) others: Vec<(Arc<str>, SocketAddr)>,
    /// Nodes of this node's data centre, including this node.
    pub(crate) nodes: Vec<PeerNode>,
    own: PeerNode,
    /// Backoffs of nodes that did not return the parts of their legs.
    relay_backoffs: NodeBackoffs,
    /// Nodes of all data centres, including this node.
    all_nodes: Vec<PeerNode>,
    /// Number of times that the known nodes were replaced.
    generation: u64,
    /// Backoffs of nodes that could not be followed as readers of the store.
    pub(crate) reader_backoffs: NodeBackoffs,
}

impl Peers {
    /// Creates the set of peers with only this node in it.
    #[must_use]
    pub fn new(own: PeerNode) -> Self {
        Self {
            addresses: Vec::new(),
            all_nodes: vec![own.clone()],
            coordinator_backoffs: NodeBackoffs::default(),
            generation: 0,
            others: Vec::new(),
            nodes: vec![own.clone()],
            own,
            relay_backoffs: NodeBackoffs::default(),
            reader_backoffs: NodeBackoffs::default(),
        }
    }

    /// Returns this node, which does the planning.
    #[must_use]
    pub const fn own(&self) -> &PeerNode {
        &self.own
    }

    /// Sets the address on which this node listens for other nodes.
    pub const fn set_own_address(&mut self, address: SocketAddr) {
        self.own.address = address;
    }

    /// Returns the addresses of all other nodes, in all data centres.
    #[must_use]
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Replaces the known nodes by a complete list.
    pub fn replace(&mut self, nodes: Vec<PeerNode>) {
        self.generation += 1;
        self.all_nodes.clone_from(&nodes);
        let others = nodes.iter().filter(|node| node.name != self.own.name);
        let others = others.map(|node| (node.name.clone(), node.address));
        self.others = others.collect();
        self.addresses = self.others.iter().map(|(_, address)| *address).collect();
        if nodes.iter().all(|node| node.name != self.own.name) {
            self.all_nodes.push(self.own.clone());
        }
        let own = &self.own;
        let in_own_data_centre =
            |node: &PeerNode| node.data_centre == own.data_centre && node.name != own.name;
        self.nodes = nodes.into_iter().filter(in_own_data_centre).collect();
        self.nodes.push(self.own.clone());
        let known = |name: &Arc<str>| self.nodes.iter().any(|node| node.name == *name);
        self.relay_backoffs.retain(known);
        let others = &self.others;
        let listed = |name: &Arc<str>| others.iter().any(|(other, _)| other == name);
        self.coordinator_backoffs.retain(listed);
        self.reader_backoffs.retain(known);
    }

    /// Returns the nodes of all data centres, including this node.
    #[must_use]
    pub fn all_nodes(&self) -> &[PeerNode] {
        &self.all_nodes
    }

    /// Returns a number that changes with each list of nodes; 0 before the first list.
    #[must_use]
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the `count` nodes of all data centres with the highest scores for a name, in
    /// descending order.
    #[must_use]
    pub fn ranked_nodes(&self, name: &str, count: usize) -> Vec<&PeerNode> {
        let key = hash_name(name);
        let mut scored: Vec<(f64, &PeerNode)> = self
            .all_nodes
            .iter()
            .map(|node| (score(node, key), node))
            .collect();
        scored.sort_by(|a, b| b.0.total_cmp(&a.0));
        scored
            .into_iter()
            .take(count)
            .map(|(_, node)| node)
            .collect()
    }

    /// Returns the number of nodes before this one in the order of [`Self::ranked_nodes`].
    #[must_use]
    pub fn own_rank(&self, name: &str) -> usize {
        let key = hash_name(name);
        let own = score(&self.own, key);
        let others = self.all_nodes.iter();
        let before = others.filter(|node| node.name != self.own.name && score(node, key) > own);
        before.count()
    }

    /// Returns the number of known nodes in this data centre.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Returns the number of known nodes in all data centres.
    #[must_use]
    pub fn total_nodes(&self) -> usize {
        self.all_nodes.len().max(1)
    }

    /// Returns the number of nodes in all data centres that may send one given leg of a gather.
    #[must_use]
    pub fn senders(&self, gather: GatherSize) -> usize {
        let mut by_data_centre: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        for node in &self.all_nodes {
            let shares = by_data_centre.entry(&node.data_centre).or_default();
            shares.push(node.processor_share);
        }
        let senders = by_data_centre.values().map(|shares| {
            let alone = |share: &&f64| sends_alone(gather, **share);
            let alone = shares.iter().filter(alone).count();
            if shares.len() < SHARING_NODES_MIN || alone == shares.len() {
                shares.len()
            } else {
                alone + SENDERS_PER_LEG
            }
        });
        senders.sum::<usize>().max(1)
    }

    /// Always false, as this node itself is always known.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Records that a peer did not return its parts; it is suspected of being down, and no legs
    /// are assigned to it until its backoff has passed.
    pub fn suspect_peer(&mut self, now_us: u64, name: &Arc<str>) {
        self.relay_backoffs.record_failure(now_us, name);
    }

    /// Records that a peer returned parts, which ends its backoff.
    pub fn clear_peer_suspicion(&mut self, name: &Arc<str>) {
        self.relay_backoffs.clear(name);
    }

    /// Returns the legs of a gather that this node sends, whichever node of its data centre
    /// plans the gather.
    #[must_use]
    pub fn own_legs(&self, now_us: u64, gather: GatherSize) -> Vec<usize> {
        let Some(plan) = self.plan(now_us, gather) else {
            return (0..gather.legs).collect();
        };
        let own = plan.into_iter().find(|group| group.peer.is_none());
        own.map_or_else(Vec::new, |group| group.legs)
    }

    /// Returns, for each leg of a gather, the share of all nodes for whose callers this node sends
    /// the leg, from 0 to 1.
    ///
    /// These are its own callers, and for legs that are assigned to it also those of the nodes of
    /// its data centre that divide the gather.
    #[must_use]
    pub fn sender_shares(&self, now_us: u64, gather: GatherSize) -> Vec<f64> {
        let total = self.total_nodes() as f64;
        let mut shares = vec![1.0 / total; gather.legs];
        let dividing = self.nodes.iter().filter(|node| {
            node.name != self.own.name && !sends_alone(gather, node.processor_share)
        });
        let dividing = dividing.count() as f64;
        let plan = self.assign_legs(now_us, gather).unwrap_or_default();
        let own = plan.into_iter().filter(|group| group.peer.is_none());
        for leg in own.flat_map(|group| group.legs) {
            shares[leg] += dividing / total;
        }
        shares
    }

    /// Assigns the legs of a gather to the nodes; returns `None` if this node should send all
    /// of them itself.
    ///
    /// A group of legs stays assigned to the same node as long as the set of nodes does not
    /// change, so that this node keeps its connections to the replicas and its statistics
    /// about them.
    #[must_use]
    pub fn plan(&self, now_us: u64, gather: GatherSize) -> Option<Vec<RelayGroup>> {
        if sends_alone(gather, self.own.processor_share) {
            return None;
        }
        self.assign_legs(now_us, gather)
    }

    /// Assigns the legs of a gather that nodes divide; returns `None` if there are too few nodes.
    fn assign_legs(&self, now_us: u64, gather: GatherSize) -> Option<Vec<RelayGroup>> {
        let usable: Vec<&PeerNode> = self
            .nodes
            .iter()
            .filter(|node| self.relay_backoffs.is_usable(now_us, &node.name))
            .collect();
        if usable.len() < SHARING_NODES_MIN {
            return None;
        }
        let legs = gather.legs;
        let groups = (legs as f64).sqrt().round() as usize;
        let mut by_node: BTreeMap<Arc<str>, RelayGroup> = BTreeMap::new();
        for group in 0..groups {
            let node = highest_scoring_node(&usable, group)?;
            let own = node.name == self.own.name;
            let entry = by_node
                .entry(node.name.clone())
                .or_insert_with(|| RelayGroup {
                    legs: Vec::new(),
                    peer: (!own).then(|| (node.name.clone(), node.address)),
                });
            entry.legs.extend((group..legs).step_by(groups));
        }
        let mut plan: Vec<RelayGroup> = by_node.into_values().collect();
        for group in &mut plan {
            group.legs.sort_unstable();
        }
        Some(plan)
    }
}

/// Whether a node with this share of a core sends all legs of a gather itself.
fn sends_alone(gather: GatherSize, processor_share: f64) -> bool {
    let alone_us = gather.legs as f64 * LEG_PROCESSOR_TIME_US / processor_share.max(0.01);
    let fast = alone_us <= gather.target_latency_ms as f64 * 1_000.0 / ALONE_TIME_DIVISOR;
    fast && !gather.single_slots
}

/// Returns the node with the highest score for a group, weighted by its share of a core.
fn highest_scoring_node<'a>(nodes: &[&'a PeerNode], group: usize) -> Option<&'a PeerNode> {
    let best = nodes
        .iter()
        .max_by(|a, b| score(a, group as u64).total_cmp(&score(b, group as u64)));
    best.copied()
}
