use std::collections::HashMap;
use std::sync::Arc;

/// First backoff after a node did not respond.
const FIRST_BACKOFF_US: u64 = 1_000_000;

/// Maximum backoff; a node that has recovered is used again within this time.
const MAX_BACKOFF_US: u64 = 8_000_000;

#[derive(Clone, Copy, Debug)]
struct Suspicion {
    failures: u32,
    until_us: u64,
}

/// Nodes that did not respond. A node is suspected until its backoff has passed; the backoff
/// doubles with each failure in a row.
#[derive(Debug, Default)]
pub(crate) struct Suspicions {
    by_name: HashMap<Arc<str>, Suspicion>,
}

impl Suspicions {
    pub(crate) fn suspect(&mut self, now_us: u64, name: &Arc<str>) {
        let failures = self
            .by_name
            .get(name)
            .map_or(0, |previous| previous.failures);
        let backoff_us = (FIRST_BACKOFF_US << failures.min(3)).min(MAX_BACKOFF_US);
        let suspicion = Suspicion {
            failures: failures + 1,
            until_us: now_us + backoff_us,
        };
        self.by_name.insert(name.clone(), suspicion);
    }

    pub(crate) fn clear(&mut self, name: &Arc<str>) {
        self.by_name.remove(name);
    }

    /// Whether the node's backoff has passed, or it has none.
    pub(crate) fn is_usable(&self, now_us: u64, name: &Arc<str>) -> bool {
        self.by_name
            .get(name)
            .is_none_or(|suspicion| suspicion.until_us <= now_us)
    }

    /// Drops the entries of nodes that are no longer known.
    pub(crate) fn retain(&mut self, known: impl Fn(&Arc<str>) -> bool) {
        self.by_name.retain(|name, _| known(name));
    }
}
