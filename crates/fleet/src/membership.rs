//! Members, probes and suspicion.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use crate::Fleet;
use crate::FleetAction;
use crate::GossipMessage;
use crate::MemberState;
use crate::MemberUpdate;
use crate::limits;
use crate::rendezvous;
use crate::step::Step;
use wigeonhall_types::DataCentreKey;
use wigeonhall_types::Deployment;
use wigeonhall_types::NodeKey;
use wigeonhall_types::VmState;
use wigeonhall_types::VmStatus;

/// What a node knows of another one.
#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) boot: u64,
    /// As the deployment says.
    pub(crate) data_centre: Option<DataCentreKey>,
    pub(crate) hash: u64,
    pub(crate) incarnation: u64,
    pub(crate) leaving: bool,
    pub(crate) listing: Listing,
    /// `NodeLost` was pushed for this boot.
    lost: bool,
    pub(crate) same_region: bool,
    pub(crate) state: MemberState,
}

/// What the VM list says of a node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Listing {
    Gone,
    Leaving,
    Live,
    Unread,
}

impl Member {
    fn new(name: &str) -> Self {
        Self {
            boot: 0,
            data_centre: None,
            hash: rendezvous::name_hash(name),
            incarnation: 0,
            leaving: false,
            listing: Listing::Unread,
            lost: false,
            same_region: false,
            state: MemberState::Unknown,
        }
    }

    /// Whether messages to it may arrive, as far as is known.
    pub(crate) fn reachable(&self) -> bool {
        self.state != MemberState::Dead
    }

    /// Whether it was ever heard of, not only named.
    pub(crate) fn heard(&self) -> bool {
        self.boot != 0
    }

    /// What the views depend on; a suspicion and its refutation change none.
    fn viewed(&self) -> (bool, bool, bool) {
        (self.reachable(), self.heard(), self.leaving)
    }

    /// Whether it counts as consenting: it runs no more.
    pub(crate) fn gone(&self) -> bool {
        self.listing == Listing::Gone
            && matches!(self.state, MemberState::Dead | MemberState::Unknown)
    }
}

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

#[derive(Debug)]
pub(crate) struct Membership {
    pub(crate) contact_us: u64,
    dead_due_us: u64,
    pub(crate) incarnation: u64,
    pub(crate) leaving: bool,
    /// All known nodes but this one.
    pub(crate) members: BTreeMap<NodeKey, Member>,
    probe: Option<Probe>,
    probe_due_us: u64,
    /// Order of the probes of this round.
    queue: Vec<NodeKey>,
    relays: BTreeMap<u64, Relay>,
    pub(crate) self_listing: Listing,
    sequence: u64,
    /// Suspected members and when each counts as dead.
    suspicions: BTreeMap<NodeKey, u64>,
    /// Members whose state is news, with the number of messages left to carry it.
    updates: VecDeque<(NodeKey, u32)>,
    vm_list_due_us: u64,
    /// When the VM list was asked for, if there is no answer yet.
    vm_list_asked_us: Option<u64>,
    vm_list_last_us: u64,
    /// When the newest VM list was asked for.
    pub(crate) vm_list_us: Option<u64>,
}

impl Membership {
    pub(crate) fn new() -> Self {
        Self {
            contact_us: 0,
            dead_due_us: 0,
            incarnation: 0,
            leaving: false,
            members: BTreeMap::new(),
            probe: None,
            probe_due_us: 0,
            queue: Vec::new(),
            relays: BTreeMap::new(),
            self_listing: Listing::Unread,
            sequence: 0,
            suspicions: BTreeMap::new(),
            updates: VecDeque::new(),
            vm_list_due_us: 0,
            vm_list_asked_us: None,
            vm_list_last_us: 0,
            vm_list_us: None,
        }
    }

    pub(crate) fn wake_us(&self) -> u64 {
        let indirect = self.probe.as_ref().map_or(u64::MAX, |probe| {
            if probe.indirect {
                u64::MAX
            } else {
                probe.sent_us + limits::PROBE_ANSWER_US
            }
        });
        let suspicion = self.suspicions.values().copied().min();
        indirect
            .min(self.probe_due_us)
            .min(self.vm_list_due_us)
            .min(suspicion.unwrap_or(u64::MAX))
    }

