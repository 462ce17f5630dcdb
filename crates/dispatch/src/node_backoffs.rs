use std::collections::HashMap;
use std::sync::Arc;

/// First backoff after a node did not respond.
const FIRST_BACKOFF_US: u64 = 1_000_000;

/// Maximum backoff; a node that has recovered is used again within this time.
const MAX_BACKOFF_US: u64 = 8_000_000;

#[derive(Clone, Copy, Debug)]
struct NodeBackoff {
    failures: u32,
    until_us: u64,
}

/// Nodes that did not respond, and are not used until their backoff has passed; the backoff
/// doubles with each failure in a row.
#[derive(Debug, Default)]
pub(crate) struct NodeBackoffs {
    by_name: HashMap<Arc<str>, NodeBackoff>,
}

impl NodeBackoffs {
    /// Records a failure; returns whether it is the first in a row.
    pub(crate) fn record_failure(&mut self, now_us: u64, name: &Arc<str>) -> bool {
        let failures = self
            .by_name
            .get(name)
            .map_or(0, |previous| previous.failures);
        let backoff_us = (FIRST_BACKOFF_US << failures.min(3)).min(MAX_BACKOFF_US);
        let backoff = NodeBackoff {
            failures: failures + 1,
            until_us: now_us + backoff_us,
        };
        self.by_name.insert(name.clone(), backoff);
        failures == 0
    }

    /// Ends the backoff of a node; returns whether it had failed.
    pub(crate) fn clear(&mut self, name: &Arc<str>) -> bool {
        self.by_name.remove(name).is_some()
    }

    /// Whether the node's backoff has passed, or it has none.
    pub(crate) fn is_usable(&self, now_us: u64, name: &Arc<str>) -> bool {
        self.by_name
            .get(name)
            .is_none_or(|backoff| backoff.until_us <= now_us)
    }

    /// Drops the entries of nodes that are no longer known.
    pub(crate) fn retain(&mut self, known: impl Fn(&Arc<str>) -> bool) {
        self.by_name.retain(|name, _| known(name));
    }
}
