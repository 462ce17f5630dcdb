use std::collections::BTreeSet;
use std::collections::HashSet;
use std::sync::Arc;

use crate::Pool;
use crate::Registration;
use crate::Replica;
use crate::ReplicaKey;
use crate::health::Health;
use crate::pool::Slot;

impl Pool {
    /// Takes in a registration; returns the key of a replica that is new.
    ///
    /// A report of an earlier lifetime, or an earlier one of the same, is ignored.
    pub fn register(&mut self, now_us: u64, registration: Registration) -> Option<ReplicaKey> {
        let taken_out = self.taken_out.contains(&registration.data_centre);
        let cold_us = registration.cold_for_ms.saturating_mul(1_000);
        let warm_at_us = now_us.saturating_add(cold_us);
        if let Some(key) = self.by_id.get(&registration.id).copied()
            && let Some(replica) = self.replica_mut(key)
        {
            let known = &replica.registration;
            let newer = (registration.born_unix_ms, registration.sequence)
                >= (known.born_unix_ms, known.sequence);
            if !newer {
                return None;
            }
            let same = registration.born_unix_ms == known.born_unix_ms
                && registration.address == known.address
                && registration.service == known.service;
            if same {
                replica.registration = registration;
                replica.removed_at_us = None;
                replica.taken_out = taken_out;
                replica.warm_at_us = warm_at_us;
                return None;
            }
            self.remove(now_us, key);
        }
        self.drop_address(now_us, &registration);
        Some(self.insert(now_us, registration, warm_at_us, taken_out))
    }

    /// Records that the entry of a replica has gone; it is dropped at `at_us`.
    pub fn unregister(&mut self, id: &str, at_us: u64) {
        let Some(key) = self.by_id.get(id).copied() else {
            return;
        };
        if let Some(replica) = self.replica_mut(key) {
            let earlier_us = replica.removed_at_us.unwrap_or(u64::MAX);
            replica.removed_at_us = Some(at_us.min(earlier_us));
        }
    }

    /// Takes in a whole list of registrations; replicas without one are dropped at
    /// `missing_at_us`. Returns the keys of the new ones.
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
        registrations
            .into_iter()
            .filter_map(|item| self.register(now_us, item))
            .collect()
    }

    /// Sets the data centres that operators took out.
    pub fn set_evacuated_data_centres(&mut self, data_centres: BTreeSet<Arc<str>>) {
        for replica in self
            .arena
            .iter_mut()
            .filter_map(|slot| slot.replica.as_mut())
        {
            replica.taken_out = data_centres.contains(&replica.registration.data_centre);
        }
        self.taken_out = data_centres;
    }

    /// Drops replicas whose time has come; returns their keys.
    pub fn sweep(&mut self, now_us: u64) -> Vec<ReplicaKey> {
        let gone: Vec<ReplicaKey> = self
            .by_id
            .values()
            .copied()
            .filter(|key| {
                self.replica(*key)
                    .and_then(|replica| replica.removed_at_us)
                    .is_some_and(|at_us| at_us <= now_us)
            })
            .collect();
        for key in &gone {
            self.remove(now_us, *key);
        }
        self.former_notices.sweep(now_us);
        gone
    }

    /// An address belongs to one replica; the newest registration has it.
    fn drop_address(&mut self, now_us: u64, registration: &Registration) {
        let former: Vec<ReplicaKey> = self
            .by_id
            .values()
            .copied()
            .filter(|key| {
                self.replica(*key).is_some_and(|replica| {
                    replica.registration.address == registration.address
                        && replica.registration.born_unix_ms <= registration.born_unix_ms
                })
            })
            .collect();
        for key in former {
            self.remove(now_us, key);
        }
    }

    fn insert(
        &mut self,
        now_us: u64,
        registration: Registration,
        warm_at_us: u64,
        taken_out: bool,
    ) -> ReplicaKey {
        let service = self.service_key(&registration.service);
        let id = registration.id.clone();
        let standing = self.former_notices.take(&id, registration.born_unix_ms);
        // The nodes take their first turns one after the other, as the later ones.
        let pause_us = self.cold_pause_us(service) as f64;
        let cold = now_us < warm_at_us;
        let turn_us = now_us.saturating_sub((pause_us * self.rng.f64()) as u64);
        let replica = Replica {
            cold_start_us: cold.then_some(turn_us),
            health: Health::new(now_us),
            in_flight: 0,
            registration,
            removed_at_us: None,
            service,
            standing,
            taken_out,
            warm_at_us,
        };
        let key = self.place(replica);
        self.by_id.insert(id, key);
        self.services[service.0 as usize].replicas.push(key);
        key
    }

    fn place(&mut self, replica: Replica) -> ReplicaKey {
        if let Some(index) = self.free.pop() {
            let slot = &mut self.arena[index as usize];
            slot.replica = Some(replica);
            return ReplicaKey {
                generation: slot.generation,
                index,
            };
        }
        self.arena.push(Slot {
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
        self.former_notices.keep(now_us, &replica);
        self.free.push(key.index);
        self.by_id.remove(&replica.registration.id);
        let replicas = &mut self.services[replica.service.0 as usize].replicas;
        replicas.retain(|other| *other != key);
    }
}
