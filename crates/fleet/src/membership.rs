//! Membership: merges member updates, disseminates them and declares suspected members dead
//! after a timeout.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::Fleet;
use crate::FleetAction;
use crate::GossipMessage;
use crate::ListedState;
use crate::Member;
use crate::MemberState;
use crate::MemberUpdate;
use crate::event_context::EventContext;
use crate::limits;
use crate::probes::Probes;
use wigeonhall_types::Deployment;
use wigeonhall_types::NodeKey;

/// Members known to this node and the timers of its failure detector.
#[derive(Debug)]
pub(crate) struct Membership {
    /// Local time of the latest message from any peer.
    pub(crate) last_contact_us: u64,
    /// Version of the updates about this node; raised to refute those that are wrong.
    pub(crate) incarnation: u64,
    pub(crate) leaving: bool,
    /// All known nodes but this one.
    pub(crate) members: BTreeMap<NodeKey, Member>,
    pub(crate) probes: Probes,
    /// State of this node in the latest VM list.
    pub(crate) self_listing: ListedState,
    /// Members suspected of being down, each with the time at which it is declared dead unless
    /// it refutes the suspicion.
    pub(crate) suspicions: BTreeMap<NodeKey, u64>,
    /// Members whose updates are still disseminated, each with the number of messages left
    /// that carry the update.
    update_queue: VecDeque<(NodeKey, u32)>,
    pub(crate) vm_list_due_us: u64,
    /// Time of the outstanding VM list request.
    pub(crate) vm_list_pending_us: Option<u64>,
    /// Time of the latest VM list request, whether it completed or not.
    pub(crate) vm_list_sent_us: u64,
    /// Time at which the latest VM list received was requested.
    pub(crate) vm_list_as_of_us: Option<u64>,
}

impl Membership {
    pub(crate) fn new() -> Self {
        Self {
            last_contact_us: 0,
            incarnation: 0,
            leaving: false,
            members: BTreeMap::new(),
            probes: Probes::default(),
            self_listing: ListedState::Unknown,
            suspicions: BTreeMap::new(),
            update_queue: VecDeque::new(),
            vm_list_due_us: 0,
            vm_list_pending_us: None,
            vm_list_sent_us: 0,
            vm_list_as_of_us: None,
        }
    }

    pub(crate) fn wake_us(&self) -> u64 {
        let suspicion = self.suspicions.values().copied().min();
        self.probes
            .wake_us()
            .min(self.vm_list_due_us)
            .min(suspicion.unwrap_or(u64::MAX))
    }

    /// Brings the next read of the VM list forward, to [`limits::VM_LIST_INTERVAL_US`] after the
    /// previous one.
    pub(crate) fn expedite_vm_list_read(&mut self, now_us: u64) {
        let due = &mut self.vm_list_due_us;
        *due = (*due)
            .min(self.vm_list_sent_us + limits::VM_LIST_INTERVAL_US)
            .max(now_us);
    }
}

impl Fleet {
    /// Returns the member entry of `node` and creates it if needed; `None` for this node
    /// itself.
    pub(crate) fn add_member(
        &mut self,
        cx: &EventContext<'_>,
        node: NodeKey,
    ) -> Option<&mut Member> {
        if node == self.settings.node {
            return None;
        }
        let members = &mut self.membership.members;
        let dirty = &mut self.groups.dirty;
        Some(members.entry(node).or_insert_with(|| {
            *dirty = true;
            Member::new(&cx.catalog.node_name(node))
        }))
    }

    /// Sets the data centre of every node in a new deployment.
    pub(crate) fn set_member_locations(&mut self, cx: &EventContext<'_>, deployment: &Deployment) {
        for (&node, vm) in &deployment.vms {
            let region = deployment.data_centres.get(&vm.data_centre);
            let same_region = region.is_some_and(|it| it.region == self.settings.region);
            if let Some(member) = self.add_member(cx, node) {
                member.data_centre = Some(vm.data_centre);
                member.same_region = same_region;
            }
        }
        self.groups.dirty = true;
    }

