use crate::LegsKey;
use crate::LoadChange;
use crate::Pool;
use crate::RefuseReason;
use crate::Route;
use crate::TenantClaim;
use crate::fair_shares::GatherRequest;

/// Observes the load of the shards of gathers, and decides what gives way to it.
impl Pool {
    /// Refuses some gathers of a route, while more arrive than can be answered in time; `claim` is
    /// `None` where the configuration names no tenants.
    pub(crate) fn refuse_gather(
        &mut self,
        now_us: u64,
        route: &Route,
        claim: Option<&TenantClaim>,
    ) -> Option<RefuseReason> {
        let draw = self.rng.f64();
        let rank = route.rank(claim.and_then(|claim| claim.priority));
        let admission = *self.admissions.entry(route.legs_key).or_default();
        let mut admitted_share = admission.admitted_share(rank);
        if let Some(claim) = claim {
            let shares = self.fair_shares.entry(route.legs_key).or_default();
            let request = GatherRequest {
                claim,
                kind: &route.spec.name,
                rank,
            };
            let share_of_rank = |rank| admission.admitted_share(rank);
            admitted_share = shares.admitted_share(now_us, &request, share_of_rank, self.nodes);
        }
        let refused = self.policy.admission && draw > admitted_share;
        refused.then_some(RefuseReason::Overloaded {
            admitted_percent: (admitted_share * 100.0) as u32,
        })
    }

    /// Records whether a gather of this node's callers had enough parts when its answer was due.
    pub fn observe_gather(&mut self, legs_key: LegsKey, enough_parts: bool) {
        let admission = self.admissions.entry(legs_key).or_default();
        admission.observe_gather(enough_parts);
    }

    /// Records the share of the legs that this node sent for a gather and that were queued.
    pub(crate) fn observe_legs(&mut self, legs_key: LegsKey, queued_share: f64) {
        let admission = self.admissions.entry(legs_key).or_default();
        admission.observe_legs(queued_share);
    }

    /// Returns the changes of the load of shards since the last call, and forgets the sets of
    /// shards for which `is_used` is false.
    pub fn load_changes(&mut self, is_used: impl Fn(LegsKey) -> bool) -> Vec<LoadChange> {
        let policy = self.policy;
        self.admissions.retain(|legs_key, _| is_used(*legs_key));
        self.fair_shares.retain(|legs_key, _| is_used(*legs_key));
        let changes = self.admissions.iter_mut().filter_map(|(key, admission)| {
            let load = admission.load_change(&policy)?;
            Some(LoadChange {
                admitted_percent: (admission.admitted_share(0) * 100.0) as u32,
                legs_key: *key,
                load,
                queued_percent: (admission.queued_share() * 100.0) as u32,
            })
        });
        changes.collect()
    }

    /// Whether the shards of a gather have room for hedges.
    pub(crate) fn allows_hedges(&self, legs_key: LegsKey) -> bool {
        let admission = self.admissions.get(&legs_key);
        admission.is_none_or(|admission| admission.allows_hedges(&self.policy))
    }
}
