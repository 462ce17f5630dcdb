//! Context of one call of [`Fleet::handle`](crate::Fleet::handle).

use crate::FleetAction;
use wigeonhall_types::NameCatalog;

/// Time, name catalog and action buffer of one call of `Fleet::handle`.
pub(crate) struct EventContext<'a> {
    pub(crate) actions: &'a mut Vec<FleetAction>,
    pub(crate) catalog: &'a mut NameCatalog,
    pub(crate) now_us: u64,
}

impl EventContext<'_> {
    pub(crate) fn push(&mut self, action: FleetAction) {
        self.actions.push(action);
    }
}
