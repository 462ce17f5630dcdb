use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::Peers;
use crate::QuotaAnswer;
use crate::QuotaBounds;
use crate::QuotaReply;
use crate::TenantReport;
use crate::TenantSpec;
use crate::node_backoffs::NodeBackoffs;
use crate::quota_reports::QuotaReports;
use crate::quota_share::QuotaShare;

/// Number of owners of a tenant: the first one and its backup.
const OWNERS: usize = 2;

/// Time for which a tenant counts as limited after an announcement: three intervals.
const LIMITED_US: u64 = 3_000_000;

/// Time for which an announcement of the owner keeps the backup owner from making its own.
const ANNOUNCED_US: u64 = 1_500_000;

/// Time after a failed message for which requests are asked for before they are admitted, as this
/// node may be cut off from others.
const SUSPICION_US: u64 = 10_000_000;

/// Longest time that a caller is told to wait.
const RETRY_AFTER_MAX_MS: u64 = 10_000;

/// Rate up to which each request of a tenant is reported, and asked for while it is limited. Above
/// it, reports are sampled, and nodes use their equal shares while the tenant is limited, so that an
/// owner spends at most 2% of a core on a tenant.
const REPORTED_PER_S_MAX: f64 = 200.0;

/// Another node, as the address of a message about quotas.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QuotaNode {
    /// Address on which it listens for other nodes.
    pub address: SocketAddr,
    /// Name of the node.
    pub name: Arc<str>,
}

/// How a request of a tenant is treated.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuotaDecision {
    /// It is admitted.
    Admit,
    /// One of these owners decides, in this order.
    Ask(Vec<QuotaNode>),
    /// It is refused; there is capacity after this time.
    Refuse {
        /// Time until there is capacity.
        retry_after_ms: u64,
    },
}

/// What a node knows about the quotas of tenants, and what it must tell their owners.
#[derive(Debug)]
pub struct QuotaView {
    backoffs: NodeBackoffs,
    bounds: QuotaBounds,
    /// Number of the list of nodes from which the owners are taken.
    generation: u64,
    reports: QuotaReports,
    /// Time until which this node may be cut off from others.
    suspicious_until_us: u64,
    tenants: HashMap<Arc<str>, TenantView>,
}

#[derive(Debug, Default)]
struct TenantView {
    /// Time until which another node has announced that the tenant is limited.
    announced_until_us: u64,
    /// Demand over all nodes, as stated by an owner.
    demand_per_s: Option<f64>,
    limited_until_us: u64,
    owners: Vec<QuotaNode>,
    /// Time until which the owner has no capacity.
    refused_until_us: u64,
    share: Option<QuotaShare>,
    /// Requests counted before the first list of nodes.
    unassigned: f64,
}

impl QuotaView {
    /// Creates the view of a node that knows nothing yet.
    #[must_use]
    pub fn new(bounds: QuotaBounds) -> Self {
        Self {
            backoffs: NodeBackoffs::default(),
            bounds,
            generation: 0,
            reports: QuotaReports::new(bounds.window_us),
            suspicious_until_us: 0,
            tenants: HashMap::new(),
        }
    }

    /// Decides about a request. `random` is uniform from 0 to 1.
    pub fn decide(
        &mut self,
        now_us: u64,
        spec: &TenantSpec,
        peers: &Peers,
        random: f64,
    ) -> QuotaDecision {
        if !spec.is_limited() {
            return QuotaDecision::Admit;
        }
        if peers.generation() == 0 {
            return self.admit_unlisted(now_us, spec);
        }
        self.update_owners(now_us, spec, peers);
        let suspicious = now_us < self.suspicious_until_us;
        let sampled = spec.rate_per_s > REPORTED_PER_S_MAX;
        let tenant = self.tenants.entry(spec.name.clone()).or_default();
        if now_us < tenant.refused_until_us {
            let retry_after_ms = (tenant.refused_until_us - now_us).div_ceil(1_000);
            self.sample(now_us, spec, 0.0, 1.0, random);
            return QuotaDecision::Refuse { retry_after_ms };
        }
        let limited = now_us < tenant.limited_until_us;
        if limited && sampled {
            return self.admit_by_share(now_us, spec, peers, random);
        }
        if !limited && !suspicious {
            self.sample(now_us, spec, 1.0, 0.0, random);
            return QuotaDecision::Admit;
        }
        let owners = tenant.owners.iter();
        let usable = owners.filter(|owner| self.backoffs.is_usable(now_us, &owner.name));
        let usable: Vec<QuotaNode> = usable.cloned().collect();
        if usable.is_empty() {
            self.admit_by_share(now_us, spec, peers, random)
        } else {
            QuotaDecision::Ask(usable)
        }
    }

