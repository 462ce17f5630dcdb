use std::collections::BTreeMap;

use crate::time::SECOND_US;
use wigeonhall_types::AttemptId;
use wigeonhall_types::HandedOverRequest;

/// First delay between two questions about one request. A target that stops a request
/// at its deadline has done so within milliseconds.
const BACK_OFF_MIN_US: u64 = 5_000;

/// Longest delay between two questions about one request.
const BACK_OFF_MAX_US: u64 = SECOND_US / 2;

/// A slot is free after this time without a reply of the target about the request,
/// counted from its deadline or the last word that it runs. Twice the time after which a
/// probe counts as lost: a target that is silent for so long is unreachable and gets no
/// work, and starts cold when it is heard again.
const SILENCE_US: u64 = 10 * SECOND_US;

/// A request that takes a slot until the target says that it does not run.
#[derive(Clone, Copy, Debug)]
#[allow(clippy::struct_field_names, reason = "fields carry their unit")]
struct Unproved {
    /// Time of the next question; the deadline at first, since a question also stops the
    /// request.
    ask_us: u64,
    back_off_us: u64,
    /// Time at which it is given up.
    silent_us: u64,
}

/// Requests that ended here without a reply of the target, and those of a previous owner.
#[derive(Debug, Default)]
pub(crate) struct UnprovedEnds {
    requests: BTreeMap<AttemptId, Unproved>,
}

impl UnprovedEnds {
    /// Adds a request whose deadline comes in `remaining_us`. One that is known stays as
    /// it is.
    pub(crate) fn add(&mut self, now_us: u64, attempt: AttemptId, remaining_us: u64) {
        let ask_us = now_us.saturating_add(remaining_us);
        self.requests.entry(attempt).or_insert(Unproved {
            ask_us,
            back_off_us: BACK_OFF_MIN_US,
            silent_us: ask_us.saturating_add(SILENCE_US),
        });
    }

    /// The target said that the request does not run. Returns whether it was known.
    pub(crate) fn ended(&mut self, attempt: AttemptId) -> bool {
        self.requests.remove(&attempt).is_some()
    }

    /// The target said that the request still runs.
    pub(crate) fn runs(&mut self, now_us: u64, attempt: AttemptId) {
        if let Some(it) = self.requests.get_mut(&attempt) {
            it.silent_us = now_us.saturating_add(SILENCE_US);
        }
    }

    /// Removes what the target was silent about for too long; returns how many.
    pub(crate) fn give_up(&mut self, now_us: u64) -> usize {
        let before = self.requests.len();
        self.requests.retain(|_, it| now_us < it.silent_us);
        before - self.requests.len()
    }

    /// Requests to ask about now.
    pub(crate) fn due(&mut self, now_us: u64) -> Vec<AttemptId> {
        let due = self.requests.iter_mut();
        let due = due.filter(|(_, it)| it.ask_us <= now_us);
        let due = due.map(|(attempt, it)| {
            it.ask_us = now_us + it.back_off_us;
            it.back_off_us = (2 * it.back_off_us).min(BACK_OFF_MAX_US);
            *attempt
        });
        due.collect()
    }

    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Time of the next question, or of the next one to give up.
    pub(crate) fn wake_us(&self) -> Option<u64> {
        let times = self.requests.values();
        times.map(|it| it.ask_us.min(it.silent_us)).min()
    }

    /// Earliest times at which each may be proved to have ended.
    pub(crate) fn asks_us(&self) -> impl Iterator<Item = u64> {
        self.requests.values().map(|it| it.ask_us)
    }

    /// Removes all, for a new owner.
    pub(crate) fn hand_over(&mut self, now_us: u64) -> Vec<HandedOverRequest> {
        let requests = std::mem::take(&mut self.requests).into_iter();
        let handed = requests.map(|(attempt, it)| HandedOverRequest {
            attempt,
            remaining_us: it.ask_us.saturating_sub(now_us),
        });
        handed.collect()
    }
}
