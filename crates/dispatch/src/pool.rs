use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use crate::Availability;
use crate::ExtraAllowance;
use crate::LegsKey;
use crate::Policy;
use crate::ReplacedReplica;
use crate::Replica;
use crate::ReplicaKey;
use crate::RolloutBounds;
use crate::ServiceKey;
use crate::ServiceSpec;
use crate::admission::Admission;
use crate::connect_latency::ConnectLatency;
use crate::data_centres::DataCentres;
use crate::departed_replicas::DepartedReplicas;
use crate::fair_shares::FairShares;
use crate::service::Service;

/// Number of nodes that are assumed to share the rate of a replica until their number is known.
const ASSUMED_NODES: usize = 16;

/// Memory of a replica, with the texts of its registration and its places in tables.
const REPLICA_BYTES: usize = 1_024;

/// The services and replicas that a node knows; chooses the replica for each sub-request.
#[derive(Debug)]
pub struct Pool {
    /// Admission of gathers by [`Route::legs_key`](crate::Route::legs_key).
    pub(crate) admissions: HashMap<LegsKey, Admission>,
    pub(crate) arena: Vec<ArenaSlot>,
    pub(crate) by_id: HashMap<Arc<str>, ReplicaKey>,
    pub(crate) connect_latency: ConnectLatency,
    pub(crate) data_centres: DataCentres,
    /// Extra sub-requests, that is hedges and retries, that operators allow for each service.
    extra_allowance: ExtraAllowance,
    /// Dropped replicas, some of which register again.
    pub(crate) departed: DepartedReplicas,
    /// Fair shares of tenants by [`Route::legs_key`](crate::Route::legs_key).
    pub(crate) fair_shares: HashMap<LegsKey, FairShares>,
    pub(crate) free_slots: Vec<u32>,
    /// Services that configurations name; `None` if all count as named.
    pub(crate) named_services: Option<BTreeSet<Arc<str>>>,
    /// Number of nodes in all data centres.
    pub(crate) nodes: usize,
    /// Policy in force: the configured one, without locality while all data centres are near.
    pub(crate) policy: Policy,
    /// Policy that was set.
    pub(crate) configured_policy: Policy,
    /// Replicas that were replaced at their addresses, until they are reported.
    pub(crate) replaced: Vec<ReplacedReplica>,
    pub(crate) rng: fastrand::Rng,
    /// Limits of rollouts; `None` if all versions get requests.
    pub(crate) rollout_bounds: Option<RolloutBounds>,
    pub(crate) seed: u64,
    pub(crate) services: Vec<Service>,
    pub(crate) services_by_name: HashMap<Arc<str>, ServiceKey>,
    /// Data centres that operators evacuated: their replicas get no requests.
    pub(crate) evacuated: BTreeSet<Arc<str>>,
    /// Those of `evacuated` that a restored store lacks, each with the time until which operators
    /// may write it again.
    pub(crate) lost_evacuations: BTreeMap<Arc<str>, u64>,
}

/// Kind of an extra sub-request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExtraReason {
    /// A further sub-request while an earlier one is still in flight.
    Hedge,
    /// A further sub-request after an earlier one failed.
    Retry,
}

/// A slot of the arena, which is reused after its replica is dropped.
#[derive(Debug)]
pub(crate) struct ArenaSlot {
    pub(crate) generation: u32,
    pub(crate) replica: Option<Replica>,
}

/// Counts of replicas, for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PoolCounts {
    /// Replicas that must not be sent requests: they are draining, evacuated or in a hold-off (a
    /// time without requests that they asked for), or their registration has been removed.
    pub not_accepting: usize,
    /// Replicas that take requests.
    pub ready: usize,
    /// Replicas that are suspended after failures or refusals.
    pub suspended: usize,
}