    /// Decides about a request by this node's equal share of the quota, as no owner was reached.
    pub fn admit_by_share(
        &mut self,
        now_us: u64,
        spec: &TenantSpec,
        peers: &Peers,
        random: f64,
    ) -> QuotaDecision {
        let nodes = peers.total_nodes();
        let tenant = self.tenants.entry(spec.name.clone()).or_default();
        let first = tenant.owners.first();
        let unconfirmed = first.map_or(0.0, |owner| {
            self.reports.unreported(&owner.name, &spec.name)
        });
        let bounds = self.bounds;
        let share = match &mut tenant.share {
            Some(share) if !share.is_outdated(now_us) => share,
            outdated => outdated.insert(QuotaShare::new(
                now_us,
                spec,
                bounds,
                nodes,
                random,
                unconfirmed,
            )),
        };
        share.set_limits(now_us, spec, bounds, nodes);
        if share.take(now_us) {
            self.sample(now_us, spec, 1.0, 0.0, random);
            return QuotaDecision::Admit;
        }
        let retry_after_ms = share.wait_us(now_us).div_ceil(1_000);
        self.sample(now_us, spec, 0.0, 1.0, random);
        QuotaDecision::Refuse {
            retry_after_ms: retry_after_ms.min(RETRY_AFTER_MAX_MS),
        }
    }

    /// Applies the answer of an owner; returns the decision, or `None` if the owner declined.
    pub fn apply_answer(
        &mut self,
        now_us: u64,
        spec: &TenantSpec,
        owner: &Arc<str>,
        answer: QuotaAnswer,
    ) -> Option<QuotaDecision> {
        match answer {
            QuotaAnswer::Granted => {
                self.count(now_us, &admissions(spec, 1.0), Some(owner));
                Some(QuotaDecision::Admit)
            }
            QuotaAnswer::Refused { retry_after_ms } => {
                let tenant = self.tenants.entry(spec.name.clone()).or_default();
                tenant.refused_until_us = now_us + retry_after_ms * 1_000;
                Some(QuotaDecision::Refuse { retry_after_ms })
            }
            QuotaAnswer::NotOwner => None,
        }
    }

    /// Applies the states of a reply of an owner; returns whether it did not reply before.
    pub fn apply_reply(&mut self, now_us: u64, owner: &Arc<str>, reply: &QuotaReply) -> bool {
        let recovered = self.backoffs.clear(owner);
        for state in &reply.states {
            let tenant = self.tenants.entry(state.tenant.clone()).or_default();
            tenant.demand_per_s = Some(state.demand_per_s);
            if state.limited {
                tenant.limited_until_us = now_us + LIMITED_US;
            }
        }
        recovered
    }

    /// Applies the announcement of a node that tenants are limited.
    pub fn apply_announcement(&mut self, now_us: u64, tenants: &[Arc<str>]) {
        for name in tenants {
            let tenant = self.tenants.entry(name.clone()).or_default();
            tenant.announced_until_us = now_us + ANNOUNCED_US;
            tenant.limited_until_us = now_us + LIMITED_US;
        }
    }

    /// Records that this node, as an owner, has declared tenants limited.
    pub fn mark_limited(&mut self, now_us: u64, tenants: &[Arc<str>]) {
        for name in tenants {
            let tenant = self.tenants.entry(name.clone()).or_default();
            tenant.limited_until_us = now_us + LIMITED_US;
        }
    }

    /// Records that an owner did not reply to a message, whose reports are kept for the next one.
    /// Returns whether it is the first failure in a row.
    pub fn record_failure(
        &mut self,
        now_us: u64,
        owner: &QuotaNode,
        reports: &[TenantReport],
    ) -> bool {
        let first = self.backoffs.record_failure(now_us, &owner.name);
        self.suspicious_until_us = now_us + SUSPICION_US;
        for report in reports {
            self.reports.add(now_us, owner, report);
        }
        first
    }

    /// Returns the owners to which a report is due.
    pub fn due_reports(&mut self, now_us: u64) -> Vec<QuotaNode> {
        let backoffs = &self.backoffs;
        self.reports
            .due(now_us, |name| backoffs.is_usable(now_us, name))
    }

