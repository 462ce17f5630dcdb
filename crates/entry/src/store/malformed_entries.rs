use std::cell::RefCell;
use std::collections::BTreeMap;

use wigeonhall_adapter::Collection;
use wigeonhall_adapter::MalformedItem;

use crate::process::event::Event;
use crate::process::node_state::NodeState;

/// Lines about one entry with the same reason, until it can be decoded or the reason changes.
/// Attempts of an operator get one each; a writer that repeats itself does not fill the log.
const LINES_PER_REASON_MAX: u32 = 10;

/// Number of entries whose last reason is kept; beyond it, all are forgotten.
const KEPT_ENTRIES_MAX: usize = 1_000;

/// Reports entries of a collection that cannot be decoded: counts each whenever it is read, and
/// logs it unless the same was logged many times.
#[derive(Debug)]
pub(crate) struct MalformedEntries {
    collection: Collection,
    /// What was reported last, by the entries' names.
    reported: RefCell<BTreeMap<String, Reported>>,
}

#[derive(Debug, Default)]
struct Reported {
    /// Number of reports in a row with this reason.
    count: u32,
    reason: String,
}

impl MalformedEntries {
    pub(crate) const fn new(collection: Collection) -> Self {
        Self {
            collection,
            reported: RefCell::new(BTreeMap::new()),
        }
    }

    /// Reports items of a response.
    pub(crate) fn report_items(&self, shared: &NodeState, items: &[MalformedItem]) {
        for item in items {
            self.report(shared, &item.name, item.reason.to_string());
        }
    }

    /// Reports the entry with a name.
    pub(crate) fn report(&self, shared: &NodeState, name: &str, reason: String) {
        let collection = self.collection.wire_name();
        let malformed = &shared.metrics.malformed_entries;
        malformed.with_label_values(&[collection]).inc();
        if self.count_report(name, &reason) > LINES_PER_REASON_MAX {
            return;
        }
        shared.log(&Event::Malformed {
            collection,
            name,
            reason,
        });
    }

    /// Forgets an entry that can be decoded or was removed.
    pub(crate) fn forget(&self, name: &str) {
        self.reported.borrow_mut().remove(name);
    }

    /// Counts a report; returns the number of reports in a row with this reason.
    fn count_report(&self, name: &str, reason: &str) -> u32 {
        let mut reported = self.reported.borrow_mut();
        if reported.len() >= KEPT_ENTRIES_MAX && !reported.contains_key(name) {
            reported.clear();
        }
        let entry = reported.entry(name.to_owned()).or_default();
        if entry.reason != reason {
            entry.count = 0;
            reason.clone_into(&mut entry.reason);
        }
        entry.count = entry.count.saturating_add(1);
        entry.count
    }
}
