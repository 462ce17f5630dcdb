use std::collections::HashMap;
use std::sync::Arc;

use crate::Replica;
use crate::notice::NoticeState;

/// Time for which the notices of a dropped replica are kept.
const RETENTION_US: u64 = 600_000_000;

/// Notices of dropped replicas: that they are draining, asked for a time without requests, or limit
/// the rate. A registration that lapsed may be restored by the same incarnation (process) of the replica, whose
/// notices are then still in force.
#[derive(Debug, Default)]
pub(crate) struct RetainedNotices {
    by_id: HashMap<Arc<str>, RetainedNotice>,
}

#[derive(Clone, Copy, Debug)]
struct RetainedNotice {
    started_unix_ms: u64,
    dropped_at_us: u64,
    notice_state: NoticeState,
}

impl RetainedNotices {
    /// Saves the notices of a replica that is being dropped.
    pub(crate) fn keep(&mut self, now_us: u64, replica: &Replica) {
        let notice_state = replica.notice_state;
        if notice_state.in_force(now_us) {
            let retained = RetainedNotice {
                started_unix_ms: replica.registration.started_unix_ms,
                dropped_at_us: now_us,
                notice_state,
            };
            self.by_id.insert(replica.id().clone(), retained);
        }
    }

    /// Removes and returns the notices of a replica that registers again; a later incarnation
    /// has none.
    pub(crate) fn take(&mut self, id: &Arc<str>, started_unix_ms: u64) -> NoticeState {
        match self.by_id.remove(id) {
            Some(retained) if retained.started_unix_ms == started_unix_ms => retained.notice_state,
            Some(_) | None => NoticeState::default(),
        }
    }

    /// Drops the notices that are older than [`RETENTION_US`].
    pub(crate) fn sweep(&mut self, now_us: u64) {
        self.by_id
            .retain(|_, retained| now_us < retained.dropped_at_us + RETENTION_US);
    }
}