    /// Makes the next reading of the VM list come soon.
    pub(crate) fn hurry_vm_list(&mut self, now_us: u64) {
        let due = &mut self.vm_list_due_us;
        *due = (*due)
            .min(self.vm_list_last_us + limits::VM_LIST_US)
            .max(now_us);
    }

    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }
}

impl Fleet {
    /// Adds a node that is named somewhere, with its place if that is known.
    pub(crate) fn know_member(&mut self, step: &Step<'_>, node: NodeKey) -> Option<&mut Member> {
        if node == self.config.node {
            return None;
        }
        let members = &mut self.membership.members;
        let dirty = &mut self.views.dirty;
        Some(members.entry(node).or_insert_with(|| {
            *dirty = true;
            Member::new(&step.catalog.node_name(node))
        }))
    }

    /// Takes the places of the nodes from a new deployment.
    pub(crate) fn place_members(&mut self, step: &Step<'_>, deployment: &Deployment) {
        for (&node, vm) in &deployment.vms {
            let region = deployment.data_centres.get(&vm.data_centre);
            let same_region = region.is_some_and(|it| it.region == self.config.region);
            if let Some(member) = self.know_member(step, node) {
                member.data_centre = Some(vm.data_centre);
                member.same_region = same_region;
            }
        }
        self.views.dirty = true;
    }

    /// Takes the platform's list; a VM that is not on it is gone.
    pub(crate) fn on_vm_list(&mut self, step: &mut Step<'_>, list: &[VmStatus]) {
        if let Some(asked_us) = self.membership.vm_list_asked_us.take() {
            self.membership.vm_list_us = Some(asked_us);
        }
        let mut listed = BTreeMap::new();
        for vm in list {
            let node = step.catalog.node(&vm.name);
            listed.insert(node, vm.state);
            self.know_member(step, node);
        }
        let listing = |node: &NodeKey| match listed.get(node) {
            None => Listing::Gone,
            Some(VmState::Leaving) => Listing::Leaving,
            Some(VmState::Live) => Listing::Live,
        };
        self.membership.self_listing = listing(&self.config.node);
        let mut gone = Vec::new();
        for (node, member) in &mut self.membership.members {
            let before = std::mem::replace(&mut member.listing, listing(node));
            if member.listing == Listing::Gone && before != Listing::Gone {
                gone.push(*node);
            }
        }
        for node in gone {
            self.declare_dead(step, node);
        }
        self.views.dirty = true;
    }

    fn declare_dead(&mut self, step: &mut Step<'_>, node: NodeKey) {
        let Some(member) = self.membership.members.get_mut(&node) else {
            return;
        };
        if member.state != MemberState::Dead {
            member.state = MemberState::Dead;
            self.counters.deaths += 1;
            self.views.dirty = true;
            self.after_change(step, node);
        }
    }

    /// First-hand state of this node.
    pub(crate) fn self_update(&self, step: &Step<'_>) -> MemberUpdate {
        MemberUpdate {
            boot: self.config.boot,
            incarnation: self.membership.incarnation,
            leaving: self.membership.leaving,
            node: step.catalog.node_name(self.config.node),
            state: if self.stopped {
                MemberState::Dead
            } else {
                MemberState::Alive
            },
        }
    }

    fn update_of(&self, step: &Step<'_>, node: NodeKey) -> Option<MemberUpdate> {
        let member = self.membership.members.get(&node)?;
        Some(MemberUpdate {
            boot: member.boot,
            incarnation: member.incarnation,
            leaving: member.leaving,
            node: step.catalog.node_name(node),
            state: member.state,
        })
    }

