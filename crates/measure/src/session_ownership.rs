//! Leases and changes of ownership in a session.
//!
//! The simulation follows fixed rules in place of the fleet core, the decision logic for both: a
//! node may start requests only while it has a lease, and a table, numbered by its epoch, assigns
//! to each replica its owner, the one node that sends requests to it.

use std::sync::Arc;

use crate::TraceEvent;
use crate::World;
use crate::world::Event;
use wigeonhall_gate::GateEvent;
use wigeonhall_query::QueryEvent;
use wigeonhall_types::HandOverState;
use wigeonhall_types::NodeKey;
use wigeonhall_types::OwnershipTable;
use wigeonhall_types::ReplicaKey;

/// Duration of a lease; equals `LEASE_MS` of the fleet core.
const LEASE_DURATION_US: u64 = 3_000_000;

/// Interval between the lease requests of a node.
const LEASE_REQUEST_INTERVAL_US: u64 = 1_000_000;

/// Time from a lease request to its reply.
const LEASE_REPLY_DELAY_US: u64 = 2_000;

/// Time after which a new owner starts without a hand-over: the duration of a lease and a
/// margin of a tenth, as in the fleet core.
pub(crate) const TAKE_OVER_DELAY_US: u64 = LEASE_DURATION_US + LEASE_DURATION_US / 10;

/// Typical service time of a request, handed to the owners at the start.
const TYPICAL_SERVICE_US: u64 = 4_000;

impl World {
    /// Records an initial table, which every node has from the start.
    pub(crate) fn record_initial_table(&mut self, table: &OwnershipTable) {
        let Some(session) = &mut self.session else {
            return;
        };
        for (&replica, &node) in &table.owners {
            session.owned.insert((node, replica));
        }
        for &node in &table.members {
            session.known_epochs.insert(node, table.epoch);
        }
        let table = Arc::new(table.clone());
        session.tables.insert(table.data_centre, (table, 0));
    }

    /// Returns the state of a warm target that its owner gets at the start.
    pub(crate) fn initial_state(&self, replica: ReplicaKey) -> HandOverState {
        let target = &self.targets[&replica];
        HandOverState {
            instance: Some(target.instance),
            served: target.served.clone(),
            service_us: TYPICAL_SERVICE_US,
            ..HandOverState::warm()
        }
    }

    /// Handles a lease request of a node. Sends it the ownership tables, a newer deployment if
    /// there is one, and a lease if it already has the latest table of its data centre.
    pub(crate) fn handle_lease_request(&mut self, now_us: u64, node: NodeKey) {
        self.events.push(
            now_us + LEASE_REQUEST_INTERVAL_US,
            Event::LeaseRequest(node),
        );
        let deployment = Arc::clone(&self.deployment);
        let data_centre = self.nodes[&node].data_centre;
        let Some(session) = &mut self.session else {
            return;
        };
        if session
            .no_lease_before_us
            .get(&node)
            .is_some_and(|&it| now_us < it)
        {
            return;
        }
        let at_us = now_us + LEASE_REPLY_DELAY_US;
        for (table, _) in session.tables.values() {
            self.events
                .push(at_us, Event::TableUpdate(node, Arc::clone(table)));
        }
        let newest = session.tables[&data_centre].0.epoch;
        if session.known_epochs[&node] == newest {
            let lease = GateEvent::LeaseUntil(now_us + LEASE_DURATION_US);
            self.events.push(at_us, Event::Gate(node, lease));
        }
        let generation = session.generations.get(&node).copied().unwrap_or(0);
        if generation < deployment.generation {
            self.events.push(at_us, Event::Deployment(node, deployment));
        }
    }

    /// Writes a table that names another owner of one replica, and sends it to all nodes.
    pub(crate) fn move_replica(
        &mut self,
        now_us: u64,
        replica: ReplicaKey,
        to: NodeKey,
        handed_over: bool,
    ) {
        let data_centre = self.deployment.replicas[&replica].data_centre;
        let Some(session) = &mut self.session else {
            return;
        };
        let mut table = OwnershipTable::clone(&session.tables[&data_centre].0);
        if !table.members.contains(&to) || session.lost.contains(&to) {
            return;
        }
        table.epoch += 1;
        table.owners.insert(replica, to);
        if !handed_over {
            session.lost_hand_overs.insert((replica, table.epoch));
        }
        let table = Arc::new(table);
        session
            .tables
            .insert(data_centre, (Arc::clone(&table), now_us));
        let nodes: Vec<NodeKey> = self.nodes.keys().copied().collect();
        for node in nodes {
            let at_us = now_us + self.node_delay_us(to, node) + LEASE_REPLY_DELAY_US;
            self.events
                .push(at_us, Event::TableUpdate(node, Arc::clone(&table)));
        }
    }

