use std::collections::HashMap;
use std::sync::Arc;

use crate::Replica;
use crate::notice::Standing;

/// Time for which the notices of a replica without an entry are kept.
const KEPT_US: u64 = 600_000_000;

/// Notices of replicas whose entry has gone: one that lapsed may come back in the same
/// lifetime, and the replica still leaves.
#[derive(Debug, Default)]
pub(crate) struct FormerNotices {
    by_id: HashMap<Arc<str>, Former>,
}

#[derive(Clone, Copy, Debug)]
struct Former {
    born_unix_ms: u64,
    gone_at_us: u64,
    standing: Standing,
}

impl FormerNotices {
    /// Keeps the notices of a replica that is dropped.
    pub(crate) fn keep(&mut self, now_us: u64, replica: &Replica) {
        let standing = replica.standing;
        if standing.leaving || standing.holds_off(now_us) {
            let former = Former {
                born_unix_ms: replica.registration.born_unix_ms,
                gone_at_us: now_us,
                standing,
            };
            self.by_id.insert(replica.id().clone(), former);
        }
    }

    /// The notices of a replica whose entry is back; none for a later lifetime.
    pub(crate) fn take(&mut self, id: &Arc<str>, born_unix_ms: u64) -> Standing {
        match self.by_id.remove(id) {
            Some(former) if former.born_unix_ms == born_unix_ms => former.standing,
            Some(_) | None => Standing::default(),
        }
    }

    /// Forgets notices that are too old.
    pub(crate) fn sweep(&mut self, now_us: u64) {
        self.by_id
            .retain(|_, former| now_us < former.gone_at_us + KEPT_US);
    }
}
