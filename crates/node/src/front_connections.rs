use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use tokio::sync::Notify;

/// Limit on open connections, far above `CALLERS_MAX`; the descriptors that remain are for
/// targets and other nodes.
const CONNECTIONS_MAX: usize = 2_048;

/// Divisor of the descriptors that the process may open; connections may hold the quotient.
const DESCRIPTOR_DIVISOR: usize = 2;

/// A connection of a caller or operator.
#[derive(Debug, Default)]
pub(crate) struct FrontConnection {
    /// Tells the connection to end in favour of another.
    pub(crate) close: Notify,
    /// Number of requests that are being served.
    requests: Cell<usize>,
}

impl FrontConnection {
    pub(crate) fn request_began(&self) {
        self.requests.set(self.requests.get() + 1);
    }

    pub(crate) fn request_ended(&self) {
        self.requests.set(self.requests.get() - 1);
    }
}

/// The open connections, the oldest first.
#[derive(Debug)]
pub(crate) struct FrontConnections {
    limit: usize,
    open: RefCell<Vec<Rc<FrontConnection>>>,
}

impl FrontConnections {
    pub(crate) fn new(descriptors: Option<usize>) -> Self {
        let limit = descriptors.map_or(CONNECTIONS_MAX, |count| count / DESCRIPTOR_DIVISOR);
        Self {
            limit: limit.min(CONNECTIONS_MAX),
            open: RefCell::default(),
        }
    }

    /// Adds a connection; at the limit, the oldest one without a request is closed for it. `None`
    /// if all serve requests.
    pub(crate) fn admit(&self) -> Option<Rc<FrontConnection>> {
        let mut open = self.open.borrow_mut();
        if open.len() >= self.limit {
            let idle = open.iter().position(|it| it.requests.get() == 0)?;
            open.remove(idle).close.notify_one();
        }
        let connection = Rc::new(FrontConnection::default());
        open.push(connection.clone());
        Some(connection)
    }

    pub(crate) fn remove(&self, connection: &Rc<FrontConnection>) {
        let mut open = self.open.borrow_mut();
        open.retain(|other| !Rc::ptr_eq(other, connection));
    }
}
