use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use wigeonhall_dispatch::CONNECTION_BYTES;
use wigeonhall_dispatch::MemoryUse;
use wigeonhall_dispatch::REQUEST_GRACE_MS;
use wigeonhall_dispatch::connection_limit;
use wigeonhall_dispatch::connection_to_close;

use crate::callers::caller_limits::CallerLimit;
use crate::callers::caller_stream::CallerActivity;
use crate::process::held_memory::HeldMemory;
use crate::process::node_state::NodeState;

/// The open connections of callers.
#[derive(Debug, Default)]
pub(crate) struct CallerConnections {
    open: RefCell<Vec<Rc<CallerActivity>>>,
}

impl CallerConnections {
    fn len(&self) -> usize {
        self.open.borrow().len()
    }

    fn remove(&self, activity: &Rc<CallerActivity>) {
        let mut open = self.open.borrow_mut();
        if let Some(index) = open.iter().position(|other| Rc::ptr_eq(other, activity)) {
            open.swap_remove(index);
        }
    }

    /// Closes a connection in favour of a new one; returns false if there is none to close.
    fn close_one(&self) -> bool {
        let mut open = self.open.borrow_mut();
        let states = open.iter().enumerate().map(|(index, activity)| {
            let (state, since) = activity.state();
            (index, state, since)
        });
        let grace = Duration::from_millis(REQUEST_GRACE_MS);
        let young_since = Instant::now().checked_sub(grace);
        let young_since = young_since.unwrap_or_else(Instant::now);
        let Some(index) = connection_to_close(states, young_since) else {
            return false;
        };
        open.swap_remove(index).close();
        true
    }
}

/// An admitted connection; it counts until this is dropped.
#[derive(Debug)]
pub(crate) struct AdmittedConnection {
    pub(crate) activity: Rc<CallerActivity>,
    shared: Rc<NodeState>,
}

impl Drop for AdmittedConnection {
    fn drop(&mut self) {
        self.shared.caller_connections.remove(&self.activity);
    }
}

/// Admits a connection, if need be in favour of others without a whole request; `None` if all are
/// busy.
pub(crate) fn admit(
    shared: &Rc<NodeState>,
    activity: Rc<CallerActivity>,
) -> Option<AdmittedConnection> {
    let connections = &shared.caller_connections;
    let limit = connection_limit(shared.descriptors);
    let below_limit = connections.len() < limit || make_room(shared);
    let memory = below_limit.then(|| reserve(shared)).flatten();
    let Some(memory) = memory else {
        shared.caller_limits.count(CallerLimit::ConnectionRefused);
        return None;
    };
    activity.hold(memory);
    connections.open.borrow_mut().push(activity.clone());
    Some(AdmittedConnection {
        activity,
        shared: shared.clone(),
    })
}

fn reserve(shared: &Rc<NodeState>) -> Option<HeldMemory> {
    let reserve = || HeldMemory::reserve(shared, MemoryUse::Connections, CONNECTION_BYTES);
    reserve().or_else(|| make_room(shared).then(reserve).flatten())
}

/// Closes a connection without a whole request; returns false if there is none.
fn make_room(shared: &NodeState) -> bool {
    let closed = shared.caller_connections.close_one();
    if closed {
        shared.caller_limits.count(CallerLimit::ConnectionClosed);
    }
    closed
}
