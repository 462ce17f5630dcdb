use std::collections::HashMap;
use std::sync::Arc;

use crate::Peers;
use crate::QuotaAnswer;
use crate::QuotaBounds;
use crate::QuotaChange;
use crate::QuotaOwner;
use crate::TenantReport;
use crate::TenantSpec;
use crate::TokenBucket;
use crate::quota_demand::QuotaDemand;

/// Share of the tenant's burst below which it becomes limited. Nodes admit requests on their own
/// until they hear of it, which the rest pays for.
const ENTRY_SHARE: f64 = 0.5;

/// Share of the bound's slack that is added to the burst. Admissions on the way may then exceed the
/// burst without a refusal of later requests that are within it, and a tenant with a burst of 1 is
/// not limited, which costs a message to every node, by each request.
const SLACK_SHARE: f64 = 0.15;

/// Share of the whole bucket above which a tenant is no longer limited.
const EXIT_SHARE: f64 = 0.8;

/// Share of the rate from which a tenant is limited while nodes may be cut off. An owner in a part
/// of the nodes must not grant more than the share of that part, however full its bucket is.
const SUSPICIOUS_DEMAND_SHARE: f64 = 0.25;

/// Share of the bound's slack up to which a tenant may use the quota of a window once more: such a
/// tenant is not limited early.
const SMALL_QUOTA_SHARE: f64 = 0.4;

/// Shortest time for which a tenant is limited; each change costs a message to every node.
const LIMITED_MIN_US: u64 = 2_000_000;

/// Time after which a node that has not acknowledged a limited tenant counts as unreachable, in
/// addition to the time for the announcement; well above a round trip within a region.
const ACKNOWLEDGEMENT_TIMEOUT_US: u64 = 100_000;

/// Interval between announcements of a limited tenant.
const ANNOUNCEMENT_INTERVAL_US: u64 = 1_000_000;

/// Time for which an acknowledgement counts: two intervals and half a second for a slow
/// announcement.
const ACKNOWLEDGED_US: u64 = 2 * ANNOUNCEMENT_INTERVAL_US + 500_000;

/// Time after which the backup owner announces a limited tenant that the owner has not announced.
const BACKUP_DELAY_US: u64 = 300_000;

/// Tokens of a new bucket, in seconds of the rate; a former owner may have granted the burst.
const NEW_BUCKET_S: f64 = 1.0;

/// Longest time that a caller is told to wait.
const RETRY_AFTER_MAX_MS: u64 = 10_000;

/// The bucket of one tenant at its owner, and who knows that it is limited.
#[derive(Debug)]
pub(crate) struct OwnedTenant {
    bounds: QuotaBounds,
    bucket: TokenBucket,
    demand: QuotaDemand,
    limited: Option<Limited>,
    /// Share of the rate and the burst that is reserved for nodes that did not acknowledge that the
    /// tenant is limited, because these nodes admit requests on their own.
    reserved_share: f64,
    /// Time from which the bucket holds what the tenant has left, however it started.
    accurate_from_us: u64,
    /// Whether the other owner must be asked for its tokens.
    sync_due: bool,
}

#[derive(Debug)]
#[expect(clippy::struct_field_names, reason = "the unit is the suffix")]
struct Limited {
    /// Time of the last acknowledgement of each node.
    acknowledged_us: HashMap<Arc<str>, u64>,
    /// Time of the last announcement.
    announced_us: Option<u64>,
    since_us: u64,
    /// Time of the first announcement.
    told_us: Option<u64>,
}

impl OwnedTenant {
    pub(crate) fn new(now_us: u64, spec: &TenantSpec, bounds: QuotaBounds, full: bool) -> Self {
        let burst = whole_burst(spec, bounds);
        let tokens = if full {
            burst
        } else {
            (spec.rate_per_s * NEW_BUCKET_S).max(1.0)
        };
        let debt_max = spec.rate_per_s * bounds.window_s();
        Self {
            bounds,
            bucket: TokenBucket::new(now_us, spec.rate_per_s, burst, tokens)
                .with_debt_max(debt_max),
            demand: QuotaDemand::default(),
            limited: None,
            reserved_share: 0.0,
            accurate_from_us: if full {
                now_us
            } else {
                now_us + bounds.window_us
            },
            sync_due: !full,
        }
    }

    /// Whether the other owner must be asked for its tokens.
    pub(crate) const fn is_sync_due(&self) -> bool {
        self.sync_due
    }

    /// Records that the other owner is asked for its tokens.
    pub(crate) const fn mark_synced(&mut self) {
        self.sync_due = false;
    }

    /// Takes over the tokens of the other owner, whose bucket is older.
    pub(crate) fn sync(&mut self, now_us: u64, tokens: f64) {
        if now_us < self.accurate_from_us {
            let own = self.bucket.tokens(now_us);
            self.bucket.charge(now_us, own - tokens);
            self.accurate_from_us = now_us;
        }
    }

    /// Returns the tokens without those reserved for other nodes; `None` while the bucket is new.
    pub(crate) fn accurate_tokens(&mut self, now_us: u64) -> Option<f64> {
        (now_us >= self.accurate_from_us).then(|| self.bucket.tokens(now_us))
    }

