//! Members, their news and suspicion.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::Fleet;
use crate::FleetAction;
use crate::GossipMessage;
use crate::Listing;
use crate::Member;
use crate::MemberState;
use crate::MemberUpdate;
use crate::limits;
use crate::probes::Probes;
use crate::step::Step;
use wigeonhall_types::Deployment;
use wigeonhall_types::NodeKey;

#[derive(Debug)]
pub(crate) struct Membership {
    pub(crate) contact_us: u64,
    pub(crate) incarnation: u64,
    pub(crate) leaving: bool,
    /// All known nodes but this one.
    pub(crate) members: BTreeMap<NodeKey, Member>,
    pub(crate) probes: Probes,
    pub(crate) self_listing: Listing,
    /// Suspected members and when each counts as dead.
    pub(crate) suspicions: BTreeMap<NodeKey, u64>,
    /// Members whose state is news, with the number of messages left to carry it.
    updates: VecDeque<(NodeKey, u32)>,
    pub(crate) vm_list_due_us: u64,
    /// When the VM list was asked for, if there is no answer yet.
    pub(crate) vm_list_asked_us: Option<u64>,
    pub(crate) vm_list_last_us: u64,
    /// When the newest VM list was asked for.
    pub(crate) vm_list_us: Option<u64>,
}

impl Membership {
    pub(crate) fn new() -> Self {
        Self {
            contact_us: 0,
            incarnation: 0,
            leaving: false,
            members: BTreeMap::new(),
            probes: Probes::default(),
            self_listing: Listing::Unread,
            suspicions: BTreeMap::new(),
            updates: VecDeque::new(),
            vm_list_due_us: 0,
            vm_list_asked_us: None,
            vm_list_last_us: 0,
            vm_list_us: None,
        }
    }

    pub(crate) fn wake_us(&self) -> u64 {
        let suspicion = self.suspicions.values().copied().min();
        self.probes
            .wake_us()
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

    pub(crate) fn declare_dead(&mut self, step: &mut Step<'_>, node: NodeKey) {
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
    pub(crate) fn after_change(&mut self, step: &mut Step<'_>, node: NodeKey) {
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
        self.run_probes(step);
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
}
