use std::collections::HashMap;
use std::sync::Arc;

use crate::Registration;
use crate::Replica;
use crate::notice::NoticeState;

/// Time for which dropped replicas are remembered.
const RETENTION_US: u64 = 600_000_000;

/// What is known of dropped replicas. The same incarnation (process) may register again: after its
/// registration lapsed, when its notices (that it is draining, asked for a time without requests, or
/// limits the rate) are still in force, or because the store was restored from an older copy, when
/// it is still gone.
#[derive(Debug, Default)]
pub(crate) struct DepartedReplicas {
    by_id: HashMap<Arc<str>, DepartedReplica>,
}

#[derive(Clone, Copy, Debug)]
struct DepartedReplica {
    dropped_at_us: u64,
    notice_state: NoticeState,
    sequence: u64,
    started_unix_ms: u64,
}

impl DepartedReplicas {
    /// Remembers a replica that is being dropped.
    pub(crate) fn keep(&mut self, now_us: u64, replica: &Replica) {
        let departed = DepartedReplica {
            dropped_at_us: now_us,
            notice_state: replica.notice_state,
            sequence: replica.registration.sequence,
            started_unix_ms: replica.registration.started_unix_ms,
        };
        self.by_id.insert(replica.id().clone(), departed);
    }

    /// Removes and returns the notices of a replica that registers again; a later incarnation
    /// has none.
    pub(crate) fn take_notices(&mut self, id: &Arc<str>, started_unix_ms: u64) -> NoticeState {
        match self.by_id.remove(id) {
            Some(departed) if departed.started_unix_ms == started_unix_ms => departed.notice_state,
            Some(_) | None => NoticeState::default(),
        }
    }

    /// Returns whether a registration was written before its replica was dropped.
    pub(crate) fn precedes_departure(&self, registration: &Registration) -> bool {
        let written = (registration.started_unix_ms, registration.sequence);
        let departed = self.by_id.get(&registration.id);
        departed.is_some_and(|it| written <= (it.started_unix_ms, it.sequence))
    }

    /// Forgets the replicas that were dropped more than [`RETENTION_US`] ago.
    pub(crate) fn sweep(&mut self, now_us: u64) {
        self.by_id
            .retain(|_, departed| now_us < departed.dropped_at_us + RETENTION_US);
    }
}
