//! Fetches the missing parts of a new generation, first from peers and then from the store.
//!
//! A generation is a version of the configuration. Its manifest lists the hashes of the parts of
//! its text. A few nodes of each region, the watchers, keep a watch on the manifest in the store.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::ConfigManifest;
use crate::Fleet;
use crate::FleetAction;
use crate::GossipMessage;
use crate::PartHash;
use crate::PullItem;
use crate::event_context::EventContext;
use crate::limits;
use wigeonhall_types::NodeKey;

/// Manifest of a generation, some of whose parts are still missing.
#[derive(Debug)]
pub(crate) struct IncomingConfig {
    /// Peer whose reply is awaited.
    awaited_peer: Option<NodeKey>,
    /// When parts are next requested.
    due_us: u64,
    /// Whether the manifest came from the store rather than from a peer.
    pub(crate) from_store: bool,
    /// Parts that have arrived.
    pub(crate) available: BTreeMap<PartHash, Arc<str>>,
    pub(crate) manifest: ConfigManifest,
    missing: BTreeSet<PartHash>,
    /// Parts that are not read from the store before the given time, because a read of them
    /// is outstanding, failed or found nothing.
    reads_blocked_until: BTreeMap<PartHash, u64>,
    /// Requests to peers since a peer last sent a new part.
    requests_since_part: u32,
    /// Peers that have all parts of the generation.
    sources: Vec<NodeKey>,
}

impl IncomingConfig {
    /// Returns up to `limit` missing parts, starting at a position given by `offset`, so
    /// that nodes which all lack every part fetch different ones. With `skip_blocked`,
    /// skips the parts in `reads_blocked_until`.
    fn select_missing(&self, offset: usize, limit: usize, skip_blocked: bool) -> Vec<PartHash> {
        let matching =
            |it: &&PartHash| !skip_blocked || !self.reads_blocked_until.contains_key(*it);
        let missing: Vec<_> = self.missing.iter().filter(matching).copied().collect();
        let offset = offset % missing.len().max(1);
        let rotated = missing[offset..].iter().chain(&missing[..offset]);
        rotated.take(limit).copied().collect()
    }

    /// Stores a part if it is missing; returns whether it was.
    fn take(&mut self, part: Arc<str>) -> bool {
        let hash = PartHash::of(&part);
        let missing = self.missing.remove(&hash);
        if missing {
            self.available.insert(hash, part);
        }
        missing
    }
}

impl Fleet {
    /// Starts to collect the parts of `manifest`, replacing an older incomplete manifest.
    /// Parts that both generations share are kept.
    pub(crate) fn start_incoming(&mut self, manifest: ConfigManifest, from_store: bool) {
        let mut known = std::mem::take(&mut self.configuration.incoming)
            .map_or_else(BTreeMap::new, |old| old.available);
        let mut available = BTreeMap::new();
        let mut missing = BTreeSet::new();
        for &hash in &manifest.parts {
            let part = self.configuration.parts.get(&hash).cloned();
            if let Some(part) = part.or_else(|| known.remove(&hash)) {
                available.insert(hash, part);
            } else if !available.contains_key(&hash) {
                missing.insert(hash);
            }
        }
        self.configuration.incoming = Some(IncomingConfig {
            awaited_peer: None,
            due_us: 0,
            from_store,
            available,
            manifest,
            missing,
            reads_blocked_until: BTreeMap::new(),
            requests_since_part: 0,
            sources: Vec::new(),
        });
    }

    /// Records that a peer has all parts of the incoming generation, and asks it for parts
    /// unless a reply is awaited from another such peer.
    pub(crate) fn add_part_source(
        &mut self,
        cx: &mut EventContext<'_>,
        generation: u64,
        from: NodeKey,
    ) {
        let Some(incoming) = &mut self.configuration.incoming else {
            return;
        };
        if incoming.manifest.generation != generation || incoming.sources.contains(&from) {
            return;
        }
        let awaited_peer = incoming.awaited_peer;
        let awaiting_source = awaited_peer.is_some_and(|it| incoming.sources.contains(&it));
        if incoming.sources.len() < limits::PULL_SOURCES_MAX {
            incoming.sources.push(from);
        }
        if !awaiting_source && !incoming.missing.is_empty() {
            self.request_parts(cx, from);
        }
    }

    /// Stores parts from any source and adopts the generation once none is missing. Returns
    /// whether a missing part was among them.
    pub(crate) fn accept_parts(&mut self, cx: &mut EventContext<'_>, parts: Vec<Arc<str>>) -> bool {
        let Some(incoming) = &mut self.configuration.incoming else {
            return false;
        };
        let mut progress = false;
        for part in parts {
            progress |= incoming.take(part);
        }
        if incoming.missing.is_empty()
            && let Some(incoming) = self.configuration.incoming.take()
        {
            self.adopt_incoming(cx, incoming);
        }
        progress
    }

    /// Handles parts from a peer: asks it for more, or asks another source if it sent none
    /// that were missing.
    pub(crate) fn on_parts(
        &mut self,
        cx: &mut EventContext<'_>,
        from: NodeKey,
        parts: Vec<Arc<str>>,
    ) {
        let progress = self.accept_parts(cx, parts);
        let Some(incoming) = &mut self.configuration.incoming else {
            return;
        };
        if progress {
            incoming.requests_since_part = 0;
        }
        if incoming.awaited_peer != Some(from) {
            return;
        }
        incoming.awaited_peer = None;
        if progress {
            self.request_parts(cx, from);
        } else {
            incoming.sources.retain(|&it| it != from);
            if let Some(&next) = incoming.sources.first() {
                self.request_parts(cx, next);
            }
        }
    }

