use std::net::SocketAddr;
use std::sync::Arc;

use crate::PeerNode;
use crate::Peers;
use crate::rendezvous;

/// Nodes of a data centre for each one that reads the store; a reader passes on what it
/// reads to about as many others.
const NODES_PER_READER: usize = 12;

/// Key by which nodes are ranked as readers.
const READER_KEY: u64 = u64::MAX;

/// How a node learns of changes in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReadingRole {
    /// It follows one of these nodes, the first that can be followed.
    Follower(Vec<(Arc<str>, SocketAddr)>),
    /// It reads the store, and passes changes on to others.
    Reader,
}

impl Peers {
    /// Whether the node reads the store or follows others of its data centre.
    ///
    /// Nodes that know the same nodes agree. Nobody relies on that: a node that finds no
    /// other to follow reads the store. A node that `can_read` no more passes itself over.
    #[must_use]
    pub fn reading_role(&self, now_us: u64, can_read: bool) -> ReadingRole {
        let usable = |node: &&PeerNode| {
            let able = can_read || node.name != self.own().name;
            able && self.unreadable.is_sound(now_us, &node.name)
        };
        let mut readers: Vec<&PeerNode> = self.nodes.iter().filter(usable).collect();
        readers.sort_by(|a, b| by_score(a, b, READER_KEY));
        readers.truncate(self.nodes.len().div_ceil(NODES_PER_READER));
        let own = self.own();
        if readers.is_empty() || readers.iter().any(|node| node.name == own.name) {
            return ReadingRole::Reader;
        }
        // Each follower has an order of its own, which spreads them over the readers.
        let own_key = rendezvous::key_of(&own.name);
        readers.sort_by(|a, b| by_score(a, b, own_key));
        let sources = readers.iter().map(|node| (node.name.clone(), node.address));
        ReadingRole::Follower(sources.collect())
    }

    /// Leaves a node alone for a while, as one that could not be followed.
    pub fn suspect_reader(&mut self, now_us: u64, name: &Arc<str>) {
        self.unreadable.suspect(now_us, name);
    }

    /// Records that a node can be followed.
    pub fn followed(&mut self, name: &Arc<str>) {
        self.unreadable.clear(name);
    }
}

fn by_score(a: &PeerNode, b: &PeerNode, key: u64) -> std::cmp::Ordering {
    rendezvous::score(b, key).total_cmp(&rendezvous::score(a, key))
}
