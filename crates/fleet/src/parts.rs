//! Fetches the parts of a new generation: from peers, else from the store.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::ConfigManifest;
use crate::Fleet;
use crate::FleetAction;
use crate::GossipMessage;
use crate::PartHash;
use crate::PullItem;
use crate::limits;
use crate::step::Step;
use wigeonhall_types::NodeKey;

/// A list, some of whose parts are not here.
#[derive(Debug)]
pub(crate) struct Incoming {
    /// The peer whose answer is awaited.
    asked: Option<NodeKey>,
    /// When to ask the next peer.
    due_us: u64,
    /// Whether the list came from the store.
    pub(crate) from_store: bool,
    /// Parts of the list that are here.
    pub(crate) held: BTreeMap<PartHash, Arc<str>>,
    pub(crate) list: ConfigManifest,
    missing: BTreeSet<PartHash>,
    /// Parts that are not read from the store before the given time: a read is
    /// outstanding, failed or found nothing.
    reading: BTreeMap<PartHash, u64>,
    /// Requests to peers since the last part that a peer sent.
    silent: u32,
    /// Peers that announced the generation.
    sources: Vec<NodeKey>,
}

impl Incoming {
    /// Up to `limit` missing parts that match, from a place that `offset` chooses, so
    /// that nodes which all lack everything fetch different parts.
    fn some_missing(&self, offset: usize, limit: usize, unread: bool) -> Vec<PartHash> {
        let matching = |it: &&PartHash| !unread || !self.reading.contains_key(*it);
        let missing: Vec<_> = self.missing.iter().filter(matching).copied().collect();
        let offset = offset % missing.len().max(1);
        let rotated = missing[offset..].iter().chain(&missing[..offset]);
        rotated.take(limit).copied().collect()
    }

    /// Takes a part if it is missing; returns whether it was.
    fn take(&mut self, part: Arc<str>) -> bool {
        let hash = PartHash::of(&part);
        let missing = self.missing.remove(&hash);
        if missing {
            self.held.insert(hash, part);
        }
        missing
    }
}

impl Fleet {
    /// Replaces an older incomplete list; its parts are kept if the new one has them.
    pub(crate) fn await_parts(&mut self, list: ConfigManifest, from_store: bool) {
        let mut known = std::mem::take(&mut self.configuration.incoming)
            .map_or_else(BTreeMap::new, |old| old.held);
        let mut held = BTreeMap::new();
        let mut missing = BTreeSet::new();
        for &hash in &list.parts {
            let part = self.configuration.parts.get(&hash).cloned();
            if let Some(part) = part.or_else(|| known.remove(&hash)) {
                held.insert(hash, part);
            } else if !held.contains_key(&hash) {
                missing.insert(hash);
            }
        }
        self.configuration.incoming = Some(Incoming {
            asked: None,
            due_us: 0,
            from_store,
            held,
            list,
            missing,
            reading: BTreeMap::new(),
            silent: 0,
            sources: Vec::new(),
        });
    }

    /// Notes that a peer has all parts of the awaited generation.
    pub(crate) fn add_part_source(&mut self, step: &mut Step<'_>, generation: u64, from: NodeKey) {
        let Some(incoming) = &mut self.configuration.incoming else {
            return;
        };
        if incoming.list.generation != generation || incoming.sources.contains(&from) {
            return;
        }
        let asked = incoming.asked;
        let waits = asked.is_some_and(|it| incoming.sources.contains(&it));
        if incoming.sources.len() < limits::PULL_SOURCES {
            incoming.sources.push(from);
        }
        if !waits && !incoming.missing.is_empty() {
            self.ask_for_parts(step, from);
        }
    }

