use std::sync::Arc;

use crate::Peers;
use crate::QuotaBounds;
use crate::QuotaDecision;
use crate::QuotaNode;
use crate::TenantSpec;
use crate::TenantState;
use crate::quota_owner::OWNERS;
use crate::quota_share::QuotaShare;

/// Time for which a tenant counts as limited after an announcement: three intervals.
const LIMITED_US: u64 = 3_000_000;

/// Time for which an announcement of the owner keeps the backup owner from making its own.
const ANNOUNCED_US: u64 = 1_500_000;

/// Time for which the demand that an owner states is recent.
const DEMAND_US: u64 = 10_000_000;

/// Longest time that a caller is told to wait.
const RETRY_AFTER_MAX_MS: u64 = 10_000;

/// Longest time for which a refusal of an owner decides about further requests, as its reasons,
/// such as the limit, may change.
const REFUSED_US: u64 = 1_000_000;

/// What a node knows about one tenant.
#[derive(Debug, Default)]
pub(crate) struct TenantView {
    /// Time until which another node has announced that the tenant is limited.
    announced_until_us: u64,
    /// Time from which the owner has capacity.
    capacity_at_us: u64,
    /// Requests per second over all nodes, as stated by an owner, and when.
    demand: Option<(f64, u64)>,
    limited_until_us: u64,
    /// Owners by this node's list of nodes; empty if they are not known yet.
    pub(crate) owners: Vec<QuotaNode>,
    /// Time until which requests are refused without asking the owner.
    refused_until_us: u64,
    share: Option<QuotaShare>,
    /// Requests admitted before the first list of nodes.
    pub(crate) unassigned: f64,
    /// Requests admitted on this node's own since an owner last replied about the tenant.
    pub(crate) unconfirmed: f64,
}

impl TenantView {
    /// Takes the owners from the list of nodes, if they are not known.
    pub(crate) fn find_owners(&mut self, peers: &Peers, name: &str) {
        if self.owners.is_empty() {
            let nodes = peers.ranked_nodes(name, OWNERS).into_iter();
            let owners = nodes.map(|node| QuotaNode {
                address: node.address,
                name: node.name.clone(),
            });
            self.owners = owners.collect();
        }
    }

    /// Returns the refusal that an owner's answer implies for further requests.
    pub(crate) fn refusal(&self, now_us: u64) -> Option<QuotaDecision> {
        let wait_us = self.capacity_at_us.saturating_sub(now_us);
        (now_us < self.refused_until_us).then(|| QuotaDecision::Refuse {
            retry_after_ms: wait_us.div_ceil(1_000),
        })
    }

    pub(crate) fn record_refusal(&mut self, now_us: u64, retry_after_ms: u64) {
        let wait_us = retry_after_ms * 1_000;
        self.capacity_at_us = now_us + wait_us;
        self.refused_until_us = now_us + wait_us.min(REFUSED_US);
    }

    pub(crate) fn apply_state(&mut self, now_us: u64, owner: &Arc<str>, state: &TenantState) {
        self.demand = Some((state.demand_per_s, now_us));
        self.unconfirmed = 0.0;
        let first = self.owners.first();
        if state.limited {
            self.mark_limited(now_us);
        } else if first.is_some_and(|first| first.name == *owner) {
            self.limited_until_us = 0;
        }
    }

    pub(crate) const fn mark_limited(&mut self, now_us: u64) {
        self.limited_until_us = now_us + LIMITED_US;
    }

    pub(crate) const fn mark_announced(&mut self, now_us: u64) {
        self.announced_until_us = now_us + ANNOUNCED_US;
        self.mark_limited(now_us);
    }

    pub(crate) const fn is_announced(&self, now_us: u64) -> bool {
        now_us < self.announced_until_us
    }

    pub(crate) const fn is_limited(&self, now_us: u64) -> bool {
        now_us < self.limited_until_us
    }

    pub(crate) fn demand_per_s(&self, now_us: u64) -> Option<f64> {
        let (per_s, at_us) = self.demand?;
        (now_us < at_us + DEMAND_US).then_some(per_s)
    }

    /// Decides by the equal share of one of `nodes`. `random` is uniform from 0 to 1; `unconfirmed`
    /// requests were admitted shortly before and have not reached the owner.
    pub(crate) fn admit_by_share(
        &mut self,
        now_us: u64,
        spec: &TenantSpec,
        bounds: QuotaBounds,
        nodes: usize,
        random: f64,
        unconfirmed: f64,
    ) -> QuotaDecision {
        let share = match &mut self.share {
            Some(share) if !share.is_outdated(now_us) => share,
            share => share.insert(QuotaShare::new(
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
            return QuotaDecision::Admit;
        }
        let retry_after_ms = share.wait_us(now_us).div_ceil(1_000);
        QuotaDecision::Refuse {
            retry_after_ms: retry_after_ms.min(RETRY_AFTER_MAX_MS),
        }
    }

    /// Returns the requests that were admitted before the first list of nodes, and ends the share
    /// that admitted them, which was that of a single node.
    pub(crate) fn take_unassigned(&mut self) -> f64 {
        if self.unassigned > 0.0 {
            self.share = None;
        }
        std::mem::take(&mut self.unassigned)
    }
}
