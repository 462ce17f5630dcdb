use std::sync::Arc;

use crate::Registration;
use crate::ServiceKey;
use crate::health::Health;
use crate::notice::NoticeState;
use crate::presumed_restart::PresumedRestart;
use crate::rate_allowance::RateAllowance;
use crate::service_versions::VersionRole;

/// Time in which the requests to a replica count together; one that begins in the cold start may end
/// after it.
const COUNTING_TIME_US: u64 = 1_000_000;

/// What this node knows about a replica.
#[derive(Debug)]
pub struct Replica {
    /// Requests that this node may send while the replica is cold (newly started and slow).
    pub(crate) cold_allowance: RateAllowance,
    /// Index of the replica's data centre among those that this node knows.
    pub(crate) data_centre: u32,
    /// Failures and latencies of this node's requests.
    pub(crate) health: Health,
    /// Number of this node's requests in flight.
    pub(crate) in_flight: u32,
    /// Time of the newest result, or since when a request of this node is in flight.
    pub(crate) progress_us: u64,
    /// Requests that this node may send while the replica names a limit of their rate.
    pub(crate) limit_allowance: RateAllowance,
    /// Newest registration of the replica.
    pub registration: Registration,
    /// Time at which the replica is dropped; `None` while its registration exists.
    pub(crate) removed_at_us: Option<u64>,
    /// Whether rollouts allow requests to the version of the replica.
    pub(crate) role: VersionRole,
    /// Service that the replica belongs to.
    pub service: ServiceKey,
    /// Draining, hold-off (a time without requests) and limit of the rate that its responses
    /// announced, if in force.
    pub(crate) notice_state: NoticeState,
    /// Whether operators evacuated the replica's data centre, so that it gets no requests.
    pub(crate) evacuated: bool,
    /// Whether the replica's process has ended, and another one may have started.
    pub(crate) presumed_restart: PresumedRestart,
    /// Time at which the replica's cold start ends, by its registration; 0 if it has always been warm.
    pub(crate) warm_at_us: u64,
}

impl Replica {
    /// Returns the replica's id.
    #[must_use]
    pub const fn id(&self) -> &Arc<str> {
        &self.registration.id
    }

    /// Whether the replica is cold, that is newly started, or presumed to be.
    pub(crate) const fn is_cold(&self, now_us: u64) -> bool {
        now_us < self.warm_at_us || self.presumed_restart.is_cold(now_us)
    }

    /// Records how much longer the cold start takes, as the replica states it.
    pub(crate) fn set_cold_for(&mut self, now_us: u64, cold_for_ms: u64) {
        self.warm_at_us = match cold_for_ms {
            0 => self.warm_at_us.min(now_us),
            _ => now_us.saturating_add(cold_for_ms.saturating_mul(1_000)),
        };
    }

    /// Whether the replica's cold rate is in force: while it is cold, and until no second that began
    /// then goes on.
    pub(crate) const fn has_cold_rate(&self, now_us: u64) -> bool {
        self.is_cold(now_us.saturating_sub(COUNTING_TIME_US))
    }

    /// Returns the requests per second that the replica accepts from all nodes together; `None`
    /// while it names no limit.
    #[must_use]
    pub const fn limit_per_s(&self) -> Option<f64> {
        self.notice_state.rate_limit.per_s
    }

    /// Returns how many requests this node sent since the replica first named its present limit, or
    /// its last one.
    #[must_use]
    pub const fn limited_requests(&self) -> u32 {
        self.notice_state.rate_limit.requests
    }
}
