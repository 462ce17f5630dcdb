use crate::NotRunCause;
use crate::Policy;
use crate::Reply;
use crate::UnknownCause;

/// Half-life of the observed slowness and failure rate of a replica.
const HALF_LIFE_US: f64 = 2_000_000.0;

/// Weight of the newest sample in the share of failures.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Maximum ratio of one sample to the mean latency, so that a single pause does not make a
/// replica count as slow.
const MAX_LATENCY_RATIO: f64 = 4.0;

/// Length of the first suspension after a replica was unreachable.
const FIRST_SUSPENSION_US: u64 = 300_000;

/// Maximum suspension; a replica that has recovered is retried within this time.
const MAX_SUSPENSION_US: u64 = 2_400_000;

/// Number of consecutive requests without a response after which a replica is suspended.
const TIMEOUTS_TO_SUSPEND: u32 = 2;

/// Suspension after a replica refused a request for lack of capacity.
const BUSY_SUSPENSION_US: u64 = 30_000;

/// Health of a replica as observed by this node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Health {
    /// Decaying share of the recent requests that failed, 0 to 1.
    failure_share: f64,
    /// Number of consecutive requests without a usable response.
    failures: u32,
    /// Moving average of the ratio of the replica's latencies to the mean latency.
    slowness: f64,
    /// Time until which the replica is used only as a last resort.
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

    /// Adds the result of a request; `ratio` is its latency divided by the mean latency.
    pub(crate) fn observe(&mut self, policy: &Policy, now_us: u64, reply: Reply, ratio: f64) {
        self.apply_decay(now_us);
        match reply {
            Reply::Success => {
                self.failures = 0;
                self.suspended_until_us = 0;
                self.add_sample(policy, ratio, 0.0);
            }
            Reply::Failed { .. }
            | Reply::Unknown(
                UnknownCause::Crashed
                | UnknownCause::Foreign
                | UnknownCause::InvalidStatus
                | UnknownCause::Reset
                | UnknownCause::Unproved,
            ) => self.add_sample(policy, 1.0, 1.0),
            Reply::Unknown(UnknownCause::Silent) => {
                self.add_sample(policy, MAX_LATENCY_RATIO, 1.0);
                self.record_failure(now_us, TIMEOUTS_TO_SUSPEND);
            }
            Reply::Unknown(UnknownCause::TooLong) => {
                self.add_sample(policy, MAX_LATENCY_RATIO, 1.0);
                self.record_failure(now_us, 1);
            }
            Reply::NotRun(NotRunCause::Busy) => {
                // Refusals raise the cost of the replica, as each one uses up a retry from
                // the service's budget.
                self.failure_share += (1.0 - self.failure_share) * SAMPLE_WEIGHT;
                self.suspended_until_us = self.suspended_until_us.max(now_us + BUSY_SUSPENSION_US);
            }
            Reply::NotRun(
                NotRunCause::ConnectionRefused
                | NotRunCause::OtherInstance
                | NotRunCause::Unreachable,
            ) => self.record_failure(now_us, 1),
            Reply::NotRun(NotRunCause::Withdrawn) => {}
        }
        if !policy.slowness {
            self.slowness = 1.0;
        }
        if !policy.suspension {
            self.suspended_until_us = 0;
        }
    }

    /// Returns the expected cost of a request relative to an average replica, which has cost
    /// 1.
    pub(crate) fn cost(&self, policy: &Policy, now_us: u64) -> f64 {
        let decay = self.decay_factor(now_us);
        let slowness = 1.0 + (self.slowness - 1.0) * decay;
        let failure_share = self.failure_share * decay;
        slowness / (1.0 - failure_share).max(0.1).powf(policy.failure_exponent)
    }

    /// Decaying share of the recent requests that failed or were refused.
    pub(crate) fn failure_share(&self, now_us: u64) -> f64 {
        self.failure_share * self.decay_factor(now_us)
    }

    /// Number of consecutive requests without a usable response.
    pub(crate) const fn failures(&self) -> u32 {
        self.failures
    }

    /// Whether the last request to the replica got no usable response.
    pub(crate) const fn last_request_failed(&self) -> bool {
        self.failures > 0
    }

    /// Whether the replica failed so often that only one request at a time may probe it.
    pub(crate) const fn needs_probe(&self) -> bool {
        self.failures >= TIMEOUTS_TO_SUSPEND
    }

    fn add_sample(&mut self, policy: &Policy, ratio: f64, failed: f64) {
        let ratio = ratio.clamp(0.25, MAX_LATENCY_RATIO);
        if policy.geometric_slowness {
            self.slowness *= (ratio / self.slowness).powf(policy.slowness_weight);
        } else {
            self.slowness += (ratio - self.slowness) * policy.slowness_weight;
        }
        self.failure_share += (failed - self.failure_share) * SAMPLE_WEIGHT;
    }

    fn record_failure(&mut self, now_us: u64, failures_to_suspend: u32) {
        self.failures += 1;
        let Some(excess_failures) = self.failures.checked_sub(failures_to_suspend) else {
            return;
        };
        let suspension_us = FIRST_SUSPENSION_US << excess_failures.min(3);
        self.suspended_until_us = now_us + suspension_us.min(MAX_SUSPENSION_US);
    }

    fn apply_decay(&mut self, now_us: u64) {
        let decay = self.decay_factor(now_us);
        self.slowness = 1.0 + (self.slowness - 1.0) * decay;
        self.failure_share *= decay;
        self.updated_us = now_us;
    }

    fn decay_factor(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.updated_us) as f64;
        (-age_us / HALF_LIFE_US).exp2()
    }
}
