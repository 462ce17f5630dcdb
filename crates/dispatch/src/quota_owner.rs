use std::collections::HashMap;
use std::sync::Arc;

use crate::QuotaAnswer;
use crate::QuotaBounds;
use crate::TenantReport;
use crate::TenantSpec;
use crate::TenantState;
use crate::quota_tenant::OwnedTenant;

/// A change of a tenant's state at its owner, with the inputs of the decision.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaChange {
    /// Recent requests per second over all nodes.
    pub demand_per_s: f64,
    /// Whether the tenant is limited from now on.
    pub limited: bool,
    /// Share of the quota that is reserved for nodes that did not acknowledge the state.
    pub reserved_share: f64,
    /// Name of the tenant.
    pub tenant: Arc<str>,
    /// Tokens in the bucket.
    pub tokens: f64,
}

/// Rank of an owner of a tenant, by this node's list of nodes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OwnerRank {
    /// The second node by hash, which replaces the first.
    Backup,
    /// The first node by hash.
    First,
    /// Neither; nodes with other lists may still ask this node.
    Other,
}

/// The tenants that a node owns or backs up, with their buckets.
#[derive(Debug)]
pub struct QuotaOwner {
    bounds: QuotaBounds,
    changes: Vec<QuotaChange>,
    /// Whether new buckets start with the whole burst, as no former owner has granted any of it.
    starts_full: bool,
    tenants: HashMap<Arc<str>, OwnedTenant>,
}

impl QuotaOwner {
    /// Creates an owner without tenants. `first_start` is set while the whole tier starts for the
    /// first time.
    #[must_use]
    pub fn new(bounds: QuotaBounds, first_start: bool) -> Self {
        Self {
            bounds,
            changes: Vec::new(),
            starts_full: first_start,
            tenants: HashMap::new(),
        }
    }

    /// Decides about one request that a node asks for. The node has learned that the tenant is
    /// limited, if it is.
    pub fn ask(&mut self, now_us: u64, spec: &TenantSpec, node: &Arc<str>) -> QuotaAnswer {
        let tenant = self.tenant(now_us, spec);
        let answer = tenant.ask(now_us);
        tenant.acknowledge(now_us, node);
        self.observe(now_us, spec);
        answer
    }

    /// Counts requests that a node decided about by itself.
    pub fn report(&mut self, now_us: u64, spec: &TenantSpec, report: &TenantReport) {
        self.tenant(now_us, spec).report(now_us, report);
        self.observe(now_us, spec);
    }

    /// Returns the state of a tenant for a reply.
    pub fn state(&mut self, now_us: u64, spec: &TenantSpec) -> TenantState {
        let tenant = self.tenant(now_us, spec);
        TenantState {
            demand_per_s: tenant.demand_per_s(now_us),
            limited: tenant.is_limited(),
            tenant: spec.name.clone(),
        }
    }

    /// Records that a node knows that tenants are limited.
    pub fn acknowledge(&mut self, now_us: u64, node: &Arc<str>, tenants: &[Arc<str>]) {
        for name in tenants {
            if let Some(tenant) = self.tenants.get_mut(name) {
                tenant.acknowledge(now_us, node);
            }
        }
    }

    /// Returns whether a tenant is limited, so that time must be spent on it.
    #[must_use]
    pub fn has_limited_tenants(&self) -> bool {
        self.tenants.values().any(OwnedTenant::is_limited)
    }

    /// Updates the reserves by what the other nodes acknowledged, ends limited states, and forgets
    /// tenants that the configuration no longer limits.
    pub fn refresh<'a>(
        &mut self,
        now_us: u64,
        others: &[Arc<str>],
        find: impl Fn(&str) -> Option<&'a TenantSpec>,
    ) {
        self.tenants
            .retain(|name, _| find(name).is_some_and(TenantSpec::is_limited));
        let names: Vec<Arc<str>> = self.tenants.keys().cloned().collect();
        for spec in names.iter().filter_map(|name| find(name)) {
            let tenant = self.tenant(now_us, spec);
            tenant.refresh_reserve(now_us, others, spec);
            self.observe(now_us, spec);
        }
    }

    /// Returns the limited tenants that all nodes must be told of now, if any announcement is due.
    ///
    /// The backup owner announces a tenant only if it has not heard of it from the owner for some
    /// time (`is_announced`).
    pub fn announcements(
        &mut self,
        now_us: u64,
        rank: impl Fn(&str) -> OwnerRank,
        is_announced: impl Fn(&str) -> bool,
    ) -> Vec<Arc<str>> {
        let mut announced = Vec::new();
        for (name, tenant) in &mut self.tenants {
            let rank = rank(name);
            if tenant.is_announcement_due(now_us, rank, is_announced(name)) {
                tenant.mark_announced(now_us);
                announced.push(name.clone());
            }
        }
        announced
    }

    /// Returns the changes of states since the last call.
    pub fn take_changes(&mut self) -> Vec<QuotaChange> {
        std::mem::take(&mut self.changes)
    }

    fn tenant(&mut self, now_us: u64, spec: &TenantSpec) -> &mut OwnedTenant {
        let (bounds, full) = (self.bounds, self.starts_full);
        let tenant = self
            .tenants
            .entry(spec.name.clone())
            .or_insert_with(|| OwnedTenant::new(now_us, spec, bounds, full));
        tenant.set_limits(now_us, spec);
        tenant
    }

    fn observe(&mut self, now_us: u64, spec: &TenantSpec) {
        let Some(tenant) = self.tenants.get_mut(&spec.name) else {
            return;
        };
        if tenant.update_limited(now_us, spec) {
            let change = tenant.change(now_us, &spec.name);
            self.changes.push(change);
        }
    }
}
