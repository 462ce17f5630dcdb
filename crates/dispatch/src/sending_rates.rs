use fastrand::Rng;

use crate::Pool;
use crate::ServiceKey;
use crate::rate_allowance::RateAllowance;

/// Length of the windows in which a node sends its requests to a replica that limits their rate.
const LIMIT_WINDOW_US: u64 = 2_000_000;

/// Length of the windows in which a node sends its requests to a cold (newly started) replica;
/// operators count these within a second.
const COLD_WINDOW_US: u64 = 500_000;

/// Part of a replica's limit that all nodes together use; the rest is for nodes that are not known
/// yet.
const LIMIT_USED_FRACTION: f64 = 0.95;

/// Part of a cold replica's stated rate that all nodes together use.
const COLD_USED_FRACTION: f64 = 0.8;

/// Lowest limit; a node that sends nothing would never learn that a replica has lifted its limit.
const LIMIT_MIN_PER_S: f64 = 0.2;

/// Offset between the windows of siblings, in windows: the golden ratio spreads any number of them.
const SIBLING_OFFSET: f64 = 0.618;

/// What this node may send to the replicas of a service of which all nodes together may send only
/// some requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SendingRates {
    /// Whether a request to the target version of the service's rollout is allowed.
    pub(crate) allows_trial: bool,
    /// This node's share of the rate of a cold (newly started) replica; `None` if there is no
    /// limit.
    cold_per_s: Option<f64>,
    /// This node's share of the limit that a replica names in its responses, from 0 to 1; `None` if
    /// limits are ignored.
    limit_share: Option<f64>,
}

impl SendingRates {
    /// Returns this node's part of the rate of a cold replica; `None` if there is no limit.
    pub(crate) const fn cold_per_s(self) -> Option<f64> {
        self.cold_per_s
    }

    /// Returns this node's part of the limit that a replica names; `None` if it names none.
    pub(crate) fn limited_per_s(self, limit_per_s: Option<f64>) -> Option<f64> {
        let (limit_per_s, share) = limit_per_s.zip(self.limit_share)?;
        Some(limit_per_s.max(LIMIT_MIN_PER_S) * LIMIT_USED_FRACTION * share)
    }
}

impl Pool {
    /// Returns what this node may send to the replicas of a service that limit their rate.
    pub(crate) fn sending_rates(&self, now_us: u64, service: ServiceKey) -> SendingRates {
        let entry = &self.services[service.0 as usize];
        let senders = entry.senders.unwrap_or(self.nodes).max(1);
        let cold_per_s = entry.cold_rate_per_s * COLD_USED_FRACTION / senders as f64;
        let share = entry.sender_share.unwrap_or(1.0 / self.nodes as f64);
        let policy = self.policy();
        SendingRates {
            allows_trial: self.allows_trial(now_us, service, false),
            cold_per_s: (policy.cold_rate && cold_per_s > 0.0).then_some(cold_per_s),
            limit_share: policy.rate_limits.then_some(share),
        }
    }

    /// Creates the allowance for a cold replica, with windows and grants of its own.
    pub(crate) fn cold_allowance(&mut self) -> RateAllowance {
        let offset = self.rng.f64();
        RateAllowance::new(COLD_WINDOW_US, offset, (offset / SIBLING_OFFSET).fract())
    }

    /// Creates the allowance for the replica of a service with this number, for when it names a
    /// limit.
    ///
    /// The windows of a node begin at the same time for the first replicas of all services, so that
    /// a request to many services finds all of them, and at other times for their siblings.
    pub(crate) fn limit_allowance(&self, number: usize) -> RateAllowance {
        let mut rng = Rng::with_seed(self.seed);
        let offset = rng.f64() + number as f64 * SIBLING_OFFSET;
        RateAllowance::new(LIMIT_WINDOW_US, offset, rng.f64())
    }
}
