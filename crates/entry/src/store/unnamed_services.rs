//! Keeps what the store holds of services that no configuration names out of the pool, and finds it
//! again when a configuration names them.
//!
//! Any writer of the store may leave such entries. They name no replica to use, but a later
//! configuration may name their service, and its route must then be served at once.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use wigeonhall_adapter::Collection;
use wigeonhall_adapter::StoredObject;
use wigeonhall_adapter::decode_registration;
use wigeonhall_dispatch::Registration;
use wigeonhall_dispatch::ReplicaKey;

use crate::store::collection_view::CollectionView;

/// Registrations of services that no configuration names, by the ids of the replicas.
pub(crate) type UnnamedRegistrations = BTreeMap<Arc<str>, UnnamedRegistration>;

/// A registration of a service that no configuration names; its content is in the copy of the
/// collection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnnamedRegistration {
    /// Time at which this node received it, from which its cold start counts.
    received_us: u64,
    revision: u64,
}

impl CollectionView {
    /// Registers a replica, or keeps its registration until a configuration names its service.
    pub(super) fn register(
        &self,
        now_us: u64,
        object: &StoredObject,
        registration: Registration,
    ) -> Option<ReplicaKey> {
        let service = registration.service.clone();
        let mut pool = self.shared.pool.borrow_mut();
        let new = pool.register(now_us, registration);
        let mut unnamed = self.unnamed.borrow_mut();
        if pool.names_service(&service) || pool.key_of(&object.name).is_some() {
            unnamed.remove(&object.name);
        } else {
            let entry = UnnamedRegistration {
                received_us: now_us,
                revision: object.revision,
            };
            unnamed.insert(object.name.clone(), entry);
        }
        new
    }

    /// Registers the replicas of a complete list; keeps the registrations of services that no
    /// configuration names.
    pub(super) fn register_listed(
        &self,
        now_us: u64,
        objects: &[StoredObject],
        missing_at_us: u64,
        restored: bool,
    ) -> Vec<ReplicaKey> {
        let registrations = objects.iter().filter_map(|item| self.registration(item));
        let registrations: Vec<Registration> = registrations.collect();
        let mut pool = self.shared.pool.borrow_mut();
        let unnamed = registrations.iter();
        let unnamed: BTreeSet<Arc<str>> = unnamed
            .filter(|item| !pool.names_service(&item.service))
            .map(|item| item.id.clone())
            .collect();
        let new = if restored {
            pool.register_restored(now_us, registrations, missing_at_us)
        } else {
            pool.register_all(now_us, registrations, missing_at_us)
        };
        let former = self.unnamed.take();
        let entries = objects
            .iter()
            .filter(|object| unnamed.contains(&object.name) && pool.key_of(&object.name).is_none());
        let entries = entries.map(|object| {
            let entry = UnnamedRegistration {
                received_us: now_us,
                revision: object.revision,
            };
            let known = former.get(&object.name).copied();
            let known = known.filter(|known| known.revision == object.revision);
            (object.name.clone(), known.unwrap_or(entry))
        });
        self.unnamed.replace(entries.collect());
        new
    }

    /// Applies what the copy holds of services that a configuration names newly.
    pub(super) fn apply_newly_named_services(&self) {
        if self.left_out.get() {
            self.left_out_due.set(true);
            self.left_out_requested.notify_one();
        }
        match self.collection {
            Collection::Configuration | Collection::Evacuations | Collection::Nodes => {}
            Collection::Replicas => self.register_newly_named(),
            Collection::Rollouts => self.apply_unknown_rollouts(),
        }
    }

    fn register_newly_named(&self) {
        let Some(revision) = self.revision.get() else {
            return;
        };
        let now_us = self.shared.clock.now_us();
        let unnamed = self.unnamed.borrow().clone();
        let objects = self.objects.borrow();
        let mut new = Vec::new();
        for (name, entry) in unnamed {
            let object = objects.get(&name);
            let Some(Ok(mut registration)) = object.map(decode_registration) else {
                continue;
            };
            let mut pool = self.shared.pool.borrow_mut();
            if !pool.names_service(&registration.service) {
                continue;
            }
            self.unnamed.borrow_mut().remove(&name);
            let age_ms = now_us.saturating_sub(entry.received_us) / 1_000;
            registration.cold_for_ms = registration.cold_for_ms.saturating_sub(age_ms);
            new.extend(pool.register(now_us, registration));
        }
        drop(objects);
        if !new.is_empty() {
            self.replicas_changed(&new, revision.number);
        }
    }
}
