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

/// Longest wait of one watch: followers continue from the revision of the last watch, which must
/// still be in the store's history.
const WATCH_WAIT_MAX_MS: u64 = 15_000;

/// Shortest wait of one watch; each watch costs a call.
const WATCH_WAIT_MIN_MS: u64 = 1_000;

/// Time beyond its wait after which a watch times out.
const WATCH_TIMEOUT_MARGIN_MS: u64 = 1_000;

/// Limits of the timeout of a call that does not wait. A busy store may take some hundred
/// milliseconds.
const CALL_TIMEOUT_MIN_MS: u64 = 1_000;
const CALL_TIMEOUT_MAX_MS: u64 = 4_000;

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

/// Returns how long a watch waits for changes that must be in force within `bound_ms` if they are
/// confirmed after the stabilization time that follows a disturbance.
///
/// A watch whose answer is lost looks like one that waits. The bound holds again
/// `stabilization_ms` after the last disturbance, in which an answer may be lost; a new watch must
/// have replaced the lost one half of the bound before a change of that time is due.
#[must_use]
pub fn watch_wait_ms(bound_ms: u64, stabilization_ms: u64) -> u64 {
    let lost_until_ms = stabilization_ms.saturating_add(bound_ms / 2);
    lost_until_ms
        .saturating_sub(WATCH_TIMEOUT_MARGIN_MS)
        .clamp(WATCH_WAIT_MIN_MS, WATCH_WAIT_MAX_MS)
}

/// Returns the timeout of a watch that waits for `wait_ms`.
#[must_use]
pub const fn watch_timeout_ms(wait_ms: u64) -> u64 {
    wait_ms + WATCH_TIMEOUT_MARGIN_MS
}

/// Returns the timeout of a call that does not wait, and that a change depends on which must be in
/// force within `bound_ms`; the rest is for another call.
#[must_use]
pub fn call_timeout_ms(bound_ms: u64) -> u64 {
    (bound_ms * 2 / 3).clamp(CALL_TIMEOUT_MIN_MS, CALL_TIMEOUT_MAX_MS)
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
