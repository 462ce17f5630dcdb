use crate::FleetAction;
use wigeonhall_types::Catalog;

/// What one call of `Fleet::handle` works with.
pub(crate) struct Step<'a> {
    pub(crate) actions: &'a mut Vec<FleetAction>,
    pub(crate) catalog: &'a mut Catalog,
    pub(crate) now_us: u64,
}

impl Step<'_> {
    pub(crate) fn push(&mut self, action: FleetAction) {
        self.actions.push(action);
    }
}
