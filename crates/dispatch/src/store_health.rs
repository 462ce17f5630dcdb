use crate::RecoveryTimes;

/// Time for which a replica is still used after its registration was removed, if its bound allows
/// it: the registration may have lapsed in an outage of the store that this node has not detected
/// yet.
const REMOVAL_DELAY_US: u64 = 1_200_000;

/// Time after the end of an outage of the store by which registrations that lapsed in the outage
/// are restored; one that is still missing belongs to a replica that is gone.
pub(crate) const RESTORED_AFTER_OUTAGE_US: u64 = 2_300_000;

/// Time reserved within the bound of a removal for the requests that were sent to the replica last:
/// they may wait for a connection or for the processor before they leave.
const LAST_SEND_US: u64 = 300_000;

/// Intervals between two renewals of a registration that an outage must last for the registration
/// to lapse. It lapses after three intervals; the last renewal was up to one before the outage.
const LAPSE_INTERVALS: u64 = 2;

/// Time after which a caller may retry while the node reads its first configuration.
const START_RETRY_MS: u64 = 200;

/// Time in which a node notices the end of an outage and reads its first configuration.
const OUTAGE_END_MS: u64 = 700;

/// Part of a caller's remaining time that it is asked to wait at most, as a divisor.
const WAIT_DIVISOR: u64 = 3;

/// Availability of the store, in which replicas register and operators write the configuration,
/// as observed by this node. Times are in microseconds.
#[derive(Debug)]
pub struct StoreHealth {
    /// Time at which the newest call that got a response was sent.
    answered_call_sent_us: Option<u64>,
    /// Time at which the newest call that failed was sent.
    failed_call_sent_us: Option<u64>,
    /// Shortest outage in which registrations of replicas can lapse.
    lapse_us: u64,
    /// Time until which a version may be held back after the outage that ended at
    /// `lapses_ended_us`; `None` if no call failed in it, so that nothing is known of its end.
    hold_until_us: Option<u64>,
    /// Time at which the newest outage ended in which registrations may have lapsed.
    lapses_ended_us: Option<u64>,
    /// Time at which the newest outage ended.
    outage_ended_us: Option<u64>,
    recovery_times: RecoveryTimes,
    /// Time at which an outage was last suspected.
    suspected_us: Option<u64>,
}

impl StoreHealth {
    /// Creates the state of a node that has made no call yet; replicas renew their registrations
    /// at the given interval.
    #[must_use]
    pub const fn new(registration_interval_ms: u64, recovery_times: RecoveryTimes) -> Self {
        Self {
            answered_call_sent_us: None,
            failed_call_sent_us: None,
            hold_until_us: None,
            lapse_us: registration_interval_ms * 1_000 * LAPSE_INTERVALS,
            lapses_ended_us: None,
            outage_ended_us: None,
            recovery_times,
            suspected_us: None,
        }
    }

    /// Records that an outage of the store is suspected: a call failed, or the peer is lost from
    /// which this node receives the store's changes.
    pub const fn suspect_outage(&mut self, now_us: u64) {
        self.suspected_us = Some(now_us);
    }

    /// Records a response to a call that was sent at `sent_us`.
    ///
    /// It ends a suspected outage. Registrations may have lapsed if no call was answered for
    /// long enough: the loss of a peer or of a single response is no such outage.
    pub fn record_response(&mut self, now_us: u64, sent_us: u64) {
        if self.outage_suspected() && self.may_lapse(sent_us) {
            self.end_lapses(now_us);
        }
        self.answered_call_sent_us = self.answered_call_sent_us.max(Some(sent_us));
    }

    /// Records that a call that was sent at `sent_us` failed.
    pub fn record_failure(&mut self, sent_us: u64) {
        self.failed_call_sent_us = self.failed_call_sent_us.max(Some(sent_us));
    }

    /// Returns for how long a node may put off reading changes, for its own or the store's relief.
    #[must_use]
    pub fn read_slack_us(&self, now_us: u64) -> u64 {
        let failed_us = self.failed_call_sent_us;
        let read_by_us = failed_us.map(|at_us| self.recovery_times.read_by_us(at_us));
        read_by_us.map_or(u64::MAX, |at_us| at_us.saturating_sub(now_us))
    }

    /// Records that the store was restored from a copy, in which registrations may be missing.
    pub fn record_restoration(&mut self, now_us: u64) {
        self.end_lapses(now_us);
    }

    /// Records the end of an outage in which registrations may have lapsed. A call that failed in
    /// it was sent after the newest one that got a response.
    fn end_lapses(&mut self, now_us: u64) {
        let answered_us = self.answered_call_sent_us;
        let failed_us = self.failed_call_sent_us;
        let failed_us = failed_us.filter(|at_us| Some(*at_us) > answered_us);
        self.hold_until_us = failed_us.map(|at_us| self.recovery_times.hold_until_us(at_us));
        self.lapses_ended_us = Some(now_us);
    }

    /// Returns whether no call was answered for so long before `at_us` that registrations may have
    /// lapsed in the meantime.
    fn may_lapse(&self, at_us: u64) -> bool {
        self.answered_call_sent_us
            .is_none_or(|answered_us| at_us >= answered_us.saturating_add(self.lapse_us))
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
    ///
    /// False as soon as a version of the outage must come into force.
    #[must_use]
    pub fn is_settling(&self, now_us: u64) -> bool {
        let restored_us = self
            .lapses_ended_us
            .map(|ended_us| ended_us + RESTORED_AFTER_OUTAGE_US);
        restored_us.is_some_and(|at_us| now_us < at_us)
            && self.hold_until_us.is_none_or(|at_us| now_us < at_us)
    }

    /// Returns the time until which a replica is still used whose registration was removed at most
    /// `change_age_us` ago; requests must no longer reach it `drain_us` after the removal.
    ///
    /// Only an outage in which registrations may have lapsed lets a replica be used for longer,
    /// also one that other calls than those for the registrations detected.
    #[must_use]
    pub fn removal_at_us(&self, now_us: u64, change_age_us: u64, drain_us: u64) -> u64 {
        if self.outage_suspected() && self.may_lapse(now_us) {
            return now_us + RESTORED_AFTER_OUTAGE_US;
        }
        let left_us = drain_us.saturating_sub(change_age_us.saturating_add(LAST_SEND_US));
        let at_us = now_us + REMOVAL_DELAY_US.min(left_us);
        let restored_us = self
            .lapses_ended_us
            .map(|ended_us| ended_us + RESTORED_AFTER_OUTAGE_US);
        restored_us.map_or(at_us, |restored_us| at_us.max(restored_us))
    }
}