    pub(crate) fn declare_dead(&mut self, cx: &mut EventContext<'_>, node: NodeKey) {
        let Some(member) = self.membership.members.get_mut(&node) else {
            return;
        };
        if member.state != MemberState::Dead {
            member.state = MemberState::Dead;
            self.counters.deaths += 1;
            self.groups.dirty = true;
            self.on_member_change(cx, node);
        }
    }

    /// Returns this node's update about itself.
    pub(crate) fn self_update(&self, cx: &EventContext<'_>) -> MemberUpdate {
        MemberUpdate {
            boot: self.settings.boot,
            incarnation: self.membership.incarnation,
            leaving: self.membership.leaving,
            node: cx.catalog.node_name(self.settings.node),
            state: if self.stopped {
                MemberState::Dead
            } else {
                MemberState::Alive
            },
        }
    }

    fn update_of(&self, cx: &EventContext<'_>, node: NodeKey) -> Option<MemberUpdate> {
        let member = self.membership.members.get(&node)?;
        Some(MemberUpdate {
            boot: member.boot,
            incarnation: member.incarnation,
            leaving: member.leaving,
            node: cx.catalog.node_name(node),
            state: member.state,
        })
    }

    /// Returns the updates to piggyback on a message to `to`: the one about this node; the one
    /// about the receiver, if it is suspected of being down or declared dead, so that it can
    /// refute it; and up to [`limits::UPDATES_MAX`] updates from the dissemination queue.
    pub(crate) fn updates_for(&mut self, cx: &EventContext<'_>, to: NodeKey) -> Vec<MemberUpdate> {
        let mut updates = vec![self.self_update(cx)];
        if let Some(update) = self.update_of(cx, to)
            && update.state > MemberState::Alive
        {
            updates.push(update);
        }
        for _ in 0..self.membership.update_queue.len().min(limits::UPDATES_MAX) {
            let Some((node, remaining)) = self.membership.update_queue.pop_front() else {
                break;
            };
            updates.extend(self.update_of(cx, node));
            if remaining > 1 {
                self.membership
                    .update_queue
                    .push_back((node, remaining - 1));
            }
        }
        updates
    }

    /// Appends the updates of two random members, so that nodes learn of members whose
    /// updates are no longer disseminated.
    pub(crate) fn sample_updates(
        &mut self,
        cx: &EventContext<'_>,
        updates: &mut Vec<MemberUpdate>,
    ) {
        for _ in 0..2 {
            if let Some(node) = self.groups.random_member(&mut self.rng) {
                let known = self.update_of(cx, node);
                updates.extend(known.filter(|it| it.state != MemberState::Unknown));
            }
        }
    }

    /// Applies member updates. The first update is first-hand if it is about `sender`.
    pub(crate) fn on_updates(
        &mut self,
        cx: &mut EventContext<'_>,
        sender: Option<NodeKey>,
        updates: Vec<MemberUpdate>,
    ) {
        for (index, update) in updates.into_iter().enumerate() {
            let node = cx.catalog.node(&update.node);
            if node == self.settings.node {
                self.refute(cx, &update);
                continue;
            }
            let first_hand = index == 0 && sender == Some(node);
            let older = self.apply_update(cx, node, &update);
            if first_hand && older {
                // This node knows a newer update about the sender than the sender itself.
                // Sending it makes the sender raise its incarnation.
                let updates = self.updates_about(cx, node);
                self.send(cx, node, GossipMessage::Updates(updates));
            }
        }
    }

    fn updates_about(&self, cx: &EventContext<'_>, node: NodeKey) -> Vec<MemberUpdate> {
        let own = self.self_update(cx);
        std::iter::once(own)
            .chain(self.update_of(cx, node))
            .collect()
    }

