/// Part of the time within which a change must be in force that a node may pause: the
/// rest is for the store, the network and a call that has to be repeated.
const PAUSE_DIVISOR: u64 = 4;

/// Part of the time within which a change must be in force that a node may hear nothing
/// from the one that reads the store for it: the rest is for a pause of that node before
/// it fell silent, and for a call of its own.
const SILENCE_DIVISOR: u64 = 3;

/// Shortest silence limit; a shorter one would be exceeded by the pauses of a busy node.
const SILENCE_MIN_MS: u64 = 300;

/// Changes in one answer from which on more are waiting.
const BACKLOG_CHANGES: usize = 100;

/// How long a node waits before it watches again, after an answer with `changes` that
/// must be in force within `bound_ms`. The pause joins bursts into one call.
///
/// A node that is behind must not wait: a replica that drains may be among the rest.
#[must_use]
pub const fn watch_pause_ms(changes: usize, bound_ms: u64) -> u64 {
    if changes == 0 || changes >= BACKLOG_CHANGES {
        0
    } else {
        bound_ms / PAUSE_DIVISOR
    }
}

/// How long a node may hear nothing from the one that reads the store for it, where the
/// most urgent change must be in force within `bound_ms`.
#[must_use]
pub const fn silence_limit_ms(bound_ms: u64) -> u64 {
    let limit_ms = bound_ms / SILENCE_DIVISOR;
    if limit_ms < SILENCE_MIN_MS {
        SILENCE_MIN_MS
    } else {
        limit_ms
    }
}
