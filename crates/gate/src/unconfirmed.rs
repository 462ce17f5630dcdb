use std::collections::BTreeMap;

use crate::time::SECOND_US;
use wigeonhall_types::AttemptId;
use wigeonhall_types::HandedOverRequest;

/// First delay between two polls about one request. A target stops a request at its deadline
/// within milliseconds.
const POLL_BACKOFF_MIN_US: u64 = 5_000;

/// Longest delay between two polls about one request.
const POLL_BACKOFF_MAX_US: u64 = SECOND_US / 2;

/// Time after which the slot of a request is freed without a confirmation, counted from its
/// deadline or from the last reply that it still runs. Twice the 5 s after which the prober gives
/// up a probe: a target that is silent for so long is unreachable, gets no work, and starts at its
/// cold bound once it replies again.
const UNCONFIRMED_TIMEOUT_US: u64 = 10 * SECOND_US;

/// A request that occupies a slot until the target confirms that it does not run.
#[derive(Clone, Copy, Debug)]
#[allow(clippy::struct_field_names, reason = "fields carry their unit")]
struct UnconfirmedRequest {
    /// Time of the next poll. The first one is at the deadline, because a poll also stops the
    /// request.
    poll_us: u64,
    backoff_us: u64,
    /// Time at which the slot is freed without a confirmation.
    expires_us: u64,
}

/// Requests that may still run at the target: those that ended without a reply of the target,
/// and those of the previous owner.
#[derive(Debug, Default)]
pub(crate) struct UnconfirmedRequests {
    requests: BTreeMap<AttemptId, UnconfirmedRequest>,
}

impl UnconfirmedRequests {
    /// Adds a request whose deadline is `remaining_us` from now, unless it is already present.
    pub(crate) fn add(&mut self, now_us: u64, attempt: AttemptId, remaining_us: u64) {
        let poll_us = now_us.saturating_add(remaining_us);
        self.requests.entry(attempt).or_insert(UnconfirmedRequest {
            poll_us,
            backoff_us: POLL_BACKOFF_MIN_US,
            expires_us: poll_us.saturating_add(UNCONFIRMED_TIMEOUT_US),
        });
    }

    /// Removes a request of which the target confirmed that it does not run. Returns whether it
    /// was present.
    pub(crate) fn confirm_ended(&mut self, attempt: AttemptId) -> bool {
        self.requests.remove(&attempt).is_some()
    }

    /// Extends the timeout of a request of which the target said that it still runs.
    pub(crate) fn confirm_running(&mut self, now_us: u64, attempt: AttemptId) {
        if let Some(it) = self.requests.get_mut(&attempt) {
            it.expires_us = now_us.saturating_add(UNCONFIRMED_TIMEOUT_US);
        }
    }

    /// Removes the requests whose timeout has passed, and returns their number.
    pub(crate) fn remove_expired(&mut self, now_us: u64) -> usize {
        let before = self.requests.len();
        self.requests.retain(|_, it| now_us < it.expires_us);
        before - self.requests.len()
    }

    /// Returns the requests to poll about now, and schedules their next poll.
    pub(crate) fn take_due(&mut self, now_us: u64) -> Vec<AttemptId> {
        let due = self.requests.iter_mut();
        let due = due.filter(|(_, it)| it.poll_us <= now_us);
        let due = due.map(|(attempt, it)| {
            it.poll_us = now_us + it.backoff_us;
            it.backoff_us = (2 * it.backoff_us).min(POLL_BACKOFF_MAX_US);
            *attempt
        });
        due.collect()
    }

    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns the time of the next poll or timeout.
    pub(crate) fn wake_us(&self) -> Option<u64> {
        let times = self.requests.values();
        times.map(|it| it.poll_us.min(it.expires_us)).min()
    }

    /// Returns the time of the next poll for each request: the earliest time at which its end
    /// can be confirmed.
    pub(crate) fn poll_times_us(&self) -> impl Iterator<Item = u64> {
        self.requests.values().map(|it| it.poll_us)
    }

    /// Removes all requests and returns them for the new owner.
    pub(crate) fn take_all(&mut self, now_us: u64) -> Vec<HandedOverRequest> {
        let requests = std::mem::take(&mut self.requests).into_iter();
        let handed = requests.map(|(attempt, it)| HandedOverRequest {
            attempt,
            remaining_us: it.poll_us.saturating_sub(now_us),
        });
        handed.collect()
    }
}
