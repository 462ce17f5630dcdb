use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use crate::Availability;
use crate::ExtraAllowance;
use crate::NotRunCause;
use crate::Notice;
use crate::Replica;
use crate::ReplicaKey;
use crate::Reply;
use crate::ServiceKey;
use crate::ServiceSpec;
use crate::former_notices::FormerNotices;
use crate::service::Service;

/// Cost factor of a replica in another data centre; bytes between them are paid for.
const OTHER_DATA_CENTRE: f64 = 1.3;

/// Nodes that share the rate of a cold replica before their number is known.
const NODES_UNKNOWN: usize = 16;

/// Part of a cold replica's stated rate that the nodes use together.
const COLD_RATE_SHARE: f64 = 0.8;

/// Shortest time after which a caller may come back.
const RETRY_AFTER_MIN_MS: u64 = 50;

/// Longest time after which a caller may come back.
const RETRY_AFTER_MAX_MS: u64 = 1_000;

/// Replicas and services of a node, and the choice among them.
#[derive(Debug)]
pub struct Pool {
    pub(crate) arena: Vec<Slot>,
    pub(crate) by_id: HashMap<Arc<str>, ReplicaKey>,
    pub(crate) data_centre: Arc<str>,
    /// Extra requests that operators allow for each service.
    extra_allowance: ExtraAllowance,
    pub(crate) former_notices: FormerNotices,
    pub(crate) free: Vec<u32>,
    /// Nodes of the whole tier.
    nodes: usize,
    pub(crate) rng: fastrand::Rng,
    pub(crate) services: Vec<Service>,
    pub(crate) services_by_name: HashMap<Arc<str>, ServiceKey>,
    pub(crate) taken_out: BTreeSet<Arc<str>>,
}

/// Why a request is sent once more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExtraReason {
    /// A send has no answer yet, and may still get one.
    Hedge,
    /// A send came to nothing.
    Retry,
}

/// A place of the arena.
#[derive(Debug)]
pub(crate) struct Slot {
    pub(crate) generation: u32,
    pub(crate) replica: Option<Replica>,
}

/// Counts of replicas, for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PoolCounts {
    /// Replicas that are about to leave or whose entry has gone.
    pub leaving: usize,
    /// Replicas that take requests.
    pub ready: usize,
    /// Replicas that are suspended after failures.
    pub suspended: usize,
}

impl Pool {
    /// An empty pool of a node in `data_centre`; `seed` breaks ties.
    #[must_use]
    pub fn new(data_centre: Arc<str>, seed: u64) -> Self {
        Self {
            arena: Vec::new(),
            by_id: HashMap::new(),
            data_centre,
            extra_allowance: ExtraAllowance::default(),
            former_notices: FormerNotices::default(),
            free: Vec::new(),
            nodes: NODES_UNKNOWN,
            rng: fastrand::Rng::with_seed(seed),
            services: Vec::new(),
            services_by_name: HashMap::new(),
            taken_out: BTreeSet::new(),
        }
    }

