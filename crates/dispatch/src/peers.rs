use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::rendezvous::score;
use crate::suspicions::Suspicions;

/// Processor time of one part of a gather, in and out, on a whole core.
const PART_COST_US: f64 = 50.0;

/// Part of the target latency that a node may spend on the parts of one gather alone.
const OWN_PART_DIVISOR: f64 = 6.0;

/// Fewest nodes in a data centre that share the parts of a gather.
const NODES_MIN: usize = 4;

/// Nodes of a data centre that send one leg where gathers are shared: the one that it belongs
/// to, one that takes it back, and one that it belonged to before the nodes changed.
const SENDERS_OF_A_LEG: usize = 3;

/// A node of the entry tier as it registered itself.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerNode {
    /// Its address for other nodes.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Its name.
    pub name: Arc<str>,
    /// Its share of a core.
    pub processor_share: f64,
}

/// Legs of a gather that one node handles.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RelayGroup {
    /// Indexes of the legs, rising.
    pub legs: Vec<usize>,
    /// Address of the node; `None` for the node that plans.
    pub peer: Option<(Arc<str>, SocketAddr)>,
}

/// The nodes of one data centre, and how they share the parts of a large gather.
#[derive(Debug)]
pub struct Peers {
    /// Nodes of the own data centre, the planning one among them.
    pub(crate) nodes: Vec<PeerNode>,
    own: PeerNode,
    /// Nodes that did not hand over parts.
    suspicions: Suspicions,
    /// Data centre and share of a core of each node of all data centres.
    everywhere: Vec<(Arc<str>, f64)>,
    /// Nodes that could not be followed as readers of the store.
    pub(crate) unreadable: Suspicions,
}

impl Peers {
    /// Knows only the node itself.
    #[must_use]
    pub fn new(own: PeerNode) -> Self {
        Self {
            everywhere: vec![(own.data_centre.clone(), own.processor_share)],
            nodes: vec![own.clone()],
            own,
            suspicions: Suspicions::default(),
            unreadable: Suspicions::default(),
        }
    }

    /// The node that plans.
    #[must_use]
    pub const fn own(&self) -> &PeerNode {
        &self.own
    }

    /// Sets the address on which the planning node listens for the others.
    pub const fn set_own_address(&mut self, address: SocketAddr) {
        self.own.address = address;
    }

    /// Takes in a whole list of nodes; of those of other data centres only the place and the
    /// share of a core are kept.
    pub fn replace(&mut self, nodes: Vec<PeerNode>) {
        let place = |node: &PeerNode| (node.data_centre.clone(), node.processor_share);
        self.everywhere = nodes.iter().map(place).collect();
        if nodes.iter().all(|node| node.name != self.own.name) {
            self.everywhere.push(place(&self.own));
        }
        let own = &self.own;
        let near = |node: &PeerNode| node.data_centre == own.data_centre && node.name != own.name;
        self.nodes = nodes.into_iter().filter(near).collect();
        self.nodes.push(self.own.clone());
        let known = |name: &Arc<str>| self.nodes.iter().any(|node| node.name == *name);
        self.suspicions.retain(known);
        self.unreadable.retain(known);
    }

    /// Number of known nodes in the data centre.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Number of known nodes in all data centres.
    #[must_use]
    pub fn total(&self) -> usize {
        self.everywhere.len().max(1)
    }

    /// Number of nodes that send one leg of a gather with so many legs, in all data centres.
    #[must_use]
    pub fn senders(&self, legs: usize, target_latency_ms: u64) -> usize {
        let mut by_data_centre: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        for (data_centre, share) in &self.everywhere {
            by_data_centre.entry(data_centre).or_default().push(*share);
        }
        let senders = by_data_centre.values().map(|shares| {
            let alone = |share: &&f64| works_alone(legs, **share, target_latency_ms);
            let alone = shares.iter().filter(alone).count();
            if shares.len() < NODES_MIN || alone == shares.len() {
                shares.len()
            } else {
                alone + SENDERS_OF_A_LEG
            }
        });
        senders.sum::<usize>().max(1)
    }

    /// Whether no node is known; the own one always is.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Leaves a peer alone for a while after it did not answer.
    pub fn suspect(&mut self, now_us: u64, name: &Arc<str>) {
        self.suspicions.suspect(now_us, name);
    }

    /// Records that a peer answered.
    pub fn answered(&mut self, name: &Arc<str>) {
        self.suspicions.clear(name);
    }

    /// Legs of a gather that this node sends, whichever node of its data centre plans it.
    #[must_use]
    pub fn own_legs(&self, now_us: u64, legs: usize, target_latency_ms: u64) -> Vec<usize> {
        let Some(plan) = self.plan(now_us, legs, target_latency_ms) else {
            return (0..legs).collect();
        };
        let own = plan.into_iter().find(|group| group.peer.is_none());
        own.map_or_else(Vec::new, |group| group.legs)
    }

    /// Shares the legs of a gather among the nodes; `None` if the node does best alone.
    ///
    /// A group of legs stays with one node while the nodes stay, so that this node knows
    /// the replicas well and keeps its connections to them.
    #[must_use]
    pub fn plan(
        &self,
        now_us: u64,
        legs: usize,
        target_latency_ms: u64,
    ) -> Option<Vec<RelayGroup>> {
        if works_alone(legs, self.own.processor_share, target_latency_ms) {
            return None;
        }
        let sound: Vec<&PeerNode> = self
            .nodes
            .iter()
            .filter(|node| self.suspicions.is_sound(now_us, &node.name))
            .collect();
        if sound.len() < NODES_MIN {
            return None;
        }
        let groups = (legs as f64).sqrt().round() as usize;
        let mut by_node: BTreeMap<Arc<str>, RelayGroup> = BTreeMap::new();
        for group in 0..groups {
            let node = best_node(&sound, group)?;
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

/// Whether a node with such a share of a core sends all legs of a gather by itself.
fn works_alone(legs: usize, processor_share: f64, target_latency_ms: u64) -> bool {
    let alone_us = legs as f64 * PART_COST_US / processor_share.max(0.01);
    alone_us <= target_latency_ms as f64 * 1_000.0 / OWN_PART_DIVISOR
}

/// The node with the highest score for a group, weighted by its share of a core.
fn best_node<'a>(nodes: &[&'a PeerNode], group: usize) -> Option<&'a PeerNode> {
    let best = nodes
        .iter()
        .max_by(|a, b| score(a, group as u64).total_cmp(&score(b, group as u64)));
    best.copied()
}
