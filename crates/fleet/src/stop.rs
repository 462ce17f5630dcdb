//! Planned shutdown: announces that the node leaves, waits for the hand-over of its
//! replicas and stops.

use crate::Fleet;
use crate::FleetAction;
use crate::event_context::EventContext;
use crate::limits;

impl Fleet {
    /// Starts the shutdown: announces that this node is leaving, so that its data centre gets an
    /// ownership table without it.
    pub(crate) fn on_stop(&mut self, cx: &mut EventContext<'_>) {
        if self.stop_due_us.is_some() {
            return;
        }
        self.stop_due_us = Some(cx.now_us + limits::STOP_TIMEOUT_US);
        self.membership.leaving = true;
        self.membership.incarnation += 1;
        self.ownership.recheck_table = true;
        self.push_updates(cx);
    }

    /// Completes the shutdown once the ownership table no longer names this node, or at the
    /// deadline.
    pub(crate) fn run_stop(&mut self, cx: &mut EventContext<'_>) {
        let Some(due_us) = self.stop_due_us else {
            return;
        };
        if self.stopped {
            return;
        }
        let own = self.settings.node;
        let table = self.own_table().map(|it| &it.table);
        let in_own_table = table.is_some_and(|it| it.members.contains(&own));
        if in_own_table && cx.now_us < due_us {
            return;
        }
        self.stopped = true;
        self.revoke_all(cx);
        self.push_updates(cx);
        cx.push(FleetAction::Stopped);
    }
}
