use std::collections::HashMap;
use std::sync::Arc;

use crate::Peers;
use crate::QuotaAnswer;
use crate::QuotaBounds;
use crate::QuotaDecision;
use crate::QuotaMessage;
use crate::QuotaNode;
use crate::QuotaReply;
use crate::TenantReport;
use crate::TenantSpec;
use crate::node_backoffs::NodeBackoffs;
use crate::partition_suspicion::PartitionSuspicion;
use crate::quota_reports::QuotaReports;
use crate::quota_tenant_view::TenantView;

/// Rate up to which each request of a tenant is reported, and asked for while it is limited. Above
/// it, reports are sampled, and nodes use their equal shares while the tenant is limited, which
/// bounds the load of an owner whatever the rate of the tenant.
const REPORTED_PER_S_MAX: f64 = 200.0;

/// Reported admissions of a tenant that no owner has confirmed, up to which a node admits on its
/// own. It bounds what one node admits before it notices that it is cut off.
const UNCONFIRMED_MAX: f64 = 4.0;

/// Equal share of the rate that a node admits on its own, in seconds, where that is more: three
/// intervals between reports.
const UNCONFIRMED_S: f64 = 0.3;

/// What a node knows about the quotas of tenants, and what it must tell their owners.
#[derive(Debug)]
pub struct QuotaView {
    backoffs: NodeBackoffs,
    bounds: QuotaBounds,
    /// Number of the list of nodes from which the owners are taken.
    generation: u64,
    reports: QuotaReports,
    suspicion: PartitionSuspicion,
    tenants: HashMap<Arc<str>, TenantView>,
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
            suspicion: PartitionSuspicion::default(),
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
        self.update_nodes(now_us, peers);
        let suspicious = self.suspicion.is_active(now_us);
        let tenant = self.tenants.entry(spec.name.clone()).or_default();
        tenant.find_owners(peers, &spec.name);
        if let Some(refusal) = tenant.refusal(now_us) {
            self.sample(now_us, spec, &refusal, random);
            return refusal;
        }
        let sampled = spec.rate_per_s > REPORTED_PER_S_MAX;
        let share_per_s = spec.rate_per_s / peers.total_nodes() as f64;
        let unconfirmed_max = UNCONFIRMED_MAX / sampling_probability(spec);
        let confirmed = tenant.unconfirmed < unconfirmed_max.max(share_per_s * UNCONFIRMED_S);
        let limited = tenant.is_limited(now_us);
        if !limited && confirmed && (sampled || !suspicious) {
            tenant.unconfirmed += 1.0;
            self.sample(now_us, spec, &QuotaDecision::Admit, random);
            return QuotaDecision::Admit;
        }
        let owners = tenant.owners.iter();
        let usable = owners.filter(|owner| self.backoffs.is_usable(now_us, &owner.name));
        let usable: Vec<QuotaNode> = usable.cloned().collect();
        if sampled || usable.is_empty() {
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
        let tenant = self.tenants.entry(spec.name.clone()).or_default();
        let unconfirmed = match tenant.owners.first() {
            Some(owner) => self.reports.unreported(&owner.name, &spec.name),
            None => 0.0,
        };
        let nodes = peers.total_nodes();
        let decision = tenant.admit_by_share(now_us, spec, self.bounds, nodes, random, unconfirmed);
        self.sample(now_us, spec, &decision, random);
        decision
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
                self.count(now_us, &admissions(&spec.name, 1.0), Some(owner));
                Some(QuotaDecision::Admit)
            }
            QuotaAnswer::Refused { retry_after_ms } => {
                let tenant = self.tenants.entry(spec.name.clone()).or_default();
                tenant.record_refusal(now_us, retry_after_ms);
                Some(QuotaDecision::Refuse { retry_after_ms })
            }
            QuotaAnswer::NotOwner => None,
        }
    }

    /// Applies the states of a reply of an owner; returns whether it did not reply before.
    pub fn apply_reply(&mut self, now_us: u64, owner: &Arc<str>, reply: &QuotaReply) -> bool {
        for state in &reply.states {
            let tenant = self.tenants.entry(state.tenant.clone()).or_default();
            tenant.apply_state(now_us, owner, state);
        }
        self.backoffs.clear(owner)
    }

    /// Applies the announcement of a node that tenants are limited.
    pub fn apply_announcement(&mut self, now_us: u64, tenants: &[Arc<str>]) {
        for name in tenants {
            let tenant = self.tenants.entry(name.clone()).or_default();
            tenant.mark_announced(now_us);
        }
    }

    /// Records that this node, as an owner, has declared tenants limited.
    pub fn mark_limited(&mut self, now_us: u64, tenants: &[Arc<str>]) {
        for name in tenants {
            let tenant = self.tenants.entry(name.clone()).or_default();
            tenant.mark_limited(now_us);
        }
    }

    /// Records that another node failed to reach an owner.
    pub const fn apply_suspicion(&mut self, now_us: u64) {
        self.suspicion.record_message(now_us);
    }

    /// Returns whether other nodes must be told now that an owner did not reply.
    pub const fn take_suspicion(&mut self, now_us: u64) -> bool {
        self.suspicion.take_message(now_us)
    }

    /// Records that an owner did not reply to a message, whose reports are kept for the next one.
    /// Returns whether it is the first failure in a row.
    pub fn record_failure(
        &mut self,
        now_us: u64,
        owner: &QuotaNode,
        message: &QuotaMessage,
    ) -> bool {
        if message.ask.is_some() {
            self.suspicion.record_question_failure(now_us);
        } else {
            self.suspicion.record_failure(now_us);
        }
        for report in &message.reports {
            self.reports.add(now_us, owner, report);
        }
        self.backoffs.record_failure(now_us, &owner.name)
    }

    /// Returns the owners to which a report is due.
    pub fn due_reports(&mut self, now_us: u64, peers: &Peers) -> Vec<QuotaNode> {
        self.update_nodes(now_us, peers);
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

    /// Returns whether this node or others may be cut off.
    #[must_use]
    pub const fn may_be_partitioned(&self, now_us: u64) -> bool {
        self.suspicion.is_active(now_us)
    }

    /// Returns whether another node has recently announced that a tenant is limited.
    #[must_use]
    pub fn is_announced(&self, now_us: u64, tenant: &str) -> bool {
        let tenant = self.tenants.get(tenant);
        tenant.is_some_and(|tenant| tenant.is_announced(now_us))
    }

    /// Returns a tenant's recent requests per second over all nodes, as an owner has stated it
    /// within the last seconds.
    #[must_use]
    pub fn demand_per_s(&self, now_us: u64, tenant: &str) -> Option<f64> {
        self.tenants.get(tenant)?.demand_per_s(now_us)
    }

    /// Admits a request before the first list of nodes, by the whole quota: the number of nodes is
    /// not known, and the owners are told of the request as soon as they are known.
    fn admit_unlisted(&mut self, now_us: u64, spec: &TenantSpec) -> QuotaDecision {
        let tenant = self.tenants.entry(spec.name.clone()).or_default();
        let decision = tenant.admit_by_share(now_us, spec, self.bounds, 1, 1.0, 0.0);
        if decision == QuotaDecision::Admit {
            tenant.unassigned += 1.0;
        }
        decision
    }

    /// Forgets the owners if the list of nodes is a new one, and assigns requests that were
    /// admitted before the first list to their owners.
    fn update_nodes(&mut self, now_us: u64, peers: &Peers) {
        if self.generation == peers.generation() {
            return;
        }
        self.generation = peers.generation();
        let nodes = peers.all_nodes();
        self.backoffs
            .retain(|name| nodes.iter().any(|node| node.name == *name));
        let mut unassigned = Vec::new();
        for (name, tenant) in &mut self.tenants {
            tenant.owners.clear();
            let admitted = tenant.take_unassigned();
            if admitted > 0.0 {
                tenant.find_owners(peers, name);
                unassigned.push(admissions(name, admitted));
            }
        }
        for report in unassigned {
            self.count(now_us, &report, None);
        }
    }

    /// Counts a request that was decided without an owner.
    fn sample(&mut self, now_us: u64, spec: &TenantSpec, decision: &QuotaDecision, random: f64) {
        let probability = sampling_probability(spec);
        if random > probability {
            return;
        }
        let admitted = *decision == QuotaDecision::Admit;
        let weight = 1.0 / probability;
        let report = TenantReport {
            admitted: if admitted { weight } else { 0.0 },
            refused: if admitted { 0.0 } else { weight },
            tenant: spec.name.clone(),
        };
        self.count(now_us, &report, None);
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

/// Returns the share of a tenant's requests that are reported.
fn sampling_probability(spec: &TenantSpec) -> f64 {
    (REPORTED_PER_S_MAX / spec.rate_per_s).min(1.0)
}

fn admissions(tenant: &Arc<str>, count: f64) -> TenantReport {
    TenantReport {
        admitted: count,
        refused: 0.0,
        tenant: tenant.clone(),
    }
}
