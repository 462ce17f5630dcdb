//! Probes of other nodes, direct and through others.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::Fleet;
use crate::GossipMessage;
use crate::MemberState;
use crate::MemberUpdate;
use crate::limits;
use crate::step::Step;
use wigeonhall_types::NodeKey;

#[derive(Debug)]
struct Probe {
    indirect: bool,
    sent_us: u64,
    target: NodeKey,
}

#[derive(Debug)]
struct Relay {
    asker: NodeKey,
    sequence: u64,
}

/// The probes that this node sends and passes on.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    dead_due_us: u64,
    due_us: u64,
    /// Order of the probes of this round.
    queue: Vec<NodeKey>,
    relays: BTreeMap<u64, Relay>,
    running: Option<Probe>,
    sequence: u64,
}

impl Probes {
    pub(crate) fn wake_us(&self) -> u64 {
        let running = self.running.as_ref();
        let indirect = running
            .filter(|it| !it.indirect)
            .map_or(u64::MAX, |it| it.sent_us + limits::PROBE_ANSWER_US);
        indirect.min(self.due_us)
    }

    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }
}

impl Fleet {
    pub(crate) fn run_probes(&mut self, step: &mut Step<'_>) {
        if self.membership.probes.due_us <= step.now_us {
            self.membership.probes.due_us = step.now_us + limits::PROBE_US;
            self.finish_probe(step);
            self.start_probe(step);
        }
    }

    pub(crate) fn run_indirect_probe(&mut self, step: &mut Step<'_>) {
        let Some(probe) = &mut self.membership.probes.running else {
            return;
        };
        if probe.indirect || step.now_us < probe.sent_us + limits::PROBE_ANSWER_US {
            return;
        }
        probe.indirect = true;
        let target = probe.target;
        let name = step.catalog.node_name(target);
        for _ in 0..limits::INDIRECT_PROBES {
            let Some(peer) = self.views.random(&mut self.rng).filter(|&it| it != target) else {
                continue;
            };
            let updates = self.updates_for(step, peer);
            let message = GossipMessage::PingRequest {
                sequence: self.membership.probes.sequence,
                target: Arc::clone(&name),
                updates,
            };
            self.send(step, peer, message);
        }
    }

    fn finish_probe(&mut self, step: &mut Step<'_>) {
        let Some(probe) = self.membership.probes.running.take() else {
            return;
        };
        let Some(member) = self.membership.members.get_mut(&probe.target) else {
            return;
        };
        if member.state < MemberState::Suspect {
            member.state = MemberState::Suspect;
            self.counters.suspicions += 1;
            self.after_change(step, probe.target);
        }
    }

    fn start_probe(&mut self, step: &mut Step<'_>) {
        let suspects: Vec<_> = self.membership.suspicions.keys().copied().collect();
        for node in suspects.into_iter().take(limits::INDIRECT_PROBES) {
            self.ping(step, node);
        }
        if self.membership.probes.dead_due_us <= step.now_us {
            self.membership.probes.dead_due_us = step.now_us + limits::DEAD_PROBE_US;
            if let Some(node) = self.views.random_dead(&mut self.rng) {
                self.ping(step, node);
            }
        }
        if self.membership.probes.queue.is_empty() {
            self.membership.probes.queue = self.views.peers();
            self.rng.shuffle(&mut self.membership.probes.queue);
        }
        while let Some(target) = self.membership.probes.queue.pop() {
            let state = self.membership.members.get(&target).map(|it| it.state);
            if state.is_some_and(|it| it < MemberState::Suspect) {
                self.ping(step, target);
                let sent_us = step.now_us;
                self.membership.probes.running = Some(Probe {
                    indirect: false,
                    sent_us,
                    target,
                });
                break;
            }
        }
    }

    /// Greets nodes of the same data centre, so that the first tables know them.
    pub(crate) fn greet(&mut self, step: &mut Step<'_>) {
        let mut peers = self.views.near.clone();
        self.rng.shuffle(&mut peers);
        for peer in peers.into_iter().take(limits::START_ASKS) {
            self.ping(step, peer);
        }
    }

    fn ping(&mut self, step: &mut Step<'_>, to: NodeKey) {
        let sequence = self.membership.probes.next_sequence();
        let updates = self.updates_for(step, to);
        self.send(step, to, GossipMessage::Ping { sequence, updates });
    }

    pub(crate) fn on_ping(&mut self, step: &mut Step<'_>, from: NodeKey, sequence: u64) {
        let updates = self.updates_for(step, from);
        self.send(step, from, GossipMessage::PingAnswer { sequence, updates });
    }

    pub(crate) fn on_ping_request(
        &mut self,
        step: &mut Step<'_>,
        asker: NodeKey,
        sequence: u64,
        target: &str,
    ) {
        let target = step.catalog.node(target);
        if target == self.config.node {
            return;
        }
        let own = self.membership.probes.next_sequence();
        while self.membership.probes.relays.len() >= 64 {
            self.membership.probes.relays.pop_first();
        }
        let relay = Relay { asker, sequence };
        self.membership.probes.relays.insert(own, relay);
        let updates = self.updates_for(step, target);
        let message = GossipMessage::Ping {
            sequence: own,
            updates,
        };
        self.send(step, target, message);
    }

    /// Ends the probe of the member whose first-hand update the answer carries.
    pub(crate) fn on_ping_answer(
        &mut self,
        step: &mut Step<'_>,
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
            self.send(step, relay.asker, message);
        }
        let node = step.catalog.node(&first.node);
        let probed = self.membership.probes.running.as_ref().map(|it| it.target);
        if probed == Some(node) {
            self.membership.probes.running = None;
        }
    }
}
