use std::collections::HashMap;
use std::sync::Arc;

use crate::Peers;
use crate::QuotaAnswer;
use crate::QuotaBounds;
use crate::QuotaMessage;
use crate::QuotaNode;
use crate::QuotaReply;
use crate::TenantReport;
use crate::TenantSpec;
use crate::TenantState;
use crate::quota_tenant::OwnedTenant;

/// Number of owners of a tenant: the first one and its backup.
pub(crate) const OWNERS: usize = 2;

/// Processor time for an announcement to one node and its reply, on a whole core.
const ANNOUNCEMENT_PROCESSOR_US: f64 = 150.0;

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

/// Nodes of this rank or before it accept messages as owners: the lists of nodes differ between
/// nodes for some seconds after a node was added or removed.
const ACCEPTING_RANKS: usize = 3;

/// The tenants that a node owns or backs up, with their buckets.
#[derive(Debug)]
pub struct QuotaOwner {
    bounds: QuotaBounds,
    changes: Vec<QuotaChange>,
    /// Number of the list of nodes from which the ranks are taken.
    generation: u64,
    /// Rank of this node as an owner of each tenant.
    ranks: HashMap<Arc<str>, usize>,
    /// Whether nodes may be cut off.
    suspicious: bool,
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
            generation: 0,
            ranks: HashMap::new(),
            starts_full: first_start,
            suspicious: false,
            tenants: HashMap::new(),
        }
    }

    /// Applies the reports and the question of a message. `find` returns the tenant with a name by
    /// the configuration in force.
    pub fn receive<'a>(
        &mut self,
        now_us: u64,
        message: &QuotaMessage,
        peers: &Peers,
        find: impl Fn(&str) -> Option<&'a TenantSpec>,
    ) -> QuotaReply {
        let mut reply = QuotaReply::default();
        for report in &message.reports {
            if let Some(spec) = self.owned(peers, &report.tenant, &find) {
                self.tenant(now_us, spec).report(now_us, report);
                reply.states.push(self.state(now_us, spec));
            }
        }
        let Some(name) = &message.ask else {
            return reply;
        };
        let Some(spec) = self.owned(peers, name, &find) else {
            reply.answer = Some(QuotaAnswer::NotOwner);
            return reply;
        };
        let tenant = self.tenant(now_us, spec);
        reply.answer = Some(tenant.ask(now_us));
        let state = self.state(now_us, spec);
        if state.limited {
            self.acknowledge(now_us, &message.from, std::slice::from_ref(name));
        }
        reply.states.push(state);
        reply
    }

    /// Returns the tenant with a name if this node accepts messages as its owner. Before its first
    /// list of nodes, the list of the sender decides.
    fn owned<'a>(
        &mut self,
        peers: &Peers,
        name: &Arc<str>,
        find: &impl Fn(&str) -> Option<&'a TenantSpec>,
    ) -> Option<&'a TenantSpec> {
        let spec = find(name).filter(|spec| spec.is_limited())?;
        (self.rank(peers, name) < ACCEPTING_RANKS).then_some(spec)
    }

    /// Returns the rank of this node as an owner of a tenant, 0 for the first.
    fn rank(&mut self, peers: &Peers, name: &Arc<str>) -> usize {
        if self.generation != peers.generation() {
            if self.generation == 0 {
                let tenants = self.tenants.values_mut();
                tenants.for_each(OwnedTenant::forget_announcement);
            }
            self.generation = peers.generation();
            self.ranks.clear();
        }
        let rank = self.ranks.entry(name.clone());
        *rank.or_insert_with(|| peers.own_rank(name))
    }

    /// Returns the state of a tenant for a reply, after its tokens have changed.
    fn state(&mut self, now_us: u64, spec: &TenantSpec) -> TenantState {
        self.observe(now_us, spec);
        let tenant = self.tenant(now_us, spec);
        TenantState {
            demand_per_s: tenant.demand_per_s(now_us),
            limited: tenant.is_limited(),
            tenant: spec.name.clone(),
            tokens: tenant.accurate_tokens(now_us),
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

    /// Records that a node did not reply to an announcement of limited tenants.
    pub fn remove_acknowledgement(&mut self, node: &Arc<str>, tenants: &[Arc<str>]) {
        for name in tenants {
            if let Some(tenant) = self.tenants.get_mut(name) {
                tenant.remove_acknowledgement(node);
            }
        }
    }

    /// Returns the time that this node needs to announce limited tenants to all nodes.
    #[must_use]
    pub fn announcement_us(peers: &Peers) -> u64 {
        let share = peers.own().processor_share.max(0.01);
        (peers.total_nodes() as f64 * ANNOUNCEMENT_PROCESSOR_US / share) as u64
    }

    /// Returns whether this node has a bucket of a tenant.
    #[must_use]
    pub fn has_tenants(&self) -> bool {
        !self.tenants.is_empty()
    }

    /// Returns whether a tenant is limited, so that time must be spent on it.
    #[must_use]
    pub fn has_limited_tenants(&self) -> bool {
        self.tenants.values().any(OwnedTenant::is_limited)
    }

    /// Updates the limited states, and the reserves by what the other nodes acknowledged; forgets
    /// tenants that the configuration no longer limits. Nodes may be cut off if `suspicious`.
    pub fn refresh<'a>(
        &mut self,
        now_us: u64,
        peers: &Peers,
        suspicious: bool,
        find: impl Fn(&str) -> Option<&'a TenantSpec>,
    ) {
        self.suspicious = suspicious;
        self.tenants
            .retain(|name, _| find(name).is_some_and(TenantSpec::is_limited));
        let names: Vec<Arc<str>> = self.tenants.keys().cloned().collect();
        for spec in names.iter().filter_map(|name| find(name)) {
            let tenant = self.tenant(now_us, spec);
            tenant.refresh_reserve(now_us, peers, spec);
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
        peers: &Peers,
        is_announced: impl Fn(&str) -> bool,
    ) -> Vec<Arc<str>> {
        let limited = self.tenants.iter().filter(|(_, it)| it.is_limited());
        let mut names: Vec<Arc<str>> = limited.map(|(name, _)| name.clone()).collect();
        names.retain(|name| {
            let rank = self.rank(peers, name);
            let Some(tenant) = self.tenants.get_mut(name) else {
                return false;
            };
            tenant.announce(now_us, rank, is_announced(name))
        });
        names
    }

    /// Creates the buckets of the tenants that this node owns or backs up, after a change of the
    /// nodes or of the configuration. They fill, and take over the tokens of the other owners,
    /// before the first request.
    pub fn adopt<'a>(
        &mut self,
        now_us: u64,
        peers: &Peers,
        specs: impl Iterator<Item = &'a TenantSpec>,
    ) {
        if peers.generation() == 0 {
            return;
        }
        for spec in specs.filter(|spec| spec.is_limited()) {
            if self.rank(peers, &spec.name) < OWNERS {
                self.tenant(now_us, spec);
            }
        }
    }

    /// Returns whether [`Self::take_syncs`] has messages.
    #[must_use]
    pub fn has_syncs(&self) -> bool {
        self.tenants.values().any(OwnedTenant::is_sync_due)
    }

    /// Returns the messages by which this node asks the other owners of new buckets for their
    /// tokens, as it has been restarted or its rank has changed.
    pub fn take_syncs(&mut self, peers: &Peers) -> Vec<(QuotaNode, QuotaMessage)> {
        if peers.generation() == 0 {
            return Vec::new();
        }
        let due = self.tenants.iter_mut().filter(|(_, it)| it.is_sync_due());
        let due = due.filter_map(|(name, tenant)| {
            tenant.mark_synced();
            let owners = peers.ranked_nodes(name, OWNERS);
            let mut others = owners.iter().filter(|it| it.name != peers.own().name);
            let other = others.next()?;
            let node = QuotaNode {
                address: other.address,
                name: other.name.clone(),
            };
            let report = TenantReport {
                admitted: 0.0,
                refused: 0.0,
                tenant: name.clone(),
            };
            let message = QuotaMessage {
                from: peers.own().name.clone(),
                reports: vec![report],
                ..QuotaMessage::default()
            };
            Some((node, message))
        });
        due.collect()
    }

    /// Applies the reply to a message of [`Self::take_syncs`].
    pub fn sync(&mut self, now_us: u64, reply: &QuotaReply) {
        for state in &reply.states {
            let tenant = self.tenants.get_mut(&state.tenant);
            if let (Some(tenant), Some(tokens)) = (tenant, state.tokens) {
                tenant.sync(now_us, tokens);
            }
        }
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
        if tenant.update_limited(now_us, spec, self.suspicious) {
            let change = tenant.change(now_us, &spec.name);
            self.changes.push(change);
        }
    }
}
