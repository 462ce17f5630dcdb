use std::collections::HashMap;
use std::sync::Arc;

use crate::OwnerRank;
use crate::QuotaAnswer;
use crate::QuotaBounds;
use crate::QuotaChange;
use crate::TenantReport;
use crate::TenantSpec;
use crate::TokenBucket;
use crate::quota_demand::QuotaDemand;

/// Share of the burst below which a tenant becomes limited. Nodes admit requests on their own until
/// they hear of it, which the rest of the burst pays for.
const ENTRY_SHARE: f64 = 0.5;

/// Share of the burst above which a tenant is no longer limited.
const EXIT_SHARE: f64 = 0.8;

/// Shortest time for which a tenant is limited; each change costs a message to every node.
const LIMITED_MIN_US: u64 = 2_000_000;

/// Time after which a node that has not acknowledged a limited tenant counts as unreachable. Nodes
/// of one region answer within 10 ms.
const ACKNOWLEDGEMENT_TIMEOUT_US: u64 = 100_000;

/// Time for which an acknowledgement counts: two announcements and a timeout.
const ACKNOWLEDGED_US: u64 = 2_500_000;

/// Interval between announcements of a limited tenant.
const ANNOUNCEMENT_INTERVAL_US: u64 = 1_000_000;

/// Time after which the backup owner announces a limited tenant that the owner has not announced.
const BACKUP_DELAY_US: u64 = 300_000;

/// Rate with which a new bucket starts, in seconds: a former owner may have granted the burst.
const NEW_OWNER_S: f64 = 1.0;

/// Longest time that a caller is told to wait.
const RETRY_AFTER_MAX_MS: u64 = 10_000;

/// The bucket of one tenant at its owner, and who knows that it is limited.
#[derive(Debug)]
pub(crate) struct OwnedTenant {
    bucket: TokenBucket,
    demand: QuotaDemand,
    limited: Option<Limited>,
    /// Share of the rate and the burst that is reserved for nodes that did not acknowledge that the
    /// tenant is limited, because these nodes admit requests on their own.
    reserved_share: f64,
}

#[derive(Debug)]
#[expect(clippy::struct_field_names, reason = "the unit is the suffix")]
struct Limited {
    /// Time of the last acknowledgement of each node.
    acknowledged_us: HashMap<Arc<str>, u64>,
    announced_us: Option<u64>,
    since_us: u64,
}

impl OwnedTenant {
    pub(crate) fn new(now_us: u64, spec: &TenantSpec, bounds: QuotaBounds, full: bool) -> Self {
        let tokens = if full {
            spec.burst.max(1.0)
        } else {
            (spec.rate_per_s * NEW_OWNER_S).max(1.0)
        };
        let debt_max = spec.rate_per_s * bounds.window_s();
        Self {
            bucket: TokenBucket::new(now_us, spec.rate_per_s, spec.burst, tokens)
                .with_debt_max(debt_max),
            demand: QuotaDemand::default(),
            limited: None,
            reserved_share: 0.0,
        }
    }

    pub(crate) fn set_limits(&mut self, now_us: u64, spec: &TenantSpec) {
        let usable_share = 1.0 - self.reserved_share;
        self.bucket.set_limits(
            now_us,
            spec.rate_per_s * usable_share,
            spec.burst * usable_share,
        );
    }

    pub(crate) fn ask(&mut self, now_us: u64) -> QuotaAnswer {
        self.demand.add(now_us, 1.0);
        if self.bucket.take(now_us) {
            return QuotaAnswer::Granted;
        }
        let wait_ms = self.bucket.wait_us(now_us).div_ceil(1_000);
        QuotaAnswer::Refused {
            retry_after_ms: wait_ms.min(RETRY_AFTER_MAX_MS),
        }
    }

    pub(crate) fn report(&mut self, now_us: u64, report: &TenantReport) {
        self.demand.add(now_us, report.admitted + report.refused);
        self.bucket.charge(now_us, report.admitted);
    }

    pub(crate) fn demand_per_s(&self, now_us: u64) -> f64 {
        self.demand.per_s(now_us)
    }

    pub(crate) const fn is_limited(&self) -> bool {
        self.limited.is_some()
    }

    pub(crate) fn acknowledge(&mut self, now_us: u64, node: &Arc<str>) {
        if let Some(limited) = &mut self.limited {
            limited.acknowledged_us.insert(node.clone(), now_us);
        }
    }

    /// Recalculates the reserve for the nodes that have not acknowledged.
    pub(crate) fn refresh_reserve(&mut self, now_us: u64, others: &[Arc<str>], spec: &TenantSpec) {
        let share = match &self.limited {
            Some(limited) => limited.unacknowledged_share(now_us, others),
            None => 0.0,
        };
        if (share - self.reserved_share).abs() > f64::EPSILON {
            self.reserved_share = share;
            self.set_limits(now_us, spec);
        }
    }

    /// Enters or leaves the limited state by the tokens; returns whether it has changed.
    pub(crate) fn update_limited(&mut self, now_us: u64, spec: &TenantSpec) -> bool {
        let tokens = self.bucket.tokens(now_us);
        match &self.limited {
            None if tokens < spec.burst.max(1.0) * ENTRY_SHARE => {
                self.limited = Some(Limited {
                    acknowledged_us: HashMap::new(),
                    announced_us: None,
                    since_us: now_us,
                });
                true
            }
            Some(limited)
                if tokens >= self.bucket.burst() * EXIT_SHARE
                    && now_us >= limited.since_us + LIMITED_MIN_US =>
            {
                self.limited = None;
                self.reserved_share = 0.0;
                true
            }
            None | Some(_) => false,
        }
    }

    pub(crate) fn change(&mut self, now_us: u64, name: &Arc<str>) -> QuotaChange {
        QuotaChange {
            demand_per_s: self.demand.per_s(now_us),
            limited: self.is_limited(),
            reserved_share: self.reserved_share,
            tenant: name.clone(),
            tokens: self.bucket.tokens(now_us),
        }
    }

    pub(crate) fn is_announcement_due(
        &self,
        now_us: u64,
        rank: OwnerRank,
        is_announced: bool,
    ) -> bool {
        let Some(limited) = &self.limited else {
            return false;
        };
        let announced_us = limited.announced_us;
        let due = announced_us.is_none_or(|at_us| now_us >= at_us + ANNOUNCEMENT_INTERVAL_US);
        match rank {
            OwnerRank::First => due,
            OwnerRank::Backup => {
                due && !is_announced && now_us >= limited.since_us + BACKUP_DELAY_US
            }
            OwnerRank::Other => false,
        }
    }

    pub(crate) fn mark_announced(&mut self, now_us: u64) {
        if let Some(limited) = &mut self.limited {
            limited.announced_us = Some(now_us);
        }
    }
}

impl Limited {
    /// Returns the share of all nodes that were told but have not acknowledged in time.
    fn unacknowledged_share(&self, now_us: u64, others: &[Arc<str>]) -> f64 {
        let told = self.announced_us.is_some();
        if !told || now_us < self.since_us + ACKNOWLEDGEMENT_TIMEOUT_US {
            return 0.0;
        }
        let acknowledged = others.iter().filter(|name| {
            let at_us = self.acknowledged_us.get(*name);
            at_us.is_some_and(|at_us| now_us <= at_us + ACKNOWLEDGED_US)
        });
        let missing = others.len() - acknowledged.count();
        missing as f64 / (others.len() + 1) as f64
    }
}