    /// Takes the reports for a message to an owner.
    pub fn take_reports(&mut self, now_us: u64, owner: &Arc<str>) -> Vec<TenantReport> {
        self.reports.take(now_us, owner)
    }

    /// Returns whether an owner still must be told of requests.
    #[must_use]
    pub fn has_reports(&self) -> bool {
        !self.reports.is_empty()
    }

    /// Returns whether requests of a tenant must be asked for.
    #[must_use]
    pub fn is_limited(&self, now_us: u64, tenant: &str) -> bool {
        let tenant = self.tenants.get(tenant);
        tenant.is_some_and(|tenant| now_us < tenant.limited_until_us)
    }

    /// Returns whether another node has recently announced that a tenant is limited.
    #[must_use]
    pub fn is_announced(&self, now_us: u64, tenant: &str) -> bool {
        let tenant = self.tenants.get(tenant);
        tenant.is_some_and(|tenant| now_us < tenant.announced_until_us)
    }

    /// Returns a tenant's recent requests per second over all nodes, as an owner last stated it.
    #[must_use]
    pub fn demand_per_s(&self, tenant: &str) -> Option<f64> {
        self.tenants.get(tenant)?.demand_per_s
    }

    /// Forgets tenants that the configuration no longer limits.
    pub fn retain(&mut self, is_limited: impl Fn(&str) -> bool) {
        self.tenants.retain(|name, _| is_limited(name));
    }

    /// Admits a request before the first list of nodes, by the whole quota: the number of nodes is
    /// not known, and the owners are told of the request as soon as they are known.
    fn admit_unlisted(&mut self, now_us: u64, spec: &TenantSpec) -> QuotaDecision {
        let bounds = self.bounds;
        let tenant = self.tenants.entry(spec.name.clone()).or_default();
        let share = tenant
            .share
            .get_or_insert_with(|| QuotaShare::new(now_us, spec, bounds, 1, 1.0, 0.0));
        if share.take(now_us) {
            tenant.unassigned += 1.0;
            return QuotaDecision::Admit;
        }
        let retry_after_ms = share.wait_us(now_us).div_ceil(1_000);
        QuotaDecision::Refuse {
            retry_after_ms: retry_after_ms.min(RETRY_AFTER_MAX_MS),
        }
    }

    /// Takes the owners of a tenant from the list of nodes, if that is a new one.
    fn update_owners(&mut self, now_us: u64, spec: &TenantSpec, peers: &Peers) {
        if self.generation != peers.generation() {
            self.generation = peers.generation();
            for tenant in self.tenants.values_mut() {
                tenant.owners.clear();
            }
            let nodes = peers.all_nodes();
            self.backoffs
                .retain(|name| nodes.iter().any(|node| node.name == *name));
        }
        let tenant = self.tenants.entry(spec.name.clone()).or_default();
        if !tenant.owners.is_empty() {
            return;
        }
        let nodes = peers.ranked_nodes(&spec.name, OWNERS).into_iter();
        tenant.owners = nodes
            .map(|node| QuotaNode {
                address: node.address,
                name: node.name.clone(),
            })
            .collect();
        let unassigned = std::mem::take(&mut tenant.unassigned);
        if unassigned > 0.0 {
            tenant.share = None;
            self.count(now_us, &admissions(spec, unassigned), None);
        }
    }

    /// Counts a request that was decided without an owner.
    fn sample(&mut self, now_us: u64, spec: &TenantSpec, admitted: f64, refused: f64, random: f64) {
        let probability = (REPORTED_PER_S_MAX / spec.rate_per_s).min(1.0);
        if random <= probability {
            let report = TenantReport {
                admitted: admitted / probability,
                refused: refused / probability,
                tenant: spec.name.clone(),
            };
            self.count(now_us, &report, None);
        }
    }

    /// Adds to the reports to the owners, but for the one that knows of these requests.
    fn count(&mut self, now_us: u64, report: &TenantReport, informed: Option<&Arc<str>>) {
        let Some(tenant) = self.tenants.get(&report.tenant) else {
            return;
        };
        for owner in &tenant.owners {
            if informed != Some(&owner.name) {
                self.reports.add(now_us, owner, report);
            }
        }
    }
}

fn admissions(spec: &TenantSpec, count: f64) -> TenantReport {
    TenantReport {
        admitted: count,
        refused: 0.0,
        tenant: spec.name.clone(),
    }
}