    /// The updates that ride on a message to `to`: this node's own, what is
    /// believed wrongly of the receiver, and a bounded number of news.
    pub(crate) fn updates_for(&mut self, step: &Step<'_>, to: NodeKey) -> Vec<MemberUpdate> {
        let mut updates = vec![self.self_update(step)];
        if let Some(update) = self.update_of(step, to)
            && update.state > MemberState::Alive
        {
            updates.push(update);
        }
        for _ in 0..self.membership.updates.len().min(limits::UPDATES_MAX) {
            let Some((node, left)) = self.membership.updates.pop_front() else {
                break;
            };
            updates.extend(self.update_of(step, node));
            if left > 1 {
                self.membership.updates.push_back((node, left - 1));
            }
        }
        updates
    }

    /// Two members at random, so that nodes learn of members without news of them.
    pub(crate) fn sample_updates(&mut self, step: &Step<'_>, updates: &mut Vec<MemberUpdate>) {
        for _ in 0..2 {
            if let Some(node) = self.views.random_any(&mut self.rng) {
                let known = self.update_of(step, node);
                updates.extend(known.filter(|it| it.state != MemberState::Unknown));
            }
        }
    }

    /// Applies updates; `sender` names whose first update is first-hand.
    pub(crate) fn on_updates(
        &mut self,
        step: &mut Step<'_>,
        sender: Option<NodeKey>,
        updates: Vec<MemberUpdate>,
    ) {
        for (index, update) in updates.into_iter().enumerate() {
            let node = step.catalog.node(&update.node);
            if node == self.config.node {
                self.refute(step, &update);
                continue;
            }
            let first_hand = index == 0 && sender == Some(node);
            let older = self.apply_update(step, node, &update);
            if first_hand && older {
                // The sender does not know what is believed of it; it raises its
                // incarnation when it hears.
                let updates = self.updates_about(step, node);
                self.send(step, node, GossipMessage::Updates(updates));
            }
        }
    }

    fn updates_about(&self, step: &Step<'_>, node: NodeKey) -> Vec<MemberUpdate> {
        let own = self.self_update(step);
        std::iter::once(own)
            .chain(self.update_of(step, node))
            .collect()
    }

    /// Returns whether the update is older than what is known.
    fn apply_update(&mut self, step: &mut Step<'_>, node: NodeKey, update: &MemberUpdate) -> bool {
        if update.state == MemberState::Unknown {
            return false;
        }
        let Some(member) = self.know_member(step, node) else {
            return false;
        };
        let known = (member.incarnation, member.state);
        let told = (update.incarnation, update.state);
        let first = member.state == MemberState::Unknown;
        if update.boot == 0 && member.heard() {
            return false;
        }
        if !first && told <= known {
            return told < known || member.boot != update.boot;
        }
        let restarted = member.boot != 0 && member.boot != update.boot;
        let was_lost = member.lost;
        let viewed = member.viewed();
        member.incarnation = update.incarnation;
        member.state = update.state;
        member.leaving = update.leaving;
        if member.boot != update.boot {
            member.boot = update.boot;
            member.lost = false;
        }
        self.views.dirty |= viewed != member.viewed();
        if restarted && !was_lost {
            step.push(FleetAction::NodeLost(node));
        }
        self.after_change(step, node);
        false
    }

    /// Raises the incarnation past a wrong belief about this node.
    fn refute(&mut self, step: &mut Step<'_>, update: &MemberUpdate) {
        let wrong = update.boot != self.config.boot
            || update.state > MemberState::Alive
            || update.leaving != self.membership.leaving;
        let newer = update.incarnation >= self.membership.incarnation;
        if update.state == MemberState::Unknown || !newer {
            return;
        }
        if wrong || update.incarnation > self.membership.incarnation {
            self.membership.incarnation = update.incarnation + 1;
            self.counters.refutations += 1;
            self.tell_neighbours(step);
        }
    }

    /// Sends this node's own state and news to random neighbours.
    pub(crate) fn tell_neighbours(&mut self, step: &mut Step<'_>) {
        for peer in self.neighbours() {
            let updates = self.updates_for(step, peer);
            self.send(step, peer, GossipMessage::Updates(updates));
        }
    }

