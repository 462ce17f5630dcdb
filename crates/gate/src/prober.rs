use crate::time::SECOND_US;

/// Longest delay between probes of an unreachable replica.
const BACK_OFF_MAX_US: u64 = 2 * SECOND_US;

/// First delay between probes of an unreachable replica.
const BACK_OFF_MIN_US: u64 = 50_000;

/// Interval between probes of an idle replica.
pub(crate) const IDLE_US: u64 = SECOND_US;

/// A probe without any reply for this long counts as failed. Longer than the
/// transport's own limit, so that it only covers a lost event.
const LOST_US: u64 = 5 * SECOND_US;

/// A probe that was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sent {
    sent_us: u64,
    /// Step of the ramp; `None` if its answer may predate what is known.
    pub(crate) step: Option<u64>,
}

/// Decides when to probe one replica.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Prober {
    due_us: u64,
    /// Failed probes since the last one that succeeded.
    failures: u32,
    in_flight: Option<Sent>,
}

impl Prober {
    /// Any reply of the target postpones the next probe of an idle replica.
    pub(crate) fn heard(&mut self, now_us: u64) {
        self.due_us = self.due_us.max(now_us + IDLE_US);
    }

    /// Asks for a probe as soon as none is in flight.
    pub(crate) const fn request(&mut self, now_us: u64) {
        self.due_us = now_us;
    }

    /// Records a failed probe; returns the number of failures in a row.
    pub(crate) fn fail(&mut self, now_us: u64) -> u32 {
        self.failures = self.failures.saturating_add(1);
        let doublings = (self.failures - 1).min(16);
        self.due_us = now_us + (BACK_OFF_MIN_US << doublings).min(BACK_OFF_MAX_US);
        self.failures
    }

    pub(crate) const fn succeed(&mut self, now_us: u64) {
        self.failures = 0;
        self.due_us = now_us + IDLE_US;
    }

    /// Ends the probe in flight.
    pub(crate) const fn take(&mut self) -> Option<Sent> {
        self.in_flight.take()
    }

    /// Starts over with a probe as soon as possible. One that is in flight from
    /// an earlier grant still ends first: replies to probes carry no id.
    pub(crate) const fn restart(&mut self) {
        self.due_us = 0;
        self.failures = 0;
        self.distrust();
    }

    pub(crate) const fn is_in_flight(&self) -> bool {
        self.in_flight.is_some()
    }

    /// The probe in flight may have been answered before the drain.
    pub(crate) const fn distrust(&mut self) {
        if let Some(sent) = &mut self.in_flight {
            sent.step = None;
        }
    }

    /// Whether the probe in flight is overdue beyond any transport limit.
    pub(crate) fn is_lost(&self, now_us: u64) -> bool {
        self.in_flight
            .is_some_and(|sent| sent.sent_us + LOST_US <= now_us)
    }

    /// Returns whether a probe is to be sent now, and records it.
    pub(crate) const fn send(&mut self, now_us: u64, step: u64) -> bool {
        if self.in_flight.is_some() || now_us < self.due_us {
            return false;
        }
        self.in_flight = Some(Sent {
            sent_us: now_us,
            step: Some(step),
        });
        true
    }

    /// Time of the next action.
    pub(crate) fn wake_us(&self) -> u64 {
        self.in_flight
            .map_or(self.due_us, |sent| sent.sent_us + LOST_US)
    }

    /// Time until the next probe can have an effect.
    pub(crate) fn wait_us(&self, now_us: u64) -> u64 {
        self.due_us.saturating_sub(now_us).max(BACK_OFF_MIN_US)
    }
}