    fn request_parts(&mut self, cx: &mut EventContext<'_>, peer: NodeKey) {
        let offset = self.rng.usize(..);
        let Some(incoming) = &mut self.configuration.incoming else {
            return;
        };
        incoming.awaited_peer = Some(peer);
        incoming.due_us = cx.now_us + limits::PULL_RETRY_INTERVAL_US;
        incoming.requests_since_part += 1;
        let hashes = incoming.select_missing(offset, limits::PARTS_PER_REQUEST_MAX, false);
        self.send(cx, peer, GossipMessage::Pull(PullItem::Parts(hashes)));
    }

    /// Returns a message with the requested parts that this node has, as many as fit.
    pub(crate) fn parts_message(&self, hashes: &[PartHash]) -> GossipMessage {
        let incoming = self.configuration.incoming.as_ref();
        let find = |hash: &PartHash| {
            let part = self.configuration.parts.get(hash);
            part.or_else(|| incoming.and_then(|it| it.available.get(hash)))
        };
        let mut bytes = 0;
        let fits = |part: &&Arc<str>| {
            bytes += part.len();
            bytes <= limits::PARTS_MESSAGE_BYTES
        };
        let requested = hashes.iter().take(limits::PARTS_PER_REQUEST_MAX);
        let parts = requested.filter_map(find).take_while(fits);
        GossipMessage::Parts(parts.cloned().collect())
    }

    /// Handles a part read from the store. A watcher goes on to read the next parts; any other
    /// node first asks its peers again.
    pub(crate) fn on_part_read(
        &mut self,
        cx: &mut EventContext<'_>,
        hash: PartHash,
        part: Option<Arc<str>>,
    ) {
        self.lease.store_answered_us = Some(cx.now_us);
        let Some(part) = part else {
            // Either a newer manifest was accepted, or the store holds the text in the old
            // format, which has no parts.
            self.read_manifest(cx);
            return;
        };
        if let Some(incoming) = &mut self.configuration.incoming {
            incoming.reads_blocked_until.remove(&hash);
        }
        self.accept_parts(cx, vec![part]);
        if self.is_known_watcher() {
            self.read_parts(cx);
        }
    }

    pub(crate) fn on_part_read_failed(&mut self, cx: &EventContext<'_>, hash: PartHash) {
        let incoming = self.configuration.incoming.as_mut();
        if let Some(until) = incoming.and_then(|it| it.reads_blocked_until.get_mut(&hash)) {
            *until = cx.now_us + limits::STORE_RETRY_INTERVAL_US;
        }
    }

    /// Reads missing parts from the store, with at most [`limits::PART_READS_MAX`] reads
    /// outstanding.
    fn read_parts(&mut self, cx: &mut EventContext<'_>) {
        let offset = self.rng.usize(..);
        let Some(incoming) = &mut self.configuration.incoming else {
            return;
        };
        let capacity = limits::PART_READS_MAX.saturating_sub(incoming.reads_blocked_until.len());
        for hash in incoming.select_missing(offset, capacity, true) {
            let until = cx.now_us + limits::READ_TIMEOUT_US;
            incoming.reads_blocked_until.insert(hash, until);
            self.counters.store_reads += 1;
            cx.push(FleetAction::ReadPart(hash));
        }
    }

    /// Returns whether this node is known to be one of the region's watchers. Before it has
    /// a deployment, every node considers itself one.
    fn is_known_watcher(&self) -> bool {
        self.groups.is_watcher && self.configuration.base.is_some()
    }

    /// Returns whether this node reads the store after `requests_since_part` requests
    /// without a new part. At first the expected number of such nodes in the fleet is
    /// [`limits::PART_READERS`]; it doubles with further requests without a new part.
    fn should_read_store(&mut self, requests_since_part: u32) -> bool {
        let Some(excess) = requests_since_part.checked_sub(limits::STORE_READ_AFTER_REQUESTS)
        else {
            return false;
        };
        let doublings = (excess / limits::READERS_DOUBLE_AFTER_REQUESTS).min(32);
        let members = self.known_nodes().len() as u64;
        self.rng.u64(..members.max(1)) < limits::PART_READERS << doublings
    }

    pub(crate) fn run_parts(&mut self, cx: &mut EventContext<'_>) {
        let now = cx.now_us;
        let Some(incoming) = &mut self.configuration.incoming else {
            return;
        };
        if incoming.due_us > now {
            return;
        }
        incoming.due_us = now + limits::PULL_RETRY_INTERVAL_US;
        incoming
            .reads_blocked_until
            .retain(|_, &mut until| until > now);
        let (requests_since_part, from_store) = (incoming.requests_since_part, incoming.from_store);
        let source = if incoming.sources.is_empty() {
            None
        } else {
            incoming.sources.rotate_left(1);
            incoming.sources.first().copied()
        };
        let is_known_watcher = from_store && self.is_known_watcher();
        if is_known_watcher || self.should_read_store(requests_since_part) {
            self.read_parts(cx);
        }
        let peer = source.or_else(|| self.groups.random_member(&mut self.rng));
        if let Some(peer) = peer {
            self.request_parts(cx, peer);
        } else if let Some(incoming) = &mut self.configuration.incoming {
            incoming.requests_since_part += 1;
        }
    }

    pub(crate) fn parts_wake_us(&self) -> u64 {
        let incoming = self.configuration.incoming.as_ref();
        incoming.map_or(u64::MAX, |it| it.due_us)
    }
}
