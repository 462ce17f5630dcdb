//! Loss and replacement of entry nodes in a measured run.
//!
//! The simulation changes ownership itself, without the fleet core (the decision logic for leases
//! and ownership): the replicas of a lost node go round-robin to the other nodes of its data
//! centre, and back to its replacement.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use crate::World;
use crate::session_ownership::TAKE_OVER_DELAY_US;
use crate::session_trace::receiving_node;
use crate::session_world::CONNECTION_BREAK_DELAY_US;
use crate::session_world::REASSIGNMENT_DELAY_US;
use crate::world::Event;
use crate::world_setup::initial_ownership;
use wigeonhall_gate::Gate;
use wigeonhall_gate::GateEvent;
use wigeonhall_query::Coordinator;
use wigeonhall_query::CoordinatorConfig;
use wigeonhall_query::QueryEvent;
use wigeonhall_types::NodeKey;
use wigeonhall_types::OwnershipTable;
use wigeonhall_types::ReplicaKey;

/// Epoch (version number) of the ownership table after the loss of a node.
const LOSS_EPOCH: u64 = 2;

/// Epoch of the ownership table after the replacement of the node.
const REPLACEMENT_EPOCH: u64 = 3;

/// Added to the boot id of a replacement node, which must differ from that of the lost one.
const REPLACEMENT_BOOT_OFFSET: u64 = 1 << 32;

/// Ending counted for a query whose entry node was lost.
pub(crate) const CONNECTION_BROKEN: &str = "connection broken";

impl World {
    /// Disables hedging on all nodes.
    #[must_use]
    pub fn without_hedges(mut self) -> Self {
        for node in self.nodes.values_mut() {
            node.coordinator.disable_hedging();
        }
        self
    }

    /// Returns whether the event is addressed to a lost node.
    pub(crate) fn is_for_lost_node(&self, event: &Event) -> bool {
        receiving_node(event).is_some_and(|node| self.lost.contains(&node))
    }

    /// Crashes a node. Its open queries fail at once, and other nodes of its data centre take
    /// over its replicas once its lease has expired.
    pub(crate) fn lose_node(&mut self, now_us: u64, node: NodeKey) {
        self.lost.insert(node);
        let broken = self
            .open_queries
            .extract_if(|_, query| query.entry == Some(node));
        for (_, query) in broken {
            if query.counted {
                let stats = self.result.classes.entry(query.class).or_default();
                *stats
                    .endings
                    .entry(String::from(CONNECTION_BROKEN))
                    .or_default() += 1;
            }
        }
        for &other in self.nodes.keys() {
            let event = Event::Query(other, QueryEvent::NodeLost(node));
            self.events.push(now_us + CONNECTION_BREAK_DELAY_US, event);
        }
        let Some(mut table) = self.initial_table_of(node) else {
            return;
        };
        table.members.retain(|it| *it != node);
        table.epoch = LOSS_EPOCH;
        let mut successors = table.members.clone().into_iter().cycle();
        let mut moved = BTreeMap::new();
        for (&replica, owner) in &mut table.owners {
            if *owner == node
                && let Some(successor) = successors.next()
            {
                *owner = successor;
                moved.insert(replica, successor);
            }
        }
        let reassigned_us = now_us + REASSIGNMENT_DELAY_US;
        self.broadcast_table(reassigned_us, table);
        for (replica, successor) in moved {
            let grant = GateEvent::Grant {
                epoch: LOSS_EPOCH,
                replica,
                state: None,
            };
            let at_us = reassigned_us + TAKE_OVER_DELAY_US;
            self.events.push(at_us, Event::Gate(successor, grant));
        }
    }

    /// Starts the replacement of a lost node, which takes back the replicas of that node.
    pub(crate) fn replace_node(&mut self, now_us: u64, node: NodeKey) {
        self.lost.remove(&node);
        let Some(state) = self.nodes.get_mut(&node) else {
            return;
        };
        let config = CoordinatorConfig {
            boot: REPLACEMENT_BOOT_OFFSET + u64::from(node.0),
            data_centre: state.data_centre,
            node,
        };
        state.coordinator = Coordinator::new(config, u64::from(node.0));
        state.gate = Gate::new();
        state.submitters = HashMap::new();
        state.planned_wake_us = None;
        let deployment = Event::Deployment(node, Arc::clone(&self.deployment));
        self.events.push(now_us, deployment);
        let lease = GateEvent::LeaseUntil(u64::MAX);
        self.events.push(now_us, Event::Gate(node, lease));
        for table in initial_ownership(&self.deployment) {
            let owners = QueryEvent::Owners(Arc::new(table));
            self.events.push(now_us, Event::Query(node, owners));
        }
        let Some(mut table) = self.initial_table_of(node) else {
            return;
        };
        table.epoch = REPLACEMENT_EPOCH;
        self.broadcast_table(now_us, table.clone());
        let successors: Vec<NodeKey> = table.members.into_iter().filter(|it| *it != node).collect();
        let returned: Vec<ReplicaKey> = table
            .owners
            .iter()
            .filter(|(_, owner)| **owner == node)
            .map(|(&replica, _)| replica)
            .collect();
        for (replica, &successor) in returned.into_iter().zip(successors.iter().cycle()) {
            let revoke = GateEvent::Revoke {
                epoch: REPLACEMENT_EPOCH,
                replica,
                successor: Some(node),
            };
            self.events.push(now_us, Event::Gate(successor, revoke));
        }
    }

    /// Returns the initial table of the data centre of `node`.
    fn initial_table_of(&self, node: NodeKey) -> Option<OwnershipTable> {
        let mut tables = initial_ownership(&self.deployment).into_iter();
        tables.find(|it| it.members.contains(&node))
    }

    /// Sends a table to every node.
    fn broadcast_table(&mut self, at_us: u64, table: OwnershipTable) {
        let table = Arc::new(table);
        for &node in self.nodes.keys() {
            let owners = QueryEvent::Owners(Arc::clone(&table));
            self.events.push(at_us, Event::Query(node, owners));
        }
    }
}
