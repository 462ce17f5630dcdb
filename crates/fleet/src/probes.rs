//! Failure detection: probes other nodes, directly and through peers.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::Fleet;
use crate::GossipMessage;
use crate::MemberState;
use crate::MemberUpdate;
use crate::event_context::EventContext;
use crate::limits;
use wigeonhall_types::NodeKey;

/// Outstanding probe of the round, a pass through all peers.
#[derive(Debug)]
struct Probe {
    indirect: bool,
    sent_us: u64,
    target: NodeKey,
}

/// Probe that this node sends on behalf of another node.
#[derive(Debug)]
struct RelayedProbe {
    requester: NodeKey,
    sequence: u64,
}

/// Outstanding probes that this node sends for itself and on behalf of others.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    /// Time of the next probe of a dead member.
    dead_due_us: u64,
    /// Time of the next probe of the round.
    due_us: u64,
    /// Members still to probe in this round, in random order.
    queue: Vec<NodeKey>,
    /// Probes on behalf of other nodes, by the sequence number of this node's probe.
    relays: BTreeMap<u64, RelayedProbe>,
    current: Option<Probe>,
    sequence: u64,
}

impl Probes {
    pub(crate) fn wake_us(&self) -> u64 {
        let current = self.current.as_ref();
        let indirect = current
            .filter(|it| !it.indirect)
            .map_or(u64::MAX, |it| it.sent_us + limits::PROBE_TIMEOUT_US);
        indirect.min(self.due_us)
    }

    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }
}

impl Fleet {
    pub(crate) fn run_probes(&mut self, cx: &mut EventContext<'_>) {
        if self.membership.probes.due_us <= cx.now_us {
            self.membership.probes.due_us = cx.now_us + limits::PROBE_INTERVAL_US;
            self.end_probe(cx);
            self.start_probe(cx);
        }
    }

    /// Asks random peers to probe the current target once the direct probe has timed out.
    pub(crate) fn run_indirect_probe(&mut self, cx: &mut EventContext<'_>) {
        let Some(probe) = &mut self.membership.probes.current else {
            return;
        };
        if probe.indirect || cx.now_us < probe.sent_us + limits::PROBE_TIMEOUT_US {
            return;
        }
        probe.indirect = true;
        let target = probe.target;
        let name = cx.catalog.node_name(target);
        for _ in 0..limits::INDIRECT_PROBES {
            let Some(peer) = self
                .groups
                .random_peer(&mut self.rng)
                .filter(|&it| it != target)
            else {
                continue;
            };
            let updates = self.updates_for(cx, peer);
            let message = GossipMessage::PingRequest {
                sequence: self.membership.probes.sequence,
                target: Arc::clone(&name),
                updates,
            };
            self.send(cx, peer, message);
        }
    }

    /// Ends the current probe. If no reply arrived, its target is now suspected of being down.
    fn end_probe(&mut self, cx: &mut EventContext<'_>) {
        let Some(probe) = self.membership.probes.current.take() else {
            return;
        };
        let Some(member) = self.membership.members.get_mut(&probe.target) else {
            return;
        };
        if member.state < MemberState::Suspect {
            member.state = MemberState::Suspect;
            self.counters.suspicions += 1;
            self.on_member_change(cx, probe.target);
        }
    }

    /// Pings suspected members and a dead one, and probes the next member of the round.
    fn start_probe(&mut self, cx: &mut EventContext<'_>) {
        let suspects: Vec<_> = self.membership.suspicions.keys().copied().collect();
        for node in suspects.into_iter().take(limits::INDIRECT_PROBES) {
            self.ping(cx, node);
        }
        if self.membership.probes.dead_due_us <= cx.now_us {
            self.membership.probes.dead_due_us = cx.now_us + limits::DEAD_PROBE_INTERVAL_US;
            if let Some(node) = self.groups.random_dead_member(&mut self.rng) {
                self.ping(cx, node);
            }
        }
        if self.membership.probes.queue.is_empty() {
            self.membership.probes.queue = self.groups.peers();
            self.rng.shuffle(&mut self.membership.probes.queue);
        }
        while let Some(target) = self.membership.probes.queue.pop() {
            let state = self.membership.members.get(&target).map(|it| it.state);
            if state.is_some_and(|it| it < MemberState::Suspect) {
                self.ping(cx, target);
                let sent_us = cx.now_us;
                self.membership.probes.current = Some(Probe {
                    indirect: false,
                    sent_us,
                    target,
                });
                break;
            }
        }
    }

    /// Pings nodes of the same data centre, so that they include this node in the first
    /// ownership table of the data centre.
    pub(crate) fn ping_local_peers(&mut self, cx: &mut EventContext<'_>) {
        let mut peers = self.groups.dc_peers.clone();
        self.rng.shuffle(&mut peers);
        for peer in peers.into_iter().take(limits::START_UP_REQUESTS) {
            self.ping(cx, peer);
        }
    }

    fn ping(&mut self, cx: &mut EventContext<'_>, to: NodeKey) {
        let sequence = self.membership.probes.next_sequence();
        let updates = self.updates_for(cx, to);
        self.send(cx, to, GossipMessage::Ping { sequence, updates });
    }

    pub(crate) fn on_ping(&mut self, cx: &mut EventContext<'_>, from: NodeKey, sequence: u64) {
        let updates = self.updates_for(cx, from);
        self.send(cx, from, GossipMessage::PingAnswer { sequence, updates });
    }

    pub(crate) fn on_ping_request(
        &mut self,
        cx: &mut EventContext<'_>,
        requester: NodeKey,
        sequence: u64,
        target: &str,
    ) {
        let target = cx.catalog.node(target);
        if target == self.settings.node {
            return;
        }
        let own_sequence = self.membership.probes.next_sequence();
        // Bounds the memory: a relayed probe without a reply has no timeout of its own.
        while self.membership.probes.relays.len() >= 64 {
            self.membership.probes.relays.pop_first();
        }
        let relay = RelayedProbe {
            requester,
            sequence,
        };
        self.membership.probes.relays.insert(own_sequence, relay);
        let updates = self.updates_for(cx, target);
        let message = GossipMessage::Ping {
            sequence: own_sequence,
            updates,
        };
        self.send(cx, target, message);
    }

    /// Ends the probe of the node that replied, and passes the reply on to the node that
    /// requested the probe, if any. The first update in a reply is about its sender.
    pub(crate) fn on_ping_answer(
        &mut self,
        cx: &mut EventContext<'_>,
        sequence: u64,
        updates: &[MemberUpdate],
    ) {
        let Some(first) = updates.first() else {
            return;
        };
        if let Some(relay) = self.membership.probes.relays.remove(&sequence) {
            let message = GossipMessage::PingAnswer {
                sequence: relay.sequence,
                updates: vec![first.clone()],
            };
            self.send(cx, relay.requester, message);
        }
        let node = cx.catalog.node(&first.node);
        let probed = self.membership.probes.current.as_ref().map(|it| it.target);
        if probed == Some(node) {
            self.membership.probes.current = None;
        }
    }
}