    /// Merges an update about another node. Returns whether it is older than the known
    /// state.
    fn apply_update(
        &mut self,
        cx: &mut EventContext<'_>,
        node: NodeKey,
        update: &MemberUpdate,
    ) -> bool {
        if update.state == MemberState::Unknown {
            return false;
        }
        let Some(member) = self.add_member(cx, node) else {
            return false;
        };
        let known = (member.incarnation, member.state);
        let received = (update.incarnation, update.state);
        let first = member.state == MemberState::Unknown;
        if update.boot == 0 && member.boot_known() {
            return false;
        }
        if !first && received <= known {
            return received < known || member.boot != update.boot;
        }
        let restarted = member.boot != 0 && member.boot != update.boot;
        let loss_was_reported = member.loss_reported;
        let group_inputs = member.group_inputs();
        member.incarnation = update.incarnation;
        member.state = update.state;
        member.leaving = update.leaving;
        if member.boot != update.boot {
            member.boot = update.boot;
            member.loss_reported = false;
        }
        self.groups.dirty |= group_inputs != member.group_inputs();
        if restarted && !loss_was_reported {
            cx.push(FleetAction::NodeLost(node));
        }
        self.on_member_change(cx, node);
        false
    }

    /// Raises this node's incarnation past that of a wrong update about it.
    fn refute(&mut self, cx: &mut EventContext<'_>, update: &MemberUpdate) {
        let wrong = update.boot != self.settings.boot
            || update.state > MemberState::Alive
            || update.leaving != self.membership.leaving;
        let newer = update.incarnation >= self.membership.incarnation;
        if update.state == MemberState::Unknown || !newer {
            return;
        }
        if wrong || update.incarnation > self.membership.incarnation {
            self.membership.incarnation = update.incarnation + 1;
            self.counters.refutations += 1;
            self.push_updates(cx);
        }
    }

    /// Sends this node's update and queued updates to random peers.
    pub(crate) fn push_updates(&mut self, cx: &mut EventContext<'_>) {
        for peer in self.random_push_peers() {
            let updates = self.updates_for(cx, peer);
            self.send(cx, peer, GossipMessage::Updates(updates));
        }
    }

    /// Reacts to a changed member state: queues the update, starts or ends the suspicion
    /// timeout and reports a dead member with `NodeLost`.
    pub(crate) fn on_member_change(&mut self, cx: &mut EventContext<'_>, node: NodeKey) {
        let Some(member) = self.membership.members.get_mut(&node) else {
            return;
        };
        if member.state == MemberState::Dead && !member.loss_reported {
            member.loss_reported = true;
            cx.push(FleetAction::NodeLost(node));
        }
        if member.state == MemberState::Suspect {
            let due = cx.now_us + limits::SUSPICION_TIMEOUT_US;
            self.membership.suspicions.insert(node, due);
        } else {
            self.membership.suspicions.remove(&node);
        }
        let known = self.membership.members.len() + 1;
        // A multiple of the logarithm, so that an update most likely reaches all members.
        let transmissions = 3 * (known.ilog2() + 1);
        self.membership.update_queue.retain(|&(it, _)| it != node);
        self.membership
            .update_queue
            .push_front((node, transmissions));
    }

    pub(crate) fn run_membership(&mut self, cx: &mut EventContext<'_>) {
        let now = cx.now_us;
        self.run_indirect_probe(cx);
        let due = |(&node, &due): (&NodeKey, &u64)| (due <= now).then_some(node);
        let dead: Vec<_> = self.membership.suspicions.iter().filter_map(due).collect();
        for node in dead {
            self.declare_dead(cx, node);
        }
        self.run_probes(cx);
        if self.membership.vm_list_due_us <= now {
            self.read_vm_list(cx);
            let period = if self.groups.own_rank() < 2 {
                limits::VM_LIST_INTERVAL_US * (1 + self.groups.own_rank() as u64 * 2)
            } else {
                limits::VM_LIST_SLOW_INTERVAL_US
            };
            // The random part keeps nodes from reading at the same time.
            self.membership.vm_list_due_us = now + period + self.rng.u64(..period / 4);
        }
    }
}
