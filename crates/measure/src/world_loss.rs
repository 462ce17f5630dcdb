//! Entry nodes that are lost and replaced in a measured run.
//!
//! Ownership follows the rules of the design page with one authority in place of the
//! fleet core, as in sessions.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use crate::World;
use crate::session_ownership::TAKE_OVER_US;
use crate::session_trace::addressee;
use crate::session_world::LOST_FOUND_US;
use crate::session_world::LOST_SEEN_US;
use crate::world::Event;
use crate::world_setup::ownership;
use wigeonhall_gate::Gate;
use wigeonhall_gate::GateEvent;
use wigeonhall_query::Coordinator;
use wigeonhall_query::CoordinatorConfig;
use wigeonhall_query::QueryEvent;
use wigeonhall_types::NodeKey;
use wigeonhall_types::OwnershipTable;
use wigeonhall_types::ReplicaKey;

/// Epoch of the table without the lost node.
const WITHOUT_EPOCH: u64 = 2;

/// Epoch of the table with its replacement.
const AGAIN_EPOCH: u64 = 3;

/// Added to the boot id of a node that is replaced.
const REPLACED_BOOT: u64 = 1 << 32;

/// Ending of a query whose entry node was lost.
pub(crate) const BROKEN: &str = "connection broken";

impl World {
    /// Sends no second sub-request to replicas that are late.
    #[must_use]
    pub fn without_hedges(mut self) -> Self {
        for node in self.nodes.values_mut() {
            node.coordinator.disable_hedging();
        }
        self
    }

    /// Whether a lost node should handle the event.
    pub(crate) fn to_lost(&self, event: &Event) -> bool {
        addressee(event).is_some_and(|node| self.lost.contains(&node))
    }

    /// A node ends: its queries break, its replicas go to the rest of its data centre
    /// once the lease is over.
    pub(crate) fn lose_node(&mut self, now_us: u64, node: NodeKey) {
        self.lost.insert(node);
        let broken = self.open.extract_if(|_, query| query.entry == Some(node));
        for (_, query) in broken {
            if query.counted {
                let stats = self.result.classes.entry(query.class).or_default();
                *stats.endings.entry(String::from(BROKEN)).or_default() += 1;
            }
        }
        for &other in self.nodes.keys() {
            let event = Event::Query(other, QueryEvent::NodeLost(node));
            self.events.push(now_us + LOST_SEEN_US, event);
        }
        let Some(mut table) = self.table_of(node) else {
            return;
        };
        table.members.retain(|it| *it != node);
        table.epoch = WITHOUT_EPOCH;
        let mut heirs = table.members.clone().into_iter().cycle();
        let mut moved = BTreeMap::new();
        for (&replica, owner) in &mut table.owners {
            if *owner == node
                && let Some(heir) = heirs.next()
            {
                *owner = heir;
                moved.insert(replica, heir);
            }
        }
        let found_us = now_us + LOST_FOUND_US;
        self.announce(found_us, table);
        for (replica, heir) in moved {
            let grant = GateEvent::Grant {
                epoch: WITHOUT_EPOCH,
                replica,
                state: None,
            };
            let at_us = found_us + TAKE_OVER_US;
            self.events.push(at_us, Event::Gate(heir, grant));
        }
    }

    /// A replacement starts and takes back what the lost node owned.
    pub(crate) fn replace_node(&mut self, now_us: u64, node: NodeKey) {
        self.lost.remove(&node);
        let Some(sim) = self.nodes.get_mut(&node) else {
            return;
        };
        let config = CoordinatorConfig {
            boot: REPLACED_BOOT + u64::from(node.0),
            data_centre: sim.data_centre,
            node,
        };
        sim.coordinator = Coordinator::new(config, u64::from(node.0));
        sim.gate = Gate::new();
        sim.submitters = HashMap::new();
        sim.wake_us = None;
        let deployment = Event::Deployment(node, Arc::clone(&self.deployment));
        self.events.push(now_us, deployment);
        let lease = GateEvent::LeaseUntil(u64::MAX);
        self.events.push(now_us, Event::Gate(node, lease));
        for table in ownership(&self.deployment) {
            let owners = QueryEvent::Owners(Arc::new(table));
            self.events.push(now_us, Event::Query(node, owners));
        }
        let Some(mut table) = self.table_of(node) else {
            return;
        };
        table.epoch = AGAIN_EPOCH;
        self.announce(now_us, table.clone());
        let heirs: Vec<NodeKey> = table.members.into_iter().filter(|it| *it != node).collect();
        let back: Vec<ReplicaKey> = table
            .owners
            .iter()
            .filter(|(_, owner)| **owner == node)
            .map(|(&replica, _)| replica)
            .collect();
        for (replica, &heir) in back.into_iter().zip(heirs.iter().cycle()) {
            let revoke = GateEvent::Revoke {
                epoch: AGAIN_EPOCH,
                replica,
                successor: Some(node),
            };
            self.events.push(now_us, Event::Gate(heir, revoke));
        }
    }

    /// The table at the start of the data centre of `node`.
    fn table_of(&self, node: NodeKey) -> Option<OwnershipTable> {
        let mut tables = ownership(&self.deployment).into_iter();
        tables.find(|it| it.members.contains(&node))
    }

    /// Every node learns of a table.
    fn announce(&mut self, at_us: u64, table: OwnershipTable) {
        let table = Arc::new(table);
        for &node in self.nodes.keys() {
            let owners = QueryEvent::Owners(Arc::clone(&table));
            self.events.push(at_us, Event::Query(node, owners));
        }
    }
}
