use std::collections::BTreeMap;
use std::sync::Arc;

use crate::QuotaNode;
use crate::TenantReport;

/// Shortest time between two reports to the same owner.
const REPORT_INTERVAL_US: u64 = 100_000;

/// Counted requests that one owner has not been told of yet.
#[derive(Clone, Copy, Debug)]
struct Pending {
    admitted: f64,
    /// Time of the first of these requests.
    first_us: u64,
    refused: f64,
}

/// Counted requests that the owners have not been told of yet, by owner.
///
/// Counts for an owner that cannot be reached are kept for one window; older requests no longer
/// matter to the bound.
#[derive(Debug)]
pub(crate) struct QuotaReports {
    by_owner: BTreeMap<Arc<str>, OwnerReports>,
    window_us: u64,
}

#[derive(Debug)]
struct OwnerReports {
    counts: BTreeMap<Arc<str>, Pending>,
    /// Time from which the next report may be sent.
    due_us: u64,
    owner: QuotaNode,
}

impl QuotaReports {
    pub(crate) const fn new(window_us: u64) -> Self {
        Self {
            by_owner: BTreeMap::new(),
            window_us,
        }
    }

    /// Adds requests of a tenant that an owner must be told of.
    pub(crate) fn add(&mut self, now_us: u64, owner: &QuotaNode, report: &TenantReport) {
        let reports = self
            .by_owner
            .entry(owner.name.clone())
            .or_insert_with(|| OwnerReports {
                counts: BTreeMap::new(),
                due_us: now_us,
                owner: owner.clone(),
            });
        reports.owner.address = owner.address;
        let pending = reports.counts.entry(report.tenant.clone());
        let pending = pending.or_insert(Pending {
            admitted: 0.0,
            first_us: now_us,
            refused: 0.0,
        });
        pending.admitted += report.admitted;
        pending.refused += report.refused;
    }

    /// Takes what an owner must be told of, for a message that is sent now.
    pub(crate) fn take(&mut self, now_us: u64, owner: &Arc<str>) -> Vec<TenantReport> {
        let Some(reports) = self.by_owner.get_mut(owner) else {
            return Vec::new();
        };
        reports.due_us = now_us + REPORT_INTERVAL_US;
        let counts = std::mem::take(&mut reports.counts);
        let recent = counts
            .into_iter()
            .filter(|(_, pending)| pending.first_us + self.window_us >= now_us);
        recent
            .map(|(tenant, pending)| TenantReport {
                admitted: pending.admitted,
                refused: pending.refused,
                tenant,
            })
            .collect()
    }

    /// Returns the owners to which a report is due, and forgets outdated counts.
    pub(crate) fn due(
        &mut self,
        now_us: u64,
        usable: impl Fn(&Arc<str>) -> bool,
    ) -> Vec<QuotaNode> {
        let window_us = self.window_us;
        for reports in self.by_owner.values_mut() {
            let recent = |pending: &Pending| pending.first_us + window_us >= now_us;
            reports.counts.retain(|_, pending| recent(pending));
        }
        self.by_owner
            .retain(|_, reports| !reports.counts.is_empty() || reports.due_us > now_us);
        let due = self.by_owner.values().filter(|reports| {
            !reports.counts.is_empty() && reports.due_us <= now_us && usable(&reports.owner.name)
        });
        due.map(|reports| reports.owner.clone()).collect()
    }

    /// Whether an owner still must be told of something.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_owner
            .values()
            .all(|reports| reports.counts.is_empty())
    }

    /// Returns the admitted requests of a tenant that an owner has not been told of.
    pub(crate) fn unreported(&self, owner: &Arc<str>, tenant: &str) -> f64 {
        let reports = self.by_owner.get(owner);
        let pending = reports.and_then(|reports| reports.counts.get(tenant));
        pending.map_or(0.0, |pending| pending.admitted)
    }
}
