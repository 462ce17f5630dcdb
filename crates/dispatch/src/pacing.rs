/// Pause after changes, which joins bursts of them into one call to the store.
const CHANGE_PAUSE_MS: u64 = 700;

/// Changes in one answer from which on more are waiting.
const BACKLOG_CHANGES: usize = 100;

/// How long a node waits before it watches again, after an answer with `changes`.
///
/// A node that is behind must not wait: a replica that drains may be among the rest.
#[must_use]
pub const fn watch_pause_ms(changes: usize) -> u64 {
    if changes == 0 || changes >= BACKLOG_CHANGES {
        0
    } else {
        CHANGE_PAUSE_MS
    }
}
