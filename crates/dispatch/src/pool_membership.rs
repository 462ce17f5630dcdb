use std::collections::BTreeSet;
use std::collections::HashSet;
use std::mem;
use std::sync::Arc;

use crate::Pool;
use crate::Registration;
use crate::ReplacedReplica;
use crate::Replica;
use crate::ReplicaKey;
use crate::health::Health;
use crate::pool::ArenaSlot;
use crate::presumed_restart::PresumedRestart;
use crate::service_versions::VersionRole;

/// Adds and removes replicas as their registrations change.
impl Pool {
    /// Applies a registration; returns the key if the replica is new.
    ///
    /// A registration of an earlier incarnation (process under the same id), or an older one of
    /// the current incarnation, is ignored.
    ///
    /// A registration of a service that no configuration names adds no replica; it is to be applied
    /// again when one does ([`Self::set_named_services`]).
    pub fn register(&mut self, now_us: u64, registration: Registration) -> Option<ReplicaKey> {
        let service = registration.service.clone();
        let new = self.apply_registration(now_us, registration);
        if let Some(service) = self.services_by_name.get(&service) {
            self.update_version_roles(*service);
        }
        new
    }

    /// Sets the services that configurations in force or about to be name. Registrations of others
    /// add no replicas; replicas that are known already stay. Returns whether some of them were not
    /// named before.
    pub fn set_named_services(&mut self, names: BTreeSet<Arc<str>>) -> bool {
        let former = self.named_services.replace(names);
        let names = self.named_services.iter().flatten();
        former.is_some_and(|former| names.into_iter().any(|name| !former.contains(name)))
    }

    /// Returns whether a configuration names a service.
    #[must_use]
    pub fn names_service(&self, service: &Arc<str>) -> bool {
        let names = self.named_services.as_ref();
        names.is_none_or(|names| names.contains(service))
    }

    fn apply_registration(
        &mut self,
        now_us: u64,
        registration: Registration,
    ) -> Option<ReplicaKey> {
        let evacuated = self.evacuated.contains(&registration.data_centre);
        if let Some(key) = self.by_id.get(&registration.id).copied()
            && let Some(replica) = self.replica_mut(key)
        {
            let known = &replica.registration;
            let newer = (registration.started_unix_ms, registration.sequence)
                >= (known.started_unix_ms, known.sequence);
            if !newer {
                return None;
            }
            let same = registration.started_unix_ms == known.started_unix_ms
                && registration.address == known.address
                && registration.service == known.service;
            if same {
                let data_centre = self.data_centres.index(&registration.data_centre);
                let replica = self.replica_mut(key)?;
                replica.set_cold_for(now_us, registration.cold_for_ms);
                replica.registration = registration;
                replica.data_centre = data_centre;
                replica.removed_at_us = None;
                replica.evacuated = evacuated;
                return None;
            }
            self.remove(now_us, key);
        }
        // Names no replica to use, so that neither its address nor its names may have an effect.
        if !self.names_service(&registration.service) {
            return None;
        }
        self.drop_older_at_address(now_us, &registration);
        Some(self.insert(now_us, registration, evacuated))
    }

    /// Records that the registration of a replica was removed; the replica is dropped at `at_us`.
    pub fn unregister(&mut self, id: &str, at_us: u64) {
        let Some(key) = self.by_id.get(id).copied() else {
            return;
        };
        if let Some(replica) = self.replica_mut(key) {
            let previous_us = replica.removed_at_us.unwrap_or(u64::MAX);
            replica.removed_at_us = Some(at_us.min(previous_us));
        }
    }

    /// Applies a complete list of registrations; replicas that are not listed are dropped at
    /// `missing_at_us`. Returns the keys of the new replicas.
    pub fn register_all(
        &mut self,
        now_us: u64,
        registrations: Vec<Registration>,
        missing_at_us: u64,
    ) -> Vec<ReplicaKey> {
        let listed: HashSet<Arc<str>> = registrations.iter().map(|item| item.id.clone()).collect();
        let missing: Vec<Arc<str>> = self
            .by_id
            .keys()
            .filter(|id| !listed.contains(*id))
            .cloned()
            .collect();
        for id in missing {
            self.unregister(&id, missing_at_us);
        }
        let registrations = registrations.into_iter();
        let new = registrations
            .filter_map(|item| self.apply_registration(now_us, item))
            .collect();
        self.update_all_version_roles();
        new
    }

