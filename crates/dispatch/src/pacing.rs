/// Divisor of the time within which a change must be in force; a node pauses between two watch
/// calls for at most the quotient. The rest is for the store, the network and a repeated call.
const PAUSE_DIVISOR: u64 = 4;

/// Divisor of the time within which a change must be in force; a follower, a node that receives
/// changes from a peer, waits for a message from its reader, the peer that reads the store, for
/// at most the quotient. The rest is for a pause of the reader before it failed, and for a call
/// of the follower to another source.
const SILENCE_DIVISOR: u64 = 3;

/// Minimum silence limit; a shorter one would be exceeded by the pauses of a busy node.
const SILENCE_MIN_MS: u64 = 300;

/// Number of changes in one response from which further changes are assumed to be pending.
const BACKLOG_CHANGES: usize = 100;

/// Returns how long a node waits before its next watch call, after a response with `changes`
/// changes that must be in force within `bound_ms`. The pause combines bursts of changes into
/// one call.
///
/// A node that is behind does not pause, because the pending changes may include a draining
/// replica.
#[must_use]
pub const fn watch_pause_ms(changes: usize, bound_ms: u64) -> u64 {
    if changes == 0 || changes >= BACKLOG_CHANGES {
        0
    } else {
        bound_ms / PAUSE_DIVISOR
    }
}

/// Returns how long a follower waits without a message from its reader, if the most urgent
/// change must be in force within `bound_ms`.
#[must_use]
pub const fn silence_limit_ms(bound_ms: u64) -> u64 {
    let limit_ms = bound_ms / SILENCE_DIVISOR;
    if limit_ms < SILENCE_MIN_MS {
        SILENCE_MIN_MS
    } else {
        limit_ms
    }
}
