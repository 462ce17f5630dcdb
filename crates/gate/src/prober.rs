use crate::time::SECOND_US;

/// Longest delay between probes of an unreachable replica.
const PROBE_BACKOFF_MAX_US: u64 = 2 * SECOND_US;

/// First delay between probes of an unreachable replica.
const PROBE_BACKOFF_MIN_US: u64 = 50_000;

/// Interval between probes of an idle replica.
pub(crate) const IDLE_PROBE_INTERVAL_US: u64 = SECOND_US;

/// Time without any reply after which a probe times out. Longer than the timeout of the HTTP
/// call, so that it matters only if the event with the result of the call is lost.
const PROBE_TIMEOUT_US: u64 = 5 * SECOND_US;

/// A probe that was sent and has no reply yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProbeInFlight {
    sent_us: u64,
    /// Step of the ramp, which grows with each change of its limits, when the probe was sent;
    /// `None` if the reply may be older than what is already known of the target.
    pub(crate) ramp_step: Option<u64>,
}

/// Decides when to probe one replica.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Prober {
    due_us: u64,
    /// Failed probes since the last successful one.
    failures: u32,
    in_flight: Option<ProbeInFlight>,
}

impl Prober {
    /// Postpones the next probe after a reply of the target, because only an idle replica is
    /// probed.
    pub(crate) fn postpone_idle_probe(&mut self, now_us: u64) {
        self.due_us = self.due_us.max(now_us + IDLE_PROBE_INTERVAL_US);
    }

    /// Makes the next probe due now; it is sent once none is in flight.
    pub(crate) const fn schedule_now(&mut self, now_us: u64) {
        self.due_us = now_us;
    }

    /// Records a failed probe; returns the number of consecutive failures.
    pub(crate) fn record_failure(&mut self, now_us: u64) -> u32 {
        self.failures = self.failures.saturating_add(1);
        let doublings = (self.failures - 1).min(16);
        self.due_us = now_us + (PROBE_BACKOFF_MIN_US << doublings).min(PROBE_BACKOFF_MAX_US);
        self.failures
    }

    pub(crate) const fn record_success(&mut self, now_us: u64) {
        self.failures = 0;
        self.due_us = now_us + IDLE_PROBE_INTERVAL_US;
    }

    /// Removes and returns the probe in flight.
    pub(crate) const fn take_in_flight(&mut self) -> Option<ProbeInFlight> {
        self.in_flight.take()
    }

    /// Resets the failures and schedules a probe as soon as possible. A probe in flight from an
    /// earlier grant must end first, because replies to probes carry no id.
    pub(crate) const fn restart(&mut self) {
        self.due_us = 0;
        self.failures = 0;
        self.invalidate_in_flight();
    }

    pub(crate) const fn is_in_flight(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Marks the probe in flight as outdated, because the target may have replied before the
    /// latest change of its state.
    pub(crate) const fn invalidate_in_flight(&mut self) {
        if let Some(sent) = &mut self.in_flight {
            sent.ramp_step = None;
        }
    }

    /// Returns whether the probe in flight has timed out.
    pub(crate) fn is_timed_out(&self, now_us: u64) -> bool {
        self.in_flight
            .is_some_and(|sent| sent.sent_us + PROBE_TIMEOUT_US <= now_us)
    }

    /// Returns whether a probe must be sent now, and records it as in flight.
    pub(crate) const fn try_send(&mut self, now_us: u64, ramp_step: u64) -> bool {
        if self.in_flight.is_some() || now_us < self.due_us {
            return false;
        }
        self.in_flight = Some(ProbeInFlight {
            sent_us: now_us,
            ramp_step: Some(ramp_step),
        });
        true
    }

    /// Returns the time at which the next probe is due or the one in flight times out.
    pub(crate) fn wake_us(&self) -> u64 {
        self.in_flight
            .map_or(self.due_us, |sent| sent.sent_us + PROBE_TIMEOUT_US)
    }

    /// Returns the time until the next probe can change the state of the replica.
    pub(crate) fn retry_after_us(&self, now_us: u64) -> u64 {
        self.due_us.saturating_sub(now_us).max(PROBE_BACKOFF_MIN_US)
    }
}