    /// Applies a complete list of registrations of a store that was restored from an older copy.
    ///
    /// Replicas that have left since the copy was made are listed again, and stay out of use.
    pub fn register_restored(
        &mut self,
        now_us: u64,
        registrations: Vec<Registration>,
        missing_at_us: u64,
    ) -> Vec<ReplicaKey> {
        let present = registrations.into_iter();
        let present = present
            .filter(|item| !self.precedes_removal(item))
            .collect();
        self.register_all(now_us, present, missing_at_us)
    }

    /// Whether a registration was written before that of its replica was removed.
    fn precedes_removal(&self, registration: &Registration) -> bool {
        let replica = self
            .key_of(&registration.id)
            .and_then(|key| self.replica(key));
        let Some(replica) = replica else {
            return self.departed.precedes_departure(registration);
        };
        let known = &replica.registration;
        replica.removed_at_us.is_some()
            && (registration.started_unix_ms, registration.sequence)
                <= (known.started_unix_ms, known.sequence)
    }

    /// Drops the replicas whose removal time has passed; returns their keys.
    pub fn sweep(&mut self, now_us: u64) -> Vec<ReplicaKey> {
        let expired: Vec<ReplicaKey> = self
            .by_id
            .values()
            .copied()
            .filter(|key| {
                self.replica(*key)
                    .and_then(|replica| replica.removed_at_us)
                    .is_some_and(|at_us| at_us <= now_us)
            })
            .collect();
        for key in &expired {
            self.remove(now_us, *key);
        }
        self.departed.sweep(now_us);
        self.sweep_evacuations(now_us);
        expired
    }

    /// Drops the older replicas with the address of a registration; an address belongs to the
    /// newest replica that registered it. A copy of a registration under another id is not newer.
    fn drop_older_at_address(&mut self, now_us: u64, registration: &Registration) {
        let older: Vec<ReplicaKey> = self
            .by_id
            .values()
            .copied()
            .filter(|key| {
                self.replica(*key).is_some_and(|replica| {
                    replica.registration.address == registration.address
                        && replica.registration.started_unix_ms < registration.started_unix_ms
                })
            })
            .collect();
        for key in older {
            if let Some(replica) = self.replica(key) {
                self.replaced.push(ReplacedReplica {
                    address: registration.address,
                    replica: replica.id().clone(),
                    service: replica.registration.service.clone(),
                    successor: registration.id.clone(),
                    successor_service: registration.service.clone(),
                });
            }
            self.remove(now_us, key);
        }
    }

    /// Returns the replicas that were replaced at their addresses since the last call.
    pub fn take_replaced(&mut self) -> Vec<ReplacedReplica> {
        mem::take(&mut self.replaced)
    }

    fn insert(&mut self, now_us: u64, registration: Registration, evacuated: bool) -> ReplicaKey {
        let service = self.service_key(&registration.service);
        let data_centre = self.data_centres.index(&registration.data_centre);
        let id = registration.id.clone();
        let started_unix_ms = registration.started_unix_ms;
        let notice_state = self.departed.take_notices(&id, started_unix_ms);
        let cold_allowance = self.cold_allowance();
        let number = self.services[service.0 as usize].replicas.len();
        let cold_for_ms = registration.cold_for_ms;
        let mut replica = Replica {
            cold_allowance,
            data_centre,
            health: Health::new(now_us),
            in_flight: 0,
            progress_us: now_us,
            limit_allowance: self.limit_allowance(number),
            registration,
            removed_at_us: None,
            service,
            notice_state,
            role: VersionRole::default(),
            evacuated,
            presumed_restart: PresumedRestart::default(),
            warm_at_us: 0,
        };
        replica.set_cold_for(now_us, cold_for_ms);
        let key = self.insert_into_arena(replica);
        self.by_id.insert(id, key);
        self.services[service.0 as usize].replicas.push(key);
        key
    }

    fn insert_into_arena(&mut self, replica: Replica) -> ReplicaKey {
        if let Some(index) = self.free_slots.pop() {
            let slot = &mut self.arena[index as usize];
            slot.replica = Some(replica);
            return ReplicaKey {
                generation: slot.generation,
                index,
            };
        }
        self.arena.push(ArenaSlot {
            generation: 0,
            replica: Some(replica),
        });
        ReplicaKey {
            generation: 0,
            index: self.arena.len() as u32 - 1,
        }
    }

    fn remove(&mut self, now_us: u64, key: ReplicaKey) {
        let slot = &mut self.arena[key.index as usize];
        if slot.generation != key.generation {
            return;
        }
        let Some(replica) = slot.replica.take() else {
            return;
        };
        slot.generation += 1;
        self.departed.keep(now_us, &replica);
        self.free_slots.push(key.index);
        self.by_id.remove(&replica.registration.id);
        let replicas = &mut self.services[replica.service.0 as usize].replicas;
        replicas.retain(|other| *other != key);
    }
}