impl Pool {
    /// Creates an empty pool for a node in `data_centre`; `seed` is for the random numbers
    /// that vary the costs of replicas a little and spread the requests of nodes over time. All
    /// services count as named until [`Self::set_named_services`] is called.
    #[must_use]
    pub fn new(data_centre: Arc<str>, seed: u64) -> Self {
        Self {
            admissions: HashMap::new(),
            arena: Vec::new(),
            by_id: HashMap::new(),
            connect_latency: ConnectLatency::default(),
            data_centres: DataCentres::new(data_centre),
            extra_allowance: ExtraAllowance::default(),
            departed: DepartedReplicas::default(),
            fair_shares: HashMap::new(),
            free_slots: Vec::new(),
            named_services: None,
            nodes: ASSUMED_NODES,
            policy: Policy::constant_distance(),
            configured_policy: Policy::default(),
            replaced: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            rollout_bounds: None,
            seed,
            services: Vec::new(),
            services_by_name: HashMap::new(),
            evacuated: BTreeSet::new(),
            lost_evacuations: BTreeMap::new(),
        }
    }

    /// Sets the number of nodes that share the rates of replicas.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes.max(1);
    }

    /// Sets the policy of this node.
    pub fn set_policy(&mut self, policy: Policy) {
        self.configured_policy = policy;
        self.apply_distance();
    }

    /// Returns the policy of this node.
    #[must_use]
    pub const fn policy(&self) -> &Policy {
        &self.policy
    }

    /// Sets the extra sub-requests that operators allow; applies to services that become known
    /// later.
    pub const fn set_extra_allowance(&mut self, allowance: ExtraAllowance) {
        self.extra_allowance = allowance;
    }

    /// Sets how many nodes send to a service; these nodes share the rate of its cold replicas
    /// and the extra sub-requests that operators allow.
    pub fn set_senders(&mut self, service: ServiceKey, senders: usize) {
        let entry = &mut self.services[service.0 as usize];
        if entry.senders != Some(senders) {
            entry.senders = Some(senders);
            entry.budget.set_senders(self.extra_allowance, senders);
        }
    }

    /// Sets this node's share of the requests of all nodes to a service, from 0 to 1; the node uses
    /// the same share of the limits that replicas of the service name.
    pub fn set_sender_share(&mut self, service: ServiceKey, share: f64) {
        self.services[service.0 as usize].sender_share = Some(share);
    }

    /// Returns the key of a service; creates one for an unknown name.
    pub fn service_key(&mut self, name: &Arc<str>) -> ServiceKey {
        if let Some(key) = self.services_by_name.get(name) {
            return *key;
        }
        let key = ServiceKey(self.services.len() as u32);
        self.services
            .push(Service::new(name.clone(), self.extra_allowance));
        self.services_by_name.insert(name.clone(), key);
        key
    }

    /// Applies the operators' settings of a service.
    pub fn apply_service_spec(&mut self, spec: &ServiceSpec) {
        let key = self.service_key(&spec.name);
        let service = &mut self.services[key.0 as usize];
        service.cold_rate_per_s = spec.cold_rate_per_s;
        service.cold_start_us = spec.cold_start_ms.saturating_mul(1_000);
    }

    /// Returns the name of a service.
    #[must_use]
    pub fn service_name(&self, key: ServiceKey) -> &Arc<str> {
        &self.services[key.0 as usize].name
    }

    /// Returns the replicas of a service.
    #[must_use]
    pub fn replicas_of(&self, key: ServiceKey) -> &[ReplicaKey] {
        &self.services[key.0 as usize].replicas
    }

    /// Returns a replica; `None` if it has been dropped.
    #[must_use]
    pub fn replica(&self, key: ReplicaKey) -> Option<&Replica> {
        let slot = self.arena.get(key.index as usize)?;
        (slot.generation == key.generation)
            .then_some(slot.replica.as_ref())
            .flatten()
    }

    pub(crate) fn replica_mut(&mut self, key: ReplicaKey) -> Option<&mut Replica> {
        let slot = self.arena.get_mut(key.index as usize)?;
        (slot.generation == key.generation)
            .then_some(slot.replica.as_mut())
            .flatten()
    }

    /// Returns the replica that a request without any available replica is sent to: among those
    /// whose last request failed and that have no request of this node in flight, the one whose
    /// suspension ends first.
    #[must_use]
    pub fn last_resort(&self, now_us: u64, service: ServiceKey) -> Option<ReplicaKey> {
        let entry = &self.services[service.0 as usize];
        let rates = self.sending_rates(now_us, service);
        let suspended = |key: &ReplicaKey| {
            let replica = self.replica(*key)?;
            let no_request = replica.in_flight == 0 && replica.health.last_request_failed();
            let allowed = replica.accepts_requests(now_us) && replica.within_rates(now_us, rates);
            (no_request && allowed).then_some((replica.health.suspended_until_us, *key))
        };
        let candidates = entry.replicas.iter().filter_map(suspended);
        candidates
            .min_by_key(|(until_us, _)| *until_us)
            .map(|(_, key)| key)
    }

    /// Returns whether a service has a replica that is registered and neither draining nor in an
    /// evacuated data centre; it may be suspended after failures or in a hold-off.
    #[must_use]
    pub fn has_replica_in_service(&self, now_us: u64, service: ServiceKey) -> bool {
        let replicas = self.replicas_of(service).iter();
        replicas
            .filter_map(|key| self.replica(*key))
            .any(|replica| !replica.is_out_of_service(now_us))
    }

    /// Returns whether a request may be sent to a replica now.
    #[must_use]
    pub fn is_usable(&self, now_us: u64, key: ReplicaKey) -> bool {
        self.availability(now_us, key) == Some(Availability::Ready)
    }

    /// Returns the key of the replica with an id.
    #[must_use]
    pub fn key_of(&self, id: &str) -> Option<ReplicaKey> {
        self.by_id.get(id).copied()
    }

    /// Returns the replicas among `new` that this node would choose first for the services in
    /// `used_services`; connections to them are worth opening in advance.
    ///
    /// Accepting a connection costs a replica time, and connections from all nodes to all
    /// replicas would exceed what a replica accepts.
    pub fn preconnect_candidates(
        &mut self,
        now_us: u64,
        new: &[ReplicaKey],
        used_services: &BTreeSet<ServiceKey>,
    ) -> Vec<ReplicaKey> {
        let services: BTreeSet<ServiceKey> = new
            .iter()
            .filter_map(|key| self.replica(*key))
            .map(|replica| replica.service)
            .collect();
        services
            .intersection(used_services)
            .copied()
            .filter_map(|service| self.choose(now_us, service, &[]))
            .filter(|key| new.contains(key))
            .collect()
    }

    /// Charges an extra sub-request to a service's budget; returns false if the budget does not
    /// allow it.
    pub fn try_charge_extra(
        &mut self,
        now_us: u64,
        service: ServiceKey,
        reason: ExtraReason,
    ) -> bool {
        let budget = &mut self.services[service.0 as usize].budget;
        let reserve = match reason {
            ExtraReason::Hedge => self.policy.reserved_retries,
            ExtraReason::Retry => 0,
        };
        budget.try_charge(now_us, reserve)
    }

    /// Credits a first request to a service's budget of extra sub-requests.
    pub fn earn(&mut self, service: ServiceKey) {
        self.services[service.0 as usize].budget.earn();
    }

    /// Returns the memory that the replicas take.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.by_id.len() * REPLICA_BYTES
    }

    /// Counts the replicas by whether they take requests.
    #[must_use]
    pub fn counts(&self, now_us: u64) -> PoolCounts {
        let mut counts = PoolCounts::default();
        for replica in self.arena.iter().filter_map(|slot| slot.replica.as_ref()) {
            if !replica.accepts_requests(now_us) {
                counts.not_accepting += 1;
            } else if replica.health.suspended_until_us > now_us {
                counts.suspended += 1;
            } else {
                counts.ready += 1;
            }
        }
        counts
    }
}
