use std::cell::Cell;

use crate::process::event::Event;
use crate::process::node_state::NodeState;

/// Why a caller was refused or its connection closed.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CallerLimit {
    /// An incomplete body was closed, as others needed the memory.
    BodyClosed,
    /// A connection without a whole request was closed in favour of a new one.
    ConnectionClosed,
    /// A new connection was closed, as all others were busy.
    ConnectionRefused,
    /// A request was refused before its body was read, as there was no memory.
    RequestRefused,
}

impl CallerLimit {
    const ALL: [Self; 4] = [
        Self::BodyClosed,
        Self::ConnectionClosed,
        Self::ConnectionRefused,
        Self::RequestRefused,
    ];

    /// Returns the value of the metric's `outcome` label.
    const fn label(self) -> &'static str {
        match self {
            Self::BodyClosed => "body_closed",
            Self::ConnectionClosed => "connection_closed",
            Self::ConnectionRefused => "connection_refused",
            Self::RequestRefused => "request_refused",
        }
    }
}

/// Counts what limits did to callers since the last log line.
#[derive(Debug, Default)]
pub(crate) struct CallerLimits {
    counts: [Cell<u64>; CallerLimit::ALL.len()],
}

impl CallerLimits {
    pub(crate) fn count(&self, limit: CallerLimit) {
        let count = &self.counts[limit as usize];
        count.set(count.get() + 1);
    }

    fn take(&self, limit: CallerLimit) -> u64 {
        self.counts[limit as usize].take()
    }
}

/// Adds the counts to the metrics and logs them in one line, if there are any.
pub(crate) fn log_counts(shared: &NodeState) {
    let counts = CallerLimit::ALL.map(|limit| (limit, shared.caller_limits.take(limit)));
    if counts.iter().all(|(_, count)| *count == 0) {
        return;
    }
    for (limit, count) in counts {
        let label = [limit.label()];
        shared
            .metrics
            .limited_callers
            .with_label_values(&label)
            .inc_by(count);
    }
    let [
        bodies_closed,
        connections_closed,
        connections_refused,
        requests_refused,
    ] = counts.map(|(_, count)| count);
    shared.log(&Event::CallersLimited {
        bodies_closed,
        connections: shared.connections.get(),
        connections_closed,
        connections_refused,
        requests_refused,
    });
}
