use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;

use wigeonhall_adapter::Changes;
use wigeonhall_adapter::Collection;
use wigeonhall_adapter::MalformedItems;

use crate::process::event::Event;
use crate::process::node_state::NodeState;

/// Lines about one entry with the same reason, until it can be decoded or the reason changes.
/// Attempts of an operator get one each; a writer that repeats itself does not fill the log.
const LINES_PER_REASON_MAX: u32 = 10;

/// Lines about all entries of a collection in one minute: another writer may leave any number.
const LINES_PER_MINUTE_MAX: u32 = 200;

const MINUTE_US: u64 = 60_000_000;

/// Length up to which a name and a reason are kept and logged; names may be of any length.
const SHOWN_BYTES_MAX: usize = 200;

/// Number of entries whose last reason is kept; beyond it, all are forgotten.
const KEPT_ENTRIES_MAX: usize = 1_000;

/// Reports entries of a collection that cannot be decoded: counts each whenever it is read, and
/// logs it unless the same was logged many times.
#[derive(Debug)]
pub(crate) struct MalformedEntries {
    collection: Collection,
    /// The minute of the last line, and the number of lines in it.
    logged: Cell<(u64, u32)>,
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
            logged: Cell::new((0, 0)),
            reported: RefCell::new(BTreeMap::new()),
        }
    }

    /// Reports items of a response.
    pub(crate) fn report_items(&self, shared: &NodeState, items: &MalformedItems) {
        for item in &items.reported {
            self.report(shared, &item.name, &item.reason.to_string());
        }
        self.count(shared, items.unreported);
    }

    /// Reports the items of changes that cannot be decoded, each after those before it: an entry that
    /// could be decoded in between is reported anew.
    pub(crate) fn report_changes(&self, shared: &NodeState, changes: &Changes) {
        let mut decoded = changes.changes.iter().enumerate().peekable();
        for item in &changes.malformed.reported {
            while let Some((_, change)) = decoded.next_if(|(index, _)| *index < item.position) {
                self.forget(&change.object.name);
            }
            self.report(shared, &item.name, &item.reason.to_string());
        }
        self.count(shared, changes.malformed.unreported);
    }

    /// Reports the entry with a name.
    pub(crate) fn report(&self, shared: &NodeState, name: &str, reason: &str) {
        self.count(shared, 1);
        let name = shown_start(name);
        let reason = shown_start(reason);
        if self.count_report(name, reason) > LINES_PER_REASON_MAX || !self.may_log(shared) {
            return;
        }
        shared.log(&Event::Malformed {
            collection: self.collection.wire_name(),
            name,
            reason: reason.to_owned(),
        });
    }

    fn count(&self, shared: &NodeState, entries: usize) {
        let malformed = &shared.metrics.malformed_entries;
        malformed
            .with_label_values(&[self.collection.wire_name()])
            .inc_by(entries as u64);
    }

    /// Returns whether a line may be logged now.
    fn may_log(&self, shared: &NodeState) -> bool {
        let minute = shared.clock.now_us() / MINUTE_US;
        let (last_minute, lines) = self.logged.get();
        let lines = if minute == last_minute { lines + 1 } else { 1 };
        self.logged.set((minute, lines));
        lines <= LINES_PER_MINUTE_MAX
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

/// Returns the beginning of a text.
fn shown_start(text: &str) -> &str {
    &text[..text.floor_char_boundary(SHOWN_BYTES_MAX)]
}