    /// Takes parts from wherever they came and completes the generation with the last.
    pub(crate) fn take_parts(&mut self, step: &mut Step<'_>, parts: Vec<Arc<str>>) -> bool {
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
            self.complete(step, incoming);
        }
        progress
    }

    /// Takes a peer's parts; asks it for more, or another peer if it has none.
    pub(crate) fn on_parts(&mut self, step: &mut Step<'_>, from: NodeKey, parts: Vec<Arc<str>>) {
        let progress = self.take_parts(step, parts);
        let Some(incoming) = &mut self.configuration.incoming else {
            return;
        };
        if progress {
            incoming.silent = 0;
        }
        if incoming.asked != Some(from) {
            return;
        }
        incoming.asked = None;
        if progress {
            self.ask_for_parts(step, from);
        } else {
            incoming.sources.retain(|&it| it != from);
            if let Some(&next) = incoming.sources.first() {
                self.ask_for_parts(step, next);
            }
        }
    }

    fn ask_for_parts(&mut self, step: &mut Step<'_>, peer: NodeKey) {
        let offset = self.rng.usize(..);
        let Some(incoming) = &mut self.configuration.incoming else {
            return;
        };
        incoming.asked = Some(peer);
        incoming.due_us = step.now_us + limits::PULL_RETRY_US;
        incoming.silent += 1;
        let hashes = incoming.some_missing(offset, limits::PARTS_ASKED, false);
        self.send(step, peer, GossipMessage::Pull(PullItem::Parts(hashes)));
    }

    /// Those of the parts that this node has, as many as a message takes.
    pub(crate) fn parts_message(&self, hashes: &[PartHash]) -> GossipMessage {
        let incoming = self.configuration.incoming.as_ref();
        let find = |hash: &PartHash| {
            let part = self.configuration.parts.get(hash);
            part.or_else(|| incoming.and_then(|it| it.held.get(hash)))
        };
        let mut bytes = 0;
        let fits = |part: &&Arc<str>| {
            bytes += part.len();
            bytes <= limits::PARTS_BYTES
        };
        let asked = hashes.iter().take(limits::PARTS_ASKED);
        let parts = asked.filter_map(find).take_while(fits);
        GossipMessage::Parts(parts.cloned().collect())
    }

    /// Takes a part from the store. A watcher reads on; any other node asks its peers
    /// again first.
    pub(crate) fn on_part_read(
        &mut self,
        step: &mut Step<'_>,
        hash: PartHash,
        part: Option<Arc<str>>,
    ) {
        self.lease.store_ok_us = Some(step.now_us);
        let Some(part) = part else {
            // Another list is in force, or the store holds the text in the old form.
            self.read_list(step);
            return;
        };
        if let Some(incoming) = &mut self.configuration.incoming {
            incoming.reading.remove(&hash);
        }
        self.take_parts(step, vec![part]);
        if self.watches() {
            self.read_parts(step);
        }
    }

    pub(crate) fn on_part_read_failed(&mut self, step: &Step<'_>, hash: PartHash) {
        let incoming = self.configuration.incoming.as_mut();
        if let Some(until) = incoming.and_then(|it| it.reading.get_mut(&hash)) {
            *until = step.now_us + limits::STORE_RETRY_US;
        }
    }

    /// Reads missing parts from the store, `PART_READS` at a time.
    fn read_parts(&mut self, step: &mut Step<'_>) {
        let offset = self.rng.usize(..);
        let Some(incoming) = &mut self.configuration.incoming else {
            return;
        };
        let free = limits::PART_READS.saturating_sub(incoming.reading.len());
        for hash in incoming.some_missing(offset, free, true) {
            let until = step.now_us + limits::READ_TIMEOUT_US;
            incoming.reading.insert(hash, until);
            self.counters.store_reads += 1;
            step.push(FleetAction::ReadPart(hash));
        }
    }

    /// Whether this node knows that it is one of the few that watch the store; before it
    /// knows a deployment every node takes itself for one.
    fn watches(&self) -> bool {
        self.views.watcher && self.configuration.base.is_some()
    }

    /// Whether this node reads the store after `silent` requests without a part: a few
    /// nodes of the fleet do at first, and more the longer the silence lasts.
    fn reads_after(&mut self, silent: u32) -> bool {
        let Some(longer) = silent.checked_sub(limits::SILENT_ASKS) else {
            return false;
        };
        let doubled = (longer / limits::SILENT_ASKS_DOUBLE).min(32);
        let members = self.named().len() as u64;
        self.rng.u64(..members.max(1)) < limits::PART_READERS << doubled
    }

    pub(crate) fn run_parts(&mut self, step: &mut Step<'_>) {
        let now = step.now_us;
        let Some(incoming) = &mut self.configuration.incoming else {
            return;
        };
        if incoming.due_us > now {
            return;
        }
        incoming.due_us = now + limits::PULL_RETRY_US;
        incoming.reading.retain(|_, &mut until| until > now);
        let (silent, from_store) = (incoming.silent, incoming.from_store);
        let source = if incoming.sources.is_empty() {
            None
        } else {
            incoming.sources.rotate_left(1);
            incoming.sources.first().copied()
        };
        let watches = from_store && self.watches();
        if watches || self.reads_after(silent) {
            self.read_parts(step);
        }
        let peer = source.or_else(|| self.views.random_any(&mut self.rng));
        if let Some(peer) = peer {
            self.ask_for_parts(step, peer);
        } else if let Some(incoming) = &mut self.configuration.incoming {
            incoming.silent += 1;
        }
    }

    pub(crate) fn parts_wake_us(&self) -> u64 {
        let incoming = self.configuration.incoming.as_ref();
        incoming.map_or(u64::MAX, |it| it.due_us)
    }
}
