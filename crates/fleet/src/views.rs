//! Orders and groups of members that are derived from their states.

use fastrand::Rng;

use crate::Fleet;
use crate::Listing;
use crate::Member;
use crate::limits;
use crate::rendezvous;
use wigeonhall_types::NodeKey;

/// Computed again when a member lives, dies, leaves or moves.
#[derive(Debug)]
pub(crate) struct Views {
    dead: Vec<NodeKey>,
    pub(crate) dirty: bool,
    /// Reachable peers of other data centres of the region.
    pub(crate) far: Vec<NodeKey>,
    /// Reachable peers of the data centre.
    pub(crate) near: Vec<NodeKey>,
    /// Reachable peers of other regions, or of unknown place.
    pub(crate) remote: Vec<NodeKey>,
    /// Live nodes of the data centre, this one too, lowest rank first.
    pub(crate) ranked: Vec<NodeKey>,
    rank: usize,
    /// Whether this node is one of the region's watchers.
    pub(crate) watcher: bool,
}

impl Views {
    pub(crate) fn new() -> Self {
        Self {
            dead: Vec::new(),
            dirty: true,
            far: Vec::new(),
            near: Vec::new(),
            rank: 0,
            ranked: Vec::new(),
            remote: Vec::new(),
            watcher: false,
        }
    }

    /// Rank of this node among the live nodes of its data centre.
    pub(crate) fn own_rank(&self) -> usize {
        self.rank
    }

    pub(crate) fn peer_count(&self) -> usize {
        self.near.len() + self.far.len() + self.remote.len()
    }

    pub(crate) fn peers(&self) -> Vec<NodeKey> {
        let groups = [&self.near, &self.far, &self.remote];
        groups.into_iter().flatten().copied().collect()
    }

    /// A reachable peer.
    pub(crate) fn random(&self, rng: &mut Rng) -> Option<NodeKey> {
        let index = rng.usize(..self.peer_count().max(1));
        let far = index.wrapping_sub(self.near.len());
        let remote = far.wrapping_sub(self.far.len());
        let near = self.near.get(index);
        near.or_else(|| self.far.get(far))
            .or_else(|| self.remote.get(remote))
            .copied()
    }

    pub(crate) fn random_dead(&self, rng: &mut Rng) -> Option<NodeKey> {
        rng.choice(&self.dead).copied()
    }

    /// A known node, reachable or not.
    pub(crate) fn random_any(&self, rng: &mut Rng) -> Option<NodeKey> {
        let index = rng.usize(..(self.peer_count() + self.dead.len()).max(1));
        if index < self.peer_count() {
            self.random(rng)
        } else {
            self.random_dead(rng)
        }
    }
}

impl Fleet {
    pub(crate) fn refresh_views(&mut self) {
        if !std::mem::take(&mut self.views.dirty) {
            return;
        }
        let own_dc = self.config.data_centre;
        let views = &mut self.views;
        for group in [
            &mut views.dead,
            &mut views.far,
            &mut views.near,
            &mut views.remote,
        ] {
            group.clear();
        }
        let own_hash = self.own_hash;
        let mut ranked = vec![(rendezvous::rank(self.dc_hash, own_hash), self.config.node)];
        let own_watch = rendezvous::rank(self.region_hash, own_hash);
        let mut before = 0;
        for (&node, member) in &self.membership.members {
            let near = member.data_centre == Some(own_dc);
            if !member.reachable() {
                if member.listing != Listing::Gone {
                    views.dead.push(node);
                }
                continue;
            }
            let group = match (near, member.same_region) {
                (true, _) => &mut views.near,
                (_, true) => &mut views.far,
                _ => &mut views.remote,
            };
            group.push(node);
            if !stays(member) {
                continue;
            }
            if near && member.heard() {
                ranked.push((rendezvous::rank(self.dc_hash, member.hash), node));
            }
            let watch = rendezvous::rank(self.region_hash, member.hash);
            if (near || member.same_region) && watch < own_watch {
                before += 1;
            }
        }
        ranked.sort_unstable();
        views.ranked = ranked.into_iter().map(|(_, node)| node).collect();
        let own = self.config.node;
        views.rank = views.ranked.iter().position(|&it| it == own).unwrap_or(0);
        views.watcher = before < crate::WATCHERS_PER_REGION;
        self.ownership.check = true;
    }

    /// Random peers to push to: a number logarithmic in that of all members, half
    /// of them in the own data centre and at least one in another region.
    pub(crate) fn neighbours(&mut self) -> Vec<NodeKey> {
        let count = self.views.peer_count();
        if count == 0 {
            return Vec::new();
        }
        let degree = count.ilog2() as usize + limits::PUSH_EXTRA;
        let views = &self.views;
        let rng = &mut self.rng;
        let remote = choose(rng, &views.remote, degree.div_ceil(4));
        let far = choose(rng, &views.far, degree.div_ceil(4));
        let near = choose(rng, &views.near, degree - far.len() - remote.len());
        [near, far, remote].concat()
    }
}

/// Whether the node counts for watching, reading and proposing while it lives.
/// Named nodes count as watchers until probes find them dead, so that a starting
/// fleet does not watch from every node.
fn stays(member: &Member) -> bool {
    !member.leaving && !matches!(member.listing, Listing::Gone | Listing::Leaving)
}

pub(crate) fn choose(rng: &mut Rng, from: &[NodeKey], count: usize) -> Vec<NodeKey> {
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
