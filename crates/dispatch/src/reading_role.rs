use std::net::SocketAddr;
use std::sync::Arc;

use crate::PeerNode;
use crate::Peers;
use crate::rendezvous;

/// Number of nodes of a data centre per reader, a node that reads the store; a reader passes on
/// the changes to about as many followers.
const NODES_PER_READER: usize = 12;

/// Rendezvous key by which nodes are ranked as readers.
const READER_KEY: u64 = u64::MAX;

/// How a node receives the changes of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReadingRole {
    /// It receives changes from one of these nodes, the first that can be reached.
    Follower(Vec<(Arc<str>, SocketAddr)>),
    /// It reads the store and passes changes on to followers.
    Reader,
}

impl Peers {
    /// Returns whether this node reads the store or follows other nodes of its data centre.
    ///
    /// Nodes that know the same set of nodes agree on the readers, but nothing depends on it:
    /// a node that finds no other node to follow reads the store. A node that can no longer
    /// read the store (`can_read` is false) excludes itself.
    #[must_use]
    pub fn reading_role(&self, now_us: u64, can_read: bool) -> ReadingRole {
        let usable = |node: &&PeerNode| {
            let able = can_read || node.name != self.own().name;
            able && self.reader_backoffs.is_usable(now_us, &node.name)
        };
        let mut readers: Vec<&PeerNode> = self.nodes.iter().filter(usable).collect();
        readers.sort_by(|a, b| compare_scores(a, b, READER_KEY));
        readers.truncate(self.nodes.len().div_ceil(NODES_PER_READER));
        let own = self.own();
        if readers.is_empty() || readers.iter().any(|node| node.name == own.name) {
            return ReadingRole::Reader;
        }
        // Each follower orders the readers by its own key, which spreads the followers over
        // the readers.
        let follower_key = rendezvous::hash_name(&own.name);
        readers.sort_by(|a, b| compare_scores(a, b, follower_key));
        let sources = readers.iter().map(|node| (node.name.clone(), node.address));
        ReadingRole::Follower(sources.collect())
    }

    /// Records that a node could not be followed or, for this node, could not read the store; it
    /// is not used as a reader until its backoff has passed.
    pub fn suspect_reader(&mut self, now_us: u64, name: &Arc<str>) {
        self.reader_backoffs.record_failure(now_us, name);
    }

    /// Records that a node was followed or, for this node, read the store, which ends its
    /// backoff.
    pub fn clear_reader_suspicion(&mut self, name: &Arc<str>) {
        self.reader_backoffs.clear(name);
    }
}

fn compare_scores(a: &PeerNode, b: &PeerNode, key: u64) -> std::cmp::Ordering {
    rendezvous::score(b, key).total_cmp(&rendezvous::score(a, key))
}