    /// Applies a table at a node: revokes and grants replicas, and schedules the take-over of
    /// those without a hand-over.
    pub(crate) fn apply_table(&mut self, now_us: u64, node: NodeKey, table: &Arc<OwnershipTable>) {
        let owners = QueryEvent::Owners(Arc::clone(table));
        self.feed_query(now_us, node, owners);
        if self.nodes[&node].data_centre != table.data_centre {
            return;
        }
        let Some(session) = &mut self.session else {
            return;
        };
        let known = session.known_epochs[&node];
        if known >= table.epoch {
            return;
        }
        session.known_epochs.insert(node, table.epoch);
        let written_us = session.tables[&table.data_centre].1;
        // A table that the node has missed may have named another owner.
        let skipped = table.epoch > known + 1;
        for (&replica, &owner) in &table.owners {
            let owned = self.owns(node, replica);
            if owned && (owner != node || skipped) {
                let successor = (owner != node).then_some(owner);
                self.revoke(now_us, node, replica, table.epoch, successor);
            }
            if owner != node {
                continue;
            }
            if owned && !skipped {
                self.grant(now_us, node, replica, table.epoch, None);
            } else {
                let event = Event::TakeOver {
                    epoch: table.epoch,
                    node,
                    replica,
                };
                let at_us = (written_us + TAKE_OVER_DELAY_US).max(now_us);
                self.events.push(at_us, event);
            }
        }
    }

    /// Makes a node the owner without a hand-over, if it has not received one or a newer table.
    pub(crate) fn take_over(
        &mut self,
        now_us: u64,
        node: NodeKey,
        replica: ReplicaKey,
        epoch: u64,
    ) {
        let known = self.session.as_ref().map(|it| it.known_epochs[&node]);
        if known == Some(epoch) && !self.owns(node, replica) {
            self.grant(now_us, node, replica, epoch, None);
        }
    }

    /// Sends the state of a replica from its previous owner to the new one.
    pub(crate) fn hand_over(
        &mut self,
        now_us: u64,
        from: NodeKey,
        to: NodeKey,
        epoch: u64,
        replica: ReplicaKey,
        state: HandOverState,
    ) {
        let event = Event::HandOver {
            epoch,
            from,
            replica,
            state,
            to,
        };
        let at_us = now_us + self.node_delay_us(from, to);
        let session = self.session.as_mut();
        let lost = session.is_some_and(|it| it.lost_hand_overs.contains(&(replica, epoch)));
        self.send_or_lose(now_us, at_us, from, to, event, lost);
    }

    /// Makes a node the owner with the state handed over, unless it has a newer table.
    pub(crate) fn receive_hand_over(
        &mut self,
        now_us: u64,
        node: NodeKey,
        epoch: u64,
        replica: ReplicaKey,
        state: HandOverState,
    ) {
        let known = self.session.as_ref().map_or(0, |it| it.known_epochs[&node]);
        if known <= epoch {
            self.grant(now_us, node, replica, epoch, Some(state));
        }
    }

    fn owns(&self, node: NodeKey, replica: ReplicaKey) -> bool {
        let session = self.session.as_ref();
        session.is_some_and(|it| it.owned.contains(&(node, replica)))
    }

    fn grant(
        &mut self,
        now_us: u64,
        node: NodeKey,
        replica: ReplicaKey,
        epoch: u64,
        state: Option<HandOverState>,
    ) {
        let new = !self.owns(node, replica);
        if let Some(session) = &mut self.session {
            session.owned.insert((node, replica));
        }
        if new {
            let state = state.clone();
            self.record(now_us, || TraceEvent::Granted {
                epoch,
                node,
                replica,
                state,
            });
        }
        let event = GateEvent::Grant {
            epoch,
            replica,
            state,
        };
        self.feed_gate(now_us, node, event);
    }

    fn revoke(
        &mut self,
        now_us: u64,
        node: NodeKey,
        replica: ReplicaKey,
        epoch: u64,
        successor: Option<NodeKey>,
    ) {
        if let Some(session) = &mut self.session {
            session.owned.remove(&(node, replica));
        }
        self.record(now_us, || TraceEvent::Revoked(node, replica, epoch));
        let event = GateEvent::Revoke {
            epoch,
            replica,
            successor,
        };
        self.feed_gate(now_us, node, event);
    }
}
