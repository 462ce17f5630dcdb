//! Planned shutdown: hand over, leave, end.

use crate::Fleet;
use crate::FleetAction;
use crate::limits;
use crate::step::Step;

impl Fleet {
    /// Announces that this node leaves; tables without it follow.
    pub(crate) fn on_stop(&mut self, step: &mut Step<'_>) {
        if self.stop_due_us.is_some() {
            return;
        }
        self.stop_due_us = Some(step.now_us + limits::STOP_US);
        self.membership.leaving = true;
        self.membership.incarnation += 1;
        self.ownership.check = true;
        self.tell_neighbours(step);
    }

    /// Ends once no table names this node, or after a bounded wait.
    pub(crate) fn run_stop(&mut self, step: &mut Step<'_>) {
        let Some(due_us) = self.stop_due_us else {
            return;
        };
        if self.stopped {
            return;
        }
        let own = self.config.node;
        let table = self.own_table().map(|it| &it.table);
        let named = table.is_some_and(|it| it.members.contains(&own));
        if named && step.now_us < due_us {
            return;
        }
        self.stopped = true;
        self.revoke_all(step);
        self.tell_neighbours(step);
        step.push(FleetAction::Stopped);
    }
}