    pub(crate) fn set_limits(&mut self, now_us: u64, spec: &TenantSpec) {
        let usable_share = 1.0 - self.reserved_share;
        self.bucket.set_limits(
            now_us,
            spec.rate_per_s * usable_share,
            whole_burst(spec, self.bounds) * usable_share,
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

    /// Records that a node did not reply to an announcement.
    pub(crate) fn remove_acknowledgement(&mut self, node: &Arc<str>) {
        if let Some(limited) = &mut self.limited {
            limited.acknowledged_us.remove(node);
        }
    }

    /// Recalculates the reserve for the nodes that have not acknowledged.
    pub(crate) fn refresh_reserve(&mut self, now_us: u64, peers: &Peers, spec: &TenantSpec) {
        let share = match &self.limited {
            Some(limited) => limited.unacknowledged_share(now_us, peers),
            None => 0.0,
        };
        self.reserve(now_us, share, spec);
    }

    /// Reserves a share of the rate and of the burst.
    fn reserve(&mut self, now_us: u64, share: f64, spec: &TenantSpec) {
        let added = share - self.reserved_share;
        if added.abs() > f64::EPSILON {
            self.reserved_share = share;
            self.set_limits(now_us, spec);
            let burst = whole_burst(spec, self.bounds);
            self.bucket.charge(now_us, added * burst);
        }
    }

    /// Enters or leaves the limited state by the tokens, and while nodes may be cut off
    /// (`suspicious`) also by the demand; returns whether it has changed.
    pub(crate) fn update_limited(
        &mut self,
        now_us: u64,
        spec: &TenantSpec,
        suspicious: bool,
    ) -> bool {
        let tokens = self.bucket.tokens(now_us);
        let early = suspicious && self.may_exceed_if_divided(now_us, spec);
        match &self.limited {
            None if early || tokens < spec.burst.max(1.0) * ENTRY_SHARE => {
                self.limited = Some(Limited {
                    acknowledged_us: HashMap::new(),
                    announced_us: None,
                    since_us: now_us,
                    told_us: None,
                });
                true
            }
            Some(limited)
                if !early
                    && tokens >= self.bucket.burst() * EXIT_SHARE
                    && now_us >= limited.since_us + LIMITED_MIN_US =>
            {
                self.limited = None;
                self.reserve(now_us, 0.0, spec);
                true
            }
            None | Some(_) => false,
        }
    }

    /// Whether the tenant may exceed its bound if several owners grant it requests.
    fn may_exceed_if_divided(&self, now_us: u64, spec: &TenantSpec) -> bool {
        let quota = spec.rate_per_s * self.bounds.window_s() + spec.burst;
        quota > self.bounds.slack * SMALL_QUOTA_SHARE
            && self.demand.per_s(now_us) > spec.rate_per_s * SUSPICIOUS_DEMAND_SHARE
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

    /// Makes an announcement due, as none was heard by nodes that were not known then.
    pub(crate) const fn forget_announcement(&mut self) {
        if let Some(limited) = &mut self.limited {
            limited.announced_us = None;
            limited.told_us = None;
        }
    }

    /// Decides whether all nodes are told now that the tenant is limited, by this node's rank as
    /// its owner. The backup owner does so if the owner has not for some time (`is_announced`).
    pub(crate) fn announce(&mut self, now_us: u64, rank: usize, is_announced: bool) -> bool {
        let Some(limited) = &mut self.limited else {
            return false;
        };
        let overdue = now_us >= limited.since_us + BACKUP_DELAY_US && !is_announced;
        let responsible = rank == 0 || (rank == 1 && overdue);
        let due = limited
            .announced_us
            .is_none_or(|at_us| now_us >= at_us + ANNOUNCEMENT_INTERVAL_US);
        if responsible && due {
            limited.announced_us = Some(now_us);
            limited.told_us.get_or_insert(now_us);
        }
        responsible && due
    }
}

impl Limited {
    /// Returns the share of all nodes that were told but have not acknowledged in time.
    fn unacknowledged_share(&self, now_us: u64, peers: &Peers) -> f64 {
        let timeout_us = ACKNOWLEDGEMENT_TIMEOUT_US + QuotaOwner::announcement_us(peers);
        let due = |told_us| now_us >= told_us + timeout_us;
        if !self.told_us.is_some_and(due) {
            return 0.0;
        }
        let own = &peers.own().name;
        let missing = peers.all_nodes().iter().filter(|node| {
            let at_us = self.acknowledged_us.get(&node.name);
            let acknowledged = at_us.is_some_and(|at_us| now_us <= at_us + ACKNOWLEDGED_US);
            node.name != *own && !acknowledged
        });
        missing.count() as f64 / peers.total_nodes() as f64
    }
}

/// Returns the burst of the bucket, which exceeds the tenant's.
fn whole_burst(spec: &TenantSpec, bounds: QuotaBounds) -> f64 {
    spec.burst + bounds.slack * SLACK_SHARE
}
