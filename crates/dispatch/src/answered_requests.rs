use std::collections::HashSet;
use std::mem;

use crate::RequestKey;

/// Time after which a generation of keys is replaced; a key is kept for once to twice this time.
const GENERATION_US: u64 = 60_000_000;

/// Maximum number of keys in a generation, which bounds the memory where callers vary their requests.
const GENERATION_KEYS_MAX: usize = 2_048;

/// Keys of the requests that replicas answered lately.
#[derive(Debug, Default)]
pub(crate) struct AnsweredRequests {
    /// Keys since `started_us`, at most [`GENERATION_KEYS_MAX`].
    newer: HashSet<RequestKey>,
    /// Keys of the generation before.
    older: HashSet<RequestKey>,
    started_us: u64,
}

impl AnsweredRequests {
    pub(crate) fn contains(&mut self, now_us: u64, key: RequestKey) -> bool {
        self.expire(now_us);
        self.newer.contains(&key) || self.older.contains(&key)
    }

    pub(crate) fn insert(&mut self, now_us: u64, key: RequestKey) {
        self.expire(now_us);
        if self.newer.len() >= GENERATION_KEYS_MAX {
            self.start_generation(now_us);
        }
        self.newer.insert(key);
    }

    fn expire(&mut self, now_us: u64) {
        let age_us = now_us.saturating_sub(self.started_us);
        if age_us >= GENERATION_US {
            self.start_generation(now_us);
        }
        if age_us >= 2 * GENERATION_US {
            self.older.clear();
        }
    }

    fn start_generation(&mut self, now_us: u64) {
        self.older = mem::take(&mut self.newer);
        self.started_us = now_us;
    }
}
