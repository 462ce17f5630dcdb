//! Switches from one configuration's routes to the next.

use std::rc::Rc;

use crate::peers::quota_exchange;
use crate::process::event::Event;
use crate::process::node_state::NodeState;
use crate::replicas::preconnect;
use crate::replicas::sender_counts;
use crate::store::pending_routes::PendingRoutes;

/// Makes the routes of a newer configuration pending and puts them in force if possible.
pub(crate) fn set_pending(shared: &Rc<NodeState>, pending: &PendingRoutes) {
    shared.pending_routes.replace(Some(pending.clone()));
    if !activate_pending(shared) {
        log_switch(shared, pending, "held", count_newly_unserved(shared));
    }
}

/// Puts the pending routes in force, unless they must be held back; returns whether none are
/// pending afterwards.
///
/// After an outage of the store a version may name services whose replicas have not registered
/// yet. The previous version serves until they have, or until the time in which replicas register
/// again after an outage has passed or the version is due (`is_settling`).
pub(crate) fn activate_pending(shared: &Rc<NodeState>) -> bool {
    let Some(pending) = shared.pending_routes.borrow().clone() else {
        return true;
    };
    let lacking = count_newly_unserved(shared);
    let now_us = shared.clock.now_us();
    let settling = shared.feed.store_health.borrow().is_settling(now_us);
    if lacking > 0 && settling {
        return false;
    }
    shared.pending_routes.replace(None);
    log_switch(shared, &pending, "in_force", lacking);
    let version = pending.table.version;
    shared.metrics.config_version.set(version as i64);
    let names = pending.table.service_names.clone();
    shared.pool.borrow_mut().set_named_services(names);
    shared.table.replace(Some(pending.table));
    quota_exchange::notify_change(shared);
    sender_counts::update(shared);
    preconnect::to_services(shared);
    true
}

fn log_switch(shared: &NodeState, pending: &PendingRoutes, outcome: &str, lacking: usize) {
    let age_us = shared.clock.now_us().saturating_sub(pending.written_us);
    shared.log(&Event::Configuration {
        age_ms: age_us / 1_000,
        lacking,
        outcome,
        routes: pending.table.len(),
        version: pending.table.version,
    });
}

/// Counts the services that would newly have no replica in service under the pending routes.
fn count_newly_unserved(shared: &NodeState) -> usize {
    let pending = shared.pending_routes.borrow();
    let current = shared.table.borrow();
    let (Some(pending), Some(current)) = (pending.as_ref(), current.as_ref()) else {
        return 0;
    };
    let now_us = shared.clock.now_us();
    let table = &pending.table;
    table.newly_unserved_services(current, &shared.pool.borrow(), now_us)
}
