use crate::NotRunCause;
use crate::Reply;
use crate::UnknownCause;

/// Time in which what is known of a replica's speed and failures halves.
const HALF_LIFE_US: f64 = 2_000_000.0;

/// Weight of the newest sample.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Largest ratio of one sample to the usual latency; one pause is no slow replica.
const RATIO_MAX: f64 = 4.0;

/// First suspension after a replica could not be reached.
const SUSPENSION_FIRST_US: u64 = 300_000;

/// Longest suspension; a replica that is back is found within this time.
const SUSPENSION_MAX_US: u64 = 2_400_000;

/// Sends without an answer in a row that suspend a replica.
const SILENCES_TO_SUSPEND: u32 = 2;

/// Time that a replica without room is left alone.
const BUSY_US: u64 = 30_000;

/// What a node saw of a replica's behaviour.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Health {
    /// Share of the recent requests that failed, 0 to 1.
    failure_share: f64,
    /// Requests without a usable answer in a row.
    failures: u32,
    /// Ratio of its latencies to the usual ones.
    slowness: f64,
    /// The replica is chosen only as a last resort before this time.
    pub(crate) suspended_until_us: u64,
    /// Time of the newest sample.
    updated_us: u64,
}

impl Health {
    pub(crate) const fn new(now_us: u64) -> Self {
        Self {
            failure_share: 0.0,
            failures: 0,
            slowness: 1.0,
            suspended_until_us: 0,
            updated_us: now_us,
        }
    }

    /// Adds what came of a request; `ratio` is its latency to the usual one.
    pub(crate) fn observe(&mut self, now_us: u64, reply: Reply, ratio: f64) {
        self.fade(now_us);
        match reply {
            Reply::Success => {
                self.failures = 0;
                self.suspended_until_us = 0;
                self.sample(ratio, 0.0);
            }
            Reply::Failed { .. }
            | Reply::Unknown(
                UnknownCause::Foreign | UnknownCause::Reset | UnknownCause::Unproved,
            ) => self.sample(1.0, 1.0),
            Reply::Unknown(UnknownCause::Silent) => {
                self.sample(RATIO_MAX, 1.0);
                self.fail(now_us, SILENCES_TO_SUSPEND);
            }
            Reply::Unknown(UnknownCause::TooLong) => {
                self.sample(RATIO_MAX, 1.0);
                self.fail(now_us, 1);
            }
            Reply::NotRun(NotRunCause::Busy) => {
                // A replica that turns many away costs others their retries.
                self.failure_share += (1.0 - self.failure_share) * SAMPLE_WEIGHT;
                self.suspended_until_us = self.suspended_until_us.max(now_us + BUSY_US);
            }
            Reply::NotRun(NotRunCause::OtherInstance | NotRunCause::Unreachable) => {
                self.fail(now_us, 1);
            }
            Reply::NotRun(NotRunCause::Withdrawn) => {}
        }
    }

    /// Expected cost of a request, 1 for a usual replica.
    pub(crate) fn cost(&self, now_us: u64) -> f64 {
        let faded = self.fade_factor(now_us);
        let slowness = 1.0 + (self.slowness - 1.0) * faded;
        let failure_share = self.failure_share * faded;
        slowness / (1.0 - failure_share).max(0.1)
    }

    /// Whether the last request to the replica got no usable answer.
    pub(crate) const fn failed_lately(&self) -> bool {
        self.failures > 0
    }

    /// Whether the replica failed so often that one request at a time tries it.
    pub(crate) const fn on_trial(&self) -> bool {
        self.failures >= SILENCES_TO_SUSPEND
    }

    fn sample(&mut self, ratio: f64, failed: f64) {
        let ratio = ratio.clamp(0.25, RATIO_MAX);
        self.slowness += (ratio - self.slowness) * SAMPLE_WEIGHT;
        self.failure_share += (failed - self.failure_share) * SAMPLE_WEIGHT;
    }

    fn fail(&mut self, now_us: u64, to_suspend: u32) {
        self.failures += 1;
        let Some(beyond) = self.failures.checked_sub(to_suspend) else {
            return;
        };
        let length_us = SUSPENSION_FIRST_US << beyond.min(3);
        self.suspended_until_us = now_us + length_us.min(SUSPENSION_MAX_US);
    }

    fn fade(&mut self, now_us: u64) {
        let faded = self.fade_factor(now_us);
        self.slowness = 1.0 + (self.slowness - 1.0) * faded;
        self.failure_share *= faded;
        self.updated_us = now_us;
    }

    fn fade_factor(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.updated_us) as f64;
        (-age_us / HALF_LIFE_US).exp2()
    }
}