    /// Follows a change of a member's state: news, suspicion and `NodeLost`.
    fn after_change(&mut self, step: &mut Step<'_>, node: NodeKey) {
        let Some(member) = self.membership.members.get_mut(&node) else {
            return;
        };
        if member.state == MemberState::Dead && !member.lost {
            member.lost = true;
            step.push(FleetAction::NodeLost(node));
        }
        if member.state == MemberState::Suspect {
            let due = step.now_us + limits::SUSPICION_US;
            self.membership.suspicions.insert(node, due);
        } else {
            self.membership.suspicions.remove(&node);
        }
        let known = self.membership.members.len() + 1;
        let news = 3 * (known.ilog2() + 1);
        self.membership.updates.retain(|&(it, _)| it != node);
        self.membership.updates.push_front((node, news));
    }

    pub(crate) fn run_membership(&mut self, step: &mut Step<'_>) {
        let now = step.now_us;
        self.run_indirect_probe(step);
        let due = |(&node, &due): (&NodeKey, &u64)| (due <= now).then_some(node);
        let dead: Vec<_> = self.membership.suspicions.iter().filter_map(due).collect();
        for node in dead {
            self.declare_dead(step, node);
        }
        if self.membership.probe_due_us <= now {
            self.membership.probe_due_us = now + limits::PROBE_US;
            self.finish_probe(step);
            self.start_probe(step);
        }
        if self.membership.vm_list_due_us <= now {
            self.read_vm_list(step);
            let period = if self.views.own_rank() < 2 {
                limits::VM_LIST_US * (1 + self.views.own_rank() as u64 * 2)
            } else {
                limits::VM_LIST_SLOW_US
            };
            self.membership.vm_list_due_us = now + period + self.rng.u64(..period / 4);
        }
    }

    /// Asks for the VM list, unless that is under way. A read that fails is not
    /// reported; with one read at a time an answer never counts for a later one.
    pub(crate) fn read_vm_list(&mut self, step: &mut Step<'_>) {
        let now = step.now_us;
        let asked = self.membership.vm_list_asked_us;
        if asked.is_some_and(|at| now < at + limits::VM_LIST_TIMEOUT_US) {
            return;
        }
        self.membership.vm_list_last_us = now;
        self.membership.vm_list_asked_us = Some(now);
        self.counters.store_reads += 1;
        step.push(FleetAction::ReadVmList);
    }

    fn run_indirect_probe(&mut self, step: &mut Step<'_>) {
        let Some(probe) = &mut self.membership.probe else {
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
                sequence: self.membership.sequence,
                target: Arc::clone(&name),
                updates,
            };
            self.send(step, peer, message);
        }
    }

    fn finish_probe(&mut self, step: &mut Step<'_>) {
        let Some(probe) = self.membership.probe.take() else {
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
        if self.membership.dead_due_us <= step.now_us {
            self.membership.dead_due_us = step.now_us + limits::DEAD_PROBE_US;
            if let Some(node) = self.views.random_dead(&mut self.rng) {
                self.ping(step, node);
            }
        }
        if self.membership.queue.is_empty() {
            self.membership.queue = self.views.peers();
            self.rng.shuffle(&mut self.membership.queue);
        }
        while let Some(target) = self.membership.queue.pop() {
            let state = self.membership.members.get(&target).map(|it| it.state);
            if state.is_some_and(|it| it < MemberState::Suspect) {
                self.ping(step, target);
                let sent_us = step.now_us;
                self.membership.probe = Some(Probe {
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
        let sequence = self.membership.next_sequence();
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
        let own = self.membership.next_sequence();
        while self.membership.relays.len() >= 64 {
            self.membership.relays.pop_first();
        }
        let relay = Relay { asker, sequence };
        self.membership.relays.insert(own, relay);
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
        if let Some(relay) = self.membership.relays.remove(&sequence) {
            let message = GossipMessage::PingAnswer {
                sequence: relay.sequence,
                updates: vec![first.clone()],
            };
            self.send(step, relay.asker, message);
        }
        let node = step.catalog.node(&first.node);
        let probed = self.membership.probe.as_ref().map(|it| it.target);
        if probed == Some(node) {
            self.membership.probe = None;
        }
    }
}
