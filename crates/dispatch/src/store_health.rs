/// Time for which a replica is still used after its registration was removed: the
/// registration may have lapsed in an outage of the store that this node has not detected yet.
const REMOVAL_DELAY_US: u64 = 1_200_000;

/// Time for which a replica is still used after its registration was removed, during an
/// outage of the store and right after it; registrations that lapsed in the outage are restored
/// about two seconds after its end.
pub(crate) const REMOVAL_DELAY_AFTER_OUTAGE_US: u64 = 2_300_000;

/// Time after which a caller may retry while the node reads its first configuration.
const START_RETRY_MS: u64 = 200;

/// Time in which a node notices the end of an outage and reads its first configuration.
const OUTAGE_END_MS: u64 = 700;

/// Part of a caller's remaining time that it is asked to wait at most, as a divisor.
const WAIT_DIVISOR: u64 = 3;

/// Availability of the store, in which replicas register and operators write the configuration,
/// as observed by this node. Times are in microseconds.
#[derive(Debug, Default)]
#[expect(clippy::struct_field_names, reason = "fields carry their unit")]
pub struct StoreHealth {
    /// Time at which the newest call that got a response was sent.
    answered_call_sent_us: Option<u64>,
    /// Time at which an outage was last suspected.
    suspected_us: Option<u64>,
    /// Time at which the newest outage ended.
    outage_ended_us: Option<u64>,
}

impl StoreHealth {
    /// Records that an outage of the store is suspected.
    pub const fn suspect_outage(&mut self, now_us: u64) {
        self.suspected_us = Some(now_us);
    }

    /// Records a response to a call that was sent at `sent_us`.
    pub fn record_response(&mut self, sent_us: u64) {
        self.answered_call_sent_us = self.answered_call_sent_us.max(Some(sent_us));
    }

    /// Returns the time at which the newest call that got a response was sent.
    #[must_use]
    pub const fn answered_call_sent_us(&self) -> Option<u64> {
        self.answered_call_sent_us
    }

    /// Returns whether an outage of the store is suspected: no call sent since the suspicion was
    /// recorded has got a response.
    #[must_use]
    pub fn outage_suspected(&self) -> bool {
        self.suspected_us.is_some() && self.answered_call_sent_us < self.suspected_us
    }

    /// Returns the time after which a caller may retry while the node has no configuration.
    ///
    /// A caller may have one retry only, which is lost if it comes before the end of an outage. An
    /// outage is expected to last for as long again as it has lasted already.
    #[must_use]
    pub fn unconfigured_retry_ms(&self, now_us: u64, remaining_ms: Option<u64>) -> u64 {
        if !self.outage_suspected() {
            return START_RETRY_MS;
        }
        let outage_us = now_us.saturating_sub(self.answered_call_sent_us.unwrap_or(0));
        let wait_ms = outage_us / 1_000 + OUTAGE_END_MS;
        let wait_max_ms = remaining_ms.map_or(OUTAGE_END_MS, |ms| ms / WAIT_DIVISOR);
        wait_ms.min(wait_max_ms).max(START_RETRY_MS)
    }

    /// Records the end of an outage that began at `began_us`; returns false if the end of the
    /// same outage was recorded before.
    pub fn record_outage_end(&mut self, now_us: u64, began_us: u64) -> bool {
        let is_new = self
            .outage_ended_us
            .is_none_or(|ended_us| ended_us <= began_us);
        if is_new {
            self.outage_ended_us = Some(now_us);
        }
        is_new
    }

    /// Returns whether an outage ended so recently that registrations of replicas may still
    /// be missing: those that lapsed, and those of replicas that started during the outage.
    #[must_use]
    pub fn is_settling(&self, now_us: u64) -> bool {
        self.outage_ended_us
            .is_some_and(|ended_us| now_us < ended_us + REMOVAL_DELAY_AFTER_OUTAGE_US)
    }

    /// Returns how long a replica without a registration is still used.
    ///
    /// An outage counts for all collections, also for those whose calls did not fail.
    #[must_use]
    pub fn removal_delay_us(&self, now_us: u64) -> u64 {
        if self.outage_suspected() || self.is_settling(now_us) {
            REMOVAL_DELAY_AFTER_OUTAGE_US
        } else {
            REMOVAL_DELAY_US
        }
    }
}
