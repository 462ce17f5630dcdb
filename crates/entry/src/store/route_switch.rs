//! Switches from one configuration's routes to the next.

use std::rc::Rc;

use wigeonhall_dispatch::RouteTable;

use crate::peers::quota_exchange;
use crate::process::event::Event;
use crate::process::node_state::NodeState;
use crate::replicas::preconnect;
use crate::replicas::sender_counts;

/// Makes the routes of a newer configuration pending and puts them in force if possible.
pub(crate) fn set_pending(shared: &Rc<NodeState>, table: RouteTable) {
    let version = table.version;
    let routes = table.len();
    shared.pending_table.replace(Some(Rc::new(table)));
    if !activate_pending(shared) {
        shared.log(&Event::Configuration {
            lacking: count_newly_unserved(shared),
            outcome: "held",
            routes,
            version,
        });
    }
}

/// Puts the pending routes in force, unless they must be held back; returns whether none are
/// pending afterwards.
///
/// After an outage of the store a version may name services whose replicas have not registered
/// yet. The previous version serves until they have, or until the time in which replicas register
/// again after an outage (`is_settling`) has passed.
pub(crate) fn activate_pending(shared: &Rc<NodeState>) -> bool {
    let Some(table) = shared.pending_table.borrow().clone() else {
        return true;
    };
    let lacking = count_newly_unserved(shared);
    let now_us = shared.clock.now_us();
    let settling = shared.feed.store_health.borrow().is_settling(now_us);
    if lacking > 0 && settling {
        return false;
    }
    shared.pending_table.replace(None);
    shared.log(&Event::Configuration {
        lacking,
        outcome: "in_force",
        routes: table.len(),
        version: table.version,
    });
    shared.metrics.config_version.set(table.version as i64);
    shared.table.replace(Some(table));
    quota_exchange::notify_change(shared);
    sender_counts::update(shared);
    preconnect::to_services(shared);
    true
}

/// Counts the services that would newly have no replica in service under the pending routes.
fn count_newly_unserved(shared: &NodeState) -> usize {
    let pending = shared.pending_table.borrow();
    let current = shared.table.borrow();
    let (Some(pending), Some(current)) = (pending.as_ref(), current.as_ref()) else {
        return 0;
    };
    pending.newly_unserved_services(current, &shared.pool.borrow(), shared.clock.now_us())
}
