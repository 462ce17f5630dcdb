//! Leases and ownership that changes hands in a session, by the rules of the design
//! page, with one authority in place of the fleet core.

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

/// Time for which a lease is valid, `LEASE_MS` of the fleet core.
const LEASE_US: u64 = 3_000_000;

/// Time between two requests of a node for a lease.
const LEASE_ASK_US: u64 = 1_000_000;

/// Time until the answer to a request for a lease.
const LEASE_REPLY_US: u64 = 2_000;

/// Time after which a new owner starts without a hand-over: the lease and a margin of
/// a tenth, as in the fleet core.
pub(crate) const TAKE_OVER_US: u64 = LEASE_US + LEASE_US / 10;

/// Time that a target typically takes, handed over at the start.
const TYPICAL_US: u64 = 4_000;

impl World {
    /// Records the table that every node knows at the start.
    pub(crate) fn start_table(&mut self, table: &OwnershipTable) {
        let Some(session) = &mut self.session else {
            return;
        };
        for (&replica, &node) in &table.owners {
            session.owned.insert((node, replica));
        }
        for &node in &table.members {
            session.known.insert(node, table.epoch);
        }
        let table = Arc::new(table.clone());
        session.tables.insert(table.data_centre, (table, 0));
    }

    /// Owners know warm targets from the start.
    pub(crate) fn state_at_start(&self, replica: ReplicaKey) -> HandOverState {
        let target = &self.targets[&replica];
        HandOverState {
            instance: Some(target.instance),
            served: target.served.clone(),
            service_us: TYPICAL_US,
            ..HandOverState::warm()
        }
    }

    /// A node asks for a lease and learns what it does not know yet.
    pub(crate) fn ask_lease(&mut self, now_us: u64, node: NodeKey) {
        self.events
            .push(now_us + LEASE_ASK_US, Event::LeaseAsk(node));
        let deployment = Arc::clone(&self.deployment);
        let data_centre = self.nodes[&node].data_centre;
        let Some(session) = &mut self.session else {
            return;
        };
        if session.lapsed.get(&node).is_some_and(|&it| now_us < it) {
            return;
        }
        let at_us = now_us + LEASE_REPLY_US;
        for (table, _) in session.tables.values() {
            self.events
                .push(at_us, Event::Table(node, Arc::clone(table)));
        }
        let newest = session.tables[&data_centre].0.epoch;
        if session.known[&node] == newest {
            let lease = GateEvent::LeaseUntil(now_us + LEASE_US);
            self.events.push(at_us, Event::Gate(node, lease));
        }
        let generation = session.generations.get(&node).copied().unwrap_or(0);
        if generation < deployment.generation {
            self.events.push(at_us, Event::Deployment(node, deployment));
        }
    }

    /// The store takes a new table that names another owner of one replica.
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
            let at_us = now_us + self.between(to, node) + LEASE_REPLY_US;
            self.events
                .push(at_us, Event::Table(node, Arc::clone(&table)));
        }
    }

    /// A node learns of a table.
    pub(crate) fn table(&mut self, now_us: u64, node: NodeKey, table: &Arc<OwnershipTable>) {
        let owners = QueryEvent::Owners(Arc::clone(table));
        self.feed_query(now_us, node, owners);
        if self.nodes[&node].data_centre != table.data_centre {
            return;
        }
        let Some(session) = &mut self.session else {
            return;
        };
        let known = session.known[&node];
        if known >= table.epoch {
            return;
        }
        session.known.insert(node, table.epoch);
        let written_us = session.tables[&table.data_centre].1;
        // A table in between may have named another owner.
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
                let at_us = (written_us + TAKE_OVER_US).max(now_us);
                self.events.push(at_us, event);
            }
        }
    }

    /// The time came at which a new owner starts without a hand-over.
    pub(crate) fn take_over(
        &mut self,
        now_us: u64,
        node: NodeKey,
        replica: ReplicaKey,
        epoch: u64,
    ) {
        let known = self.session.as_ref().map(|it| it.known[&node]);
        if known == Some(epoch) && !self.owns(node, replica) {
            self.grant(now_us, node, replica, epoch, None);
        }
    }

    /// An old owner hands a replica over.
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
        let at_us = now_us + self.between(from, to);
        let session = self.session.as_mut();
        let lost = session.is_some_and(|it| it.lost_hand_overs.contains(&(replica, epoch)));
        self.send_with_fate(now_us, at_us, from, to, event, lost);
    }

    /// A hand-over arrives.
    pub(crate) fn handed_over(
        &mut self,
        now_us: u64,
        node: NodeKey,
        epoch: u64,
        replica: ReplicaKey,
        state: HandOverState,
    ) {
        let known = self.session.as_ref().map_or(0, |it| it.known[&node]);
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
            self.note(now_us, || TraceEvent::Granted {
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
        self.note(now_us, || TraceEvent::Revoked(node, replica, epoch));
        let event = GateEvent::Revoke {
            epoch,
            replica,
            successor,
        };
        self.feed_gate(now_us, node, event);
    }
}