    /// Sets the number of nodes that share the rates of cold replicas.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes.max(1);
    }

    /// Sets the extra requests that operators allow; it counts for services that are not
    /// known yet.
    pub const fn set_extra_allowance(&mut self, allowance: ExtraAllowance) {
        self.extra_allowance = allowance;
    }

    /// Sets how many nodes send to a service; they share what its replicas and its operators
    /// allow.
    pub fn set_senders(&mut self, service: ServiceKey, senders: usize) {
        let entry = &mut self.services[service.0 as usize];
        if entry.senders != Some(senders) {
            entry.senders = Some(senders);
            entry.budget.set_senders(self.extra_allowance, senders);
        }
    }

    /// The key of a service; a new one is made for an unknown name.
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

    /// Takes in what the operators say of a service.
    pub fn apply_service_spec(&mut self, spec: &ServiceSpec) {
        let key = self.service_key(&spec.name);
        self.services[key.0 as usize].cold_rate_per_s = spec.cold_rate_per_s;
    }

    /// Name of a service.
    #[must_use]
    pub fn service_name(&self, key: ServiceKey) -> &Arc<str> {
        &self.services[key.0 as usize].name
    }

    /// Replicas of a service.
    #[must_use]
    pub fn replicas_of(&self, key: ServiceKey) -> &[ReplicaKey] {
        &self.services[key.0 as usize].replicas
    }

    /// The replica, if it is still registered.
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

    /// Chooses the replica for the next send, none of `tried`.
    pub fn choose(
        &mut self,
        now_us: u64,
        service: ServiceKey,
        tried: &[ReplicaKey],
    ) -> Option<ReplicaKey> {
        let ranked = self.rank(now_us, service, tried);
        ranked.first().map(|(_, key)| *key)
    }

    /// A suspended replica that no request tries at the moment, the one whose suspension
    /// ends first: a request that would go nowhere may as well try it.
    #[must_use]
    pub fn last_resort(&self, now_us: u64, service: ServiceKey) -> Option<ReplicaKey> {
        let entry = &self.services[service.0 as usize];
        let cold_pause_us = self.cold_pause_us(service);
        let suspended = |key: &ReplicaKey| {
            let replica = self.replica(*key)?;
            let idle = replica.in_flight == 0 && replica.health.failed_lately();
            let allowed = replica.is_open(now_us) && replica.may_start(now_us, cold_pause_us);
            (idle && allowed).then_some((replica.health.suspended_until_us, *key))
        };
        let candidates = entry.replicas.iter().filter_map(suspended);
        candidates
            .min_by_key(|(until_us, _)| *until_us)
            .map(|(_, key)| key)
    }

    /// Whether a service has a replica that takes requests, at the moment or before long.
    #[must_use]
    pub fn is_open(&self, now_us: u64, service: ServiceKey) -> bool {
        let replicas = self.replicas_of(service).iter();
        replicas
            .filter_map(|key| self.replica(*key))
            .any(|replica| !replica.is_leaving(now_us))
    }

    /// Whether a replica may be sent a request now.
    #[must_use]
    pub fn is_usable(&self, now_us: u64, key: ReplicaKey) -> bool {
        self.availability(now_us, key) == Some(Availability::Ready)
    }

    /// The key of a replica.
    #[must_use]
    pub fn key_of(&self, id: &str) -> Option<ReplicaKey> {
        self.by_id.get(id).copied()
    }

    /// Pause of this node between two requests to a cold replica of a service.
    pub(crate) fn cold_pause_us(&self, service: ServiceKey) -> u64 {
        let entry = &self.services[service.0 as usize];
        cold_pause_us(entry.cold_rate_per_s, entry.senders.unwrap_or(self.nodes))
    }

    /// Usable replicas of a service with their expected costs, the least first.
    fn rank(
        &mut self,
        now_us: u64,
        service: ServiceKey,
        tried: &[ReplicaKey],
    ) -> Vec<(f64, ReplicaKey)> {
        let cold_pause_us = self.cold_pause_us(service);
        let rng = &mut self.rng;
        let entry = &self.services[service.0 as usize];
        let mut ranked: Vec<(f64, ReplicaKey)> = Vec::with_capacity(entry.replicas.len());
        for key in &entry.replicas {
            let Some(replica) = self.arena[key.index as usize].replica.as_ref() else {
                continue;
            };
            let availability = replica.availability(now_us, cold_pause_us);
            if tried.contains(key) || availability != Availability::Ready {
                continue;
            }
            let cost = cost(replica, now_us, &self.data_centre) * (1.0 + rng.f64() * 0.05);
            ranked.push((cost, *key));
        }
        ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
        ranked
    }

    /// Replicas among `new` that this node would choose first for the services `sent_to`;
    /// connections to them are worth opening ahead.
    ///
    /// A connection takes a replica's time, and those of all nodes together would exceed
    /// what a replica accepts.
    pub fn preconnect_candidates(
        &mut self,
        now_us: u64,
        new: &[ReplicaKey],
        sent_to: &BTreeSet<ServiceKey>,
    ) -> Vec<ReplicaKey> {
        let services: BTreeSet<ServiceKey> = new
            .iter()
            .filter_map(|key| self.replica(*key))
            .map(|replica| replica.service)
            .collect();
        services
            .intersection(sent_to)
            .copied()
            .filter_map(|service| self.choose(now_us, service, &[]))
            .filter(|key| new.contains(key))
            .collect()
    }

    /// Pays for an extra request to a service, if its budget allows it.
    pub fn take_extra(&mut self, now_us: u64, service: ServiceKey, reason: ExtraReason) -> bool {
        let budget = &mut self.services[service.0 as usize].budget;
        budget.take(now_us, reason)
    }

    /// Counts a request for a service.
    pub fn earn(&mut self, service: ServiceKey) {
        self.services[service.0 as usize].budget.earn();
    }

    /// Records that a request goes to a replica.
    pub fn started(&mut self, now_us: u64, key: ReplicaKey) {
        let Some(replica) = self.replica_mut(key) else {
            return;
        };
        replica.in_flight += 1;
        if now_us < replica.warm_at_us {
            replica.cold_start_us = Some(now_us);
        }
    }

    /// Records what came of a request; `ratio` is its latency to the usual one.
    pub fn finished(&mut self, now_us: u64, key: ReplicaKey, reply: Reply, ratio: f64) {
        let Some(replica) = self.replica_mut(key) else {
            return;
        };
        replica.in_flight = replica.in_flight.saturating_sub(1);
        replica.health.observe(now_us, reply, ratio);
        if reply == Reply::NotRun(NotRunCause::OtherInstance) {
            // Another replica has the address; this one is dropped at the next sweep.
            replica.removed_at_us = Some(now_us);
        }
    }

    /// Takes in what a replica asks of this node; returns whether it is news.
    pub fn apply_notice(&mut self, now_us: u64, key: ReplicaKey, notice: Notice) -> bool {
        self.replica_mut(key)
            .is_some_and(|replica| replica.standing.apply_notice(now_us, notice))
    }

    /// Whether a request that was decided on may still be written to the replica.
    #[must_use]
    pub fn may_still_send(&self, now_us: u64, key: ReplicaKey) -> bool {
        self.replica(key)
            .is_some_and(|replica| replica.is_open(now_us))
    }

    /// Records that a request was withdrawn before its answer was in.
    pub fn abandoned(&mut self, key: ReplicaKey) {
        if let Some(replica) = self.replica_mut(key) {
            replica.in_flight = replica.in_flight.saturating_sub(1);
        }
    }

    /// When a caller that finds no replica of `service` may come back, in milliseconds.
    #[must_use]
    pub fn retry_after_ms(&self, now_us: u64, service: ServiceKey) -> u64 {
        let back_us = self
            .replicas_of(service)
            .iter()
            .filter_map(|key| self.replica(*key))
            .filter(|replica| !replica.is_leaving(now_us))
            .map(Replica::back_at_us)
            .min()
            .unwrap_or(u64::MAX);
        let wait_ms = back_us.saturating_sub(now_us) / 1_000;
        wait_ms.clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS)
    }

    /// Counts of replicas by what may be sent to them.
    #[must_use]
    pub fn counts(&self, now_us: u64) -> PoolCounts {
        let mut counts = PoolCounts::default();
        for replica in self.arena.iter().filter_map(|slot| slot.replica.as_ref()) {
            if !replica.is_open(now_us) {
                counts.leaving += 1;
            } else if replica.health.suspended_until_us > now_us {
                counts.suspended += 1;
            } else {
                counts.ready += 1;
            }
        }
        counts
    }
}

/// Pause of one node between two requests to a cold replica; 0 without a stated rate.
fn cold_pause_us(cold_rate_per_s: f64, nodes: usize) -> u64 {
    if cold_rate_per_s <= 0.0 {
        return 0;
    }
    (nodes as f64 / (cold_rate_per_s * COLD_RATE_SHARE) * 1e6) as u64
}

fn cost(replica: &Replica, now_us: u64, data_centre: &str) -> f64 {
    /// Cost factor of a replica that is still slow after its start.
    const COLD: f64 = 2.0;
    let queue = f64::from(replica.in_flight) / f64::from(replica.registration.slots.max(1));
    let distance = if *replica.registration.data_centre == *data_centre {
        1.0
    } else {
        OTHER_DATA_CENTRE
    };
    let cold = if now_us < replica.warm_at_us {
        COLD
    } else {
        1.0
    };
    replica.health.cost(now_us) * (1.0 + queue) * distance * cold
}
