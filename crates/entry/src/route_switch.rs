//! The change from one configuration to the next.

use std::rc::Rc;

use wigeonhall_dispatch::RouteTable;

use crate::event::Event;
use crate::node_state::NodeState;
use crate::open_ahead;
use crate::senders;

/// Takes in the routes of a newer configuration.
pub(crate) fn offer(shared: &Rc<NodeState>, table: RouteTable) {
    let version = table.version;
    let routes = table.len();
    shared.next_table.replace(Some(Rc::new(table)));
    if !review(shared) {
        shared.log(&Event::Configuration {
            lacking: lacking(shared),
            outcome: "held",
            routes,
            version,
        });
    }
}

/// Puts the newest routes in force; returns whether none are held back.
///
/// After an outage of the store a version may name services whose replicas have not
/// registered yet; the version before serves until they are known, or should be.
pub(crate) fn review(shared: &Rc<NodeState>) -> bool {
    let Some(table) = shared.next_table.borrow().clone() else {
        return true;
    };
    let lacking = lacking(shared);
    let now_us = shared.clock.now_us();
    let settling = shared.feed.store_health.borrow().is_settling(now_us);
    if lacking > 0 && settling {
        return false;
    }
    shared.next_table.replace(None);
    shared.log(&Event::Configuration {
        lacking,
        outcome: "in_force",
        routes: table.len(),
        version: table.version,
    });
    shared.metrics.config_version.set(table.version as i64);
    shared.table.replace(Some(table));
    senders::review(shared);
    open_ahead::to_services(shared);
    true
}

/// Services of the newest routes that lack a replica and are served now.
fn lacking(shared: &NodeState) -> usize {
    let next = shared.next_table.borrow();
    let current = shared.table.borrow();
    let (Some(next), Some(current)) = (next.as_ref(), current.as_ref()) else {
        return 0;
    };
    next.lacking(current, &shared.pool.borrow(), shared.clock.now_us())
}
