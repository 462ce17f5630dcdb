use crate::Availability;
use crate::ChoiceContext;
use crate::Policy;
use crate::Pool;
use crate::Replica;
use crate::ReplicaKey;
use crate::RouteProfile;
use crate::ServiceKey;
use crate::data_centres::OWN;
use crate::locality;

/// A replica with its expected cost.
type Candidate = (f64, ReplicaKey);

/// The usable replicas with the lowest expected costs.
#[derive(Clone, Copy, Debug, Default)]
struct Cheapest {
    far: Option<Candidate>,
    near: Option<Candidate>,
}

impl Cheapest {
    fn add(&mut self, is_near: bool, cost: f64, key: ReplicaKey) {
        let cheapest = if is_near {
            &mut self.near
        } else {
            &mut self.far
        };
        if cheapest.is_none_or(|(lowest, _)| cost < lowest) {
            *cheapest = Some((cost, key));
        }
    }

    const fn is_empty(&self) -> bool {
        self.far.is_none() && self.near.is_none()
    }
}

/// Chooses the replicas of sub-requests.
impl Pool {
    /// Chooses the replica for the next sub-request, excluding those in `tried`, without knowing
    /// the time that is left for it.
    pub fn choose(
        &mut self,
        now_us: u64,
        service: ServiceKey,
        tried: &[ReplicaKey],
    ) -> Option<ReplicaKey> {
        self.choose_in_context(now_us, service, tried, ChoiceContext::default())
    }

    /// Chooses the replica that this node uses if it takes a leg back from another node; not one of
    /// the target version of a rollout, which may get no request by then.
    pub fn choose_fallback(&mut self, now_us: u64, service: ServiceKey) -> Option<ReplicaKey> {
        self.choose_for(now_us, service, &[], ChoiceContext::default(), false)
    }

    /// Chooses the replica for the next sub-request, excluding those in `tried`.
    pub fn choose_in_context(
        &mut self,
        now_us: u64,
        service: ServiceKey,
        tried: &[ReplicaKey],
        context: ChoiceContext,
    ) -> Option<ReplicaKey> {
        self.choose_for(now_us, service, tried, context, tried.is_empty())
    }

    /// Chooses a replica; only a first request (`is_first`) goes to the target version of a rollout
    /// while there are others.
    fn choose_for(
        &mut self,
        now_us: u64,
        service: ServiceKey,
        tried: &[ReplicaKey],
        context: ChoiceContext,
        is_first: bool,
    ) -> Option<ReplicaKey> {
        let Cheapest { far, near } = self.cheapest(now_us, service, tried, context, is_first);
        let (Some((near_cost, near)), Some((far_cost, far))) = (near, far) else {
            return near.or(far).map(|(_, key)| key);
        };
        let draw = if self.policy.locality {
            self.rng.f64()
        } else {
            0.5
        };
        let failure_share = self.failure_share(now_us, near);
        let factor = locality::remote_factor(&self.policy, context, near_cost, failure_share, draw);
        Some(if near_cost <= far_cost * factor {
            near
        } else {
            far
        })
    }

    /// Returns whether the responses from the data centre of a replica show room for hedges.
    pub(crate) fn has_room_for_hedge(
        &self,
        now_us: u64,
        key: ReplicaKey,
        profile: RouteProfile,
    ) -> bool {
        let Some(replica) = self.replica(key).filter(|_| self.policy.hedge_room) else {
            return true;
        };
        let extra_us = self.data_centres.distance_us(replica.data_centre);
        let data_centre = self.data_centres.get(replica.data_centre);
        data_centre.cost(&self.policy, now_us) <= locality::hedge_cost_max(profile, extra_us)
    }

    /// Returns the share of recent requests to a replica that failed or were refused.
    fn failure_share(&self, now_us: u64, key: ReplicaKey) -> f64 {
        let replica = self.replica(key);
        replica.map_or(0.0, |replica| replica.health.failure_share(now_us))
    }

    /// Returns whether a replica is in another data centre.
    #[must_use]
    pub fn is_elsewhere(&self, key: ReplicaKey) -> bool {
        self.replica(key)
            .is_some_and(|replica| replica.data_centre != OWN)
    }

    /// Returns by how much a round trip to a replica in another data centre takes longer than
    /// within the own one; `None` for replicas of the own one.
    pub(crate) fn distance_us(&self, key: ReplicaKey) -> Option<f64> {
        let replica = self.replica(key)?;
        let elsewhere = replica.data_centre != OWN;
        elsewhere.then(|| self.data_centres.distance_us(replica.data_centre))
    }

    /// Returns the usable replica with the lowest expected cost in the own data centre, and that in
    /// the others; of the version that a request should go to, if there are any.
    fn cheapest(
        &mut self,
        now_us: u64,
        service: ServiceKey,
        tried: &[ReplicaKey],
        context: ChoiceContext,
        is_first: bool,
    ) -> Cheapest {
        let extra = is_first && self.draw_coordinator_share(now_us, service);
        let mut rates = self.sending_rates(now_us, service);
        rates.allows_trial = self.allows_trial(now_us, service, extra);
        let preferred_role = self.preferred_role(is_first);
        let policy = self.policy;
        let rng = &mut self.rng;
        let mut cheapest = Cheapest::default();
        let mut preferred = Cheapest::default();
        for key in &self.services[service.0 as usize].replicas {
            let Some(replica) = self.arena[key.index as usize].replica.as_ref() else {
                continue;
            };
            let availability = replica.availability(now_us, rates);
            if tried.contains(key) || availability != Availability::Ready {
                continue;
            }
            let mut cost = expected_cost(&policy, replica, now_us);
            if replica.in_flight > 0 {
                let silent_us = now_us.saturating_sub(replica.progress_us);
                cost += locality::stall_cost(&policy, context, silent_us);
            }
            let is_near = replica.data_centre == OWN;
            if !is_near {
                let extra_us = self.data_centres.distance_us(replica.data_centre);
                let elsewhere = self.data_centres.get(replica.data_centre);
                cost = locality::remote_cost(&policy, context, cost, extra_us, elsewhere, now_us);
            }
            cost *= 1.0 + rng.f64() * policy.tie_breaking;
            cheapest.add(is_near, cost, *key);
            if preferred_role == Some(replica.role) {
                preferred.add(is_near, cost, *key);
            }
        }
        if preferred.is_empty() {
            cheapest
        } else {
            preferred
        }
    }
}

fn expected_cost(policy: &Policy, replica: &Replica, now_us: u64) -> f64 {
    /// Cost factor of a replica that is still slow because of its cold start.
    const COLD_COST_FACTOR: f64 = 2.0;
    /// Cost factor of a replica that has not named its limit for some time and may have lifted it.
    const OUTDATED_LIMIT_COST_FACTOR: f64 = 0.7;
    let utilisation = f64::from(replica.in_flight) / f64::from(replica.registration.slots.max(1));
    let cold = if replica.is_cold(now_us) {
        COLD_COST_FACTOR
    } else {
        1.0
    };
    // Only a response shows that a limit has ended, and few requests are within it.
    let outdated = if replica.notice_state.rate_limit.is_outdated(now_us) {
        OUTDATED_LIMIT_COST_FACTOR
    } else {
        1.0
    };
    replica.health.cost(policy, now_us) * (1.0 + utilisation) * cold * outdated
}
