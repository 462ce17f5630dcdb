//! Rankings and groups of members, derived from the state of each member. A rank is a node's
//! position in a fixed pseudorandom order, which decides who acts first.

use fastrand::Rng;

use crate::Fleet;
use crate::ListedState;
use crate::Member;
use crate::limits;
use crate::rendezvous;
use wigeonhall_types::NodeKey;

/// Groups and ranking of members; rebuilt when a member joins, dies, leaves or moves.
#[derive(Debug)]
pub(crate) struct MemberGroups {
    /// Members declared dead that the VM list does not show as gone.
    dead: Vec<NodeKey>,
    /// Whether a member changed since the last rebuild.
    pub(crate) dirty: bool,
    /// Reachable peers in other data centres of the region.
    pub(crate) region_peers: Vec<NodeKey>,
    /// Reachable peers in the same data centre.
    pub(crate) dc_peers: Vec<NodeKey>,
    /// Reachable peers in other regions or of unknown location.
    pub(crate) remote_peers: Vec<NodeKey>,
    /// Nodes of the data centre that are in service, including this one, lowest rank first.
    pub(crate) ranked_nodes: Vec<NodeKey>,
    /// Rank of this node in `ranked_nodes`.
    rank: usize,
    /// Whether this node is one of the nodes that watch the store for the region.
    pub(crate) is_watcher: bool,
}

impl MemberGroups {
    pub(crate) fn new() -> Self {
        Self {
            dead: Vec::new(),
            dirty: true,
            region_peers: Vec::new(),
            dc_peers: Vec::new(),
            rank: 0,
            ranked_nodes: Vec::new(),
            remote_peers: Vec::new(),
            is_watcher: false,
        }
    }

    /// Returns the rank of this node in `ranked_nodes`.
    pub(crate) fn own_rank(&self) -> usize {
        self.rank
    }

    pub(crate) fn peer_count(&self) -> usize {
        self.dc_peers.len() + self.region_peers.len() + self.remote_peers.len()
    }

    pub(crate) fn peers(&self) -> Vec<NodeKey> {
        let groups = [&self.dc_peers, &self.region_peers, &self.remote_peers];
        groups.into_iter().flatten().copied().collect()
    }

    /// Returns a random reachable peer.
    pub(crate) fn random_peer(&self, rng: &mut Rng) -> Option<NodeKey> {
        let index = rng.usize(..self.peer_count().max(1));
        let region_index = index.wrapping_sub(self.dc_peers.len());
        let remote_index = region_index.wrapping_sub(self.region_peers.len());
        let peer = self.dc_peers.get(index);
        peer.or_else(|| self.region_peers.get(region_index))
            .or_else(|| self.remote_peers.get(remote_index))
            .copied()
    }

    pub(crate) fn random_dead_member(&self, rng: &mut Rng) -> Option<NodeKey> {
        rng.choice(&self.dead).copied()
    }

    /// Returns a random known node, reachable or not.
    pub(crate) fn random_member(&self, rng: &mut Rng) -> Option<NodeKey> {
        let index = rng.usize(..(self.peer_count() + self.dead.len()).max(1));
        if index < self.peer_count() {
            self.random_peer(rng)
        } else {
            self.random_dead_member(rng)
        }
    }
}

impl Fleet {
    /// Rebuilds the groups if a member changed.
    pub(crate) fn refresh_groups(&mut self) {
        if !std::mem::take(&mut self.groups.dirty) {
            return;
        }
        let own_dc = self.settings.data_centre;
        let groups = &mut self.groups;
        for group in [
            &mut groups.dead,
            &mut groups.region_peers,
            &mut groups.dc_peers,
            &mut groups.remote_peers,
        ] {
            group.clear();
        }
        let own_hash = self.own_hash;
        let mut ranked_nodes = vec![(rendezvous::rank(self.dc_hash, own_hash), self.settings.node)];
        let own_watch_rank = rendezvous::rank(self.region_hash, own_hash);
        let mut watchers_before = 0;
        for (&node, member) in &self.membership.members {
            let same_dc = member.data_centre == Some(own_dc);
            if !member.reachable() {
                if member.listing != ListedState::Gone {
                    groups.dead.push(node);
                }
                continue;
            }
            let group = match (same_dc, member.same_region) {
                (true, _) => &mut groups.dc_peers,
                (_, true) => &mut groups.region_peers,
                _ => &mut groups.remote_peers,
            };
            group.push(node);
            if !remains_in_service(member) {
                continue;
            }
            if same_dc && member.boot_known() {
                ranked_nodes.push((rendezvous::rank(self.dc_hash, member.hash), node));
            }
            let watch_rank = rendezvous::rank(self.region_hash, member.hash);
            if (same_dc || member.same_region) && watch_rank < own_watch_rank {
                watchers_before += 1;
            }
        }
        ranked_nodes.sort_unstable();
        groups.ranked_nodes = ranked_nodes.into_iter().map(|(_, node)| node).collect();
        let own = self.settings.node;
        groups.rank = groups
            .ranked_nodes
            .iter()
            .position(|&it| it == own)
            .unwrap_or(0);
        groups.is_watcher = watchers_before < crate::WATCHERS_PER_REGION;
        self.ownership.recheck_table = true;
    }

    /// Returns random peers to push to. Their number grows with the logarithm of the member
    /// count; half of them are in the own data centre and at least one is in another
    /// region, if there are such peers.
    pub(crate) fn random_push_peers(&mut self) -> Vec<NodeKey> {
        let count = self.groups.peer_count();
        if count == 0 {
            return Vec::new();
        }
        let degree = count.ilog2() as usize + limits::PUSH_PEERS_EXTRA;
        let groups = &self.groups;
        let rng = &mut self.rng;
        let remote_peers = sample(rng, &groups.remote_peers, degree.div_ceil(4));
        let region_peers = sample(rng, &groups.region_peers, degree.div_ceil(4));
        let dc_peers = sample(
            rng,
            &groups.dc_peers,
            degree - region_peers.len() - remote_peers.len(),
        );
        [dc_peers, region_peers, remote_peers].concat()
    }
}

/// Returns whether the member, if reachable, counts in the rankings that decide which nodes
/// watch the store and propose tables. For watches, nodes that only the deployment or the VM
/// list names count until probes find them dead, so that a starting fleet does not watch from
/// every node.
fn remains_in_service(member: &Member) -> bool {
    !member.leaving && !matches!(member.listing, ListedState::Gone | ListedState::Leaving)
}

/// Returns up to `count` distinct random nodes.
pub(crate) fn sample(rng: &mut Rng, from: &[NodeKey], count: usize) -> Vec<NodeKey> {
    if from.len() <= count {
        return from.to_vec();
    }
    let mut chosen = Vec::with_capacity(count);
    while chosen.len() < count {
        let node = from[rng.usize(..from.len())];
        if !chosen.contains(&node) {
            chosen.push(node);
        }
    }
    chosen
}
