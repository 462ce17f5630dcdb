use std::rc::Rc;

use wigeonhall_dispatch::RouteTable;

/// Routes of a configuration that was read, until they come into force.
#[derive(Clone, Debug)]
pub(crate) struct PendingRoutes {
    pub(crate) table: Rc<RouteTable>,
    /// Earliest time at which the store can have confirmed the version.
    pub(crate) written_us: u64,
}
