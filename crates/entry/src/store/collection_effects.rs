//! Applies the objects of a collection to what the node decides by: routes, replicas and
//! evacuations.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;

use wigeonhall_adapter::Collection;
use wigeonhall_adapter::ObjectChange;
use wigeonhall_adapter::StoredObject;
use wigeonhall_adapter::decode_configuration;
use wigeonhall_adapter::decode_registration;
use wigeonhall_adapter::is_current_configuration;
use wigeonhall_adapter::tenant_value;
use wigeonhall_dispatch::Configuration;
use wigeonhall_dispatch::Registration;
use wigeonhall_dispatch::ReplicaKey;
use wigeonhall_dispatch::RouteTable;

use crate::process::event::Event;
use crate::replicas::preconnect;
use crate::store::collection_view::CollectionView;
use crate::store::pending_routes::PendingRoutes;
use crate::store::route_switch;

/// Number of evacuated data centres that a log line names; another writer may leave any number.
const LOGGED_EVACUATIONS_MAX: usize = 100;

impl CollectionView {
    /// Applies a list; `restored` if it is the first one after the store was restored from a copy.
    pub(super) fn apply_listed_objects(
        &self,
        objects: &[StoredObject],
        revision: u64,
        restored: bool,
    ) {
        match self.collection {
            Collection::Configuration => {
                for object in objects {
                    self.apply_configuration(object);
                }
            }
            Collection::Evacuations => {
                let names = objects.iter().map(|object| object.name.clone());
                self.evacuated.replace(names.collect());
                self.apply_evacuations(revision, restored);
            }
            Collection::Nodes => {}
            Collection::Rollouts => self.apply_listed_rollouts(objects, restored),
            Collection::Replicas => {
                let now_us = self.shared.clock.now_us();
                let missing_at_us = self.removal_at_us(now_us);
                self.log_removals(now_us, missing_at_us, self.count_missing(objects));
                let new = self.register_listed(now_us, objects, missing_at_us, restored);
                self.replicas_changed(&new, revision);
            }
        }
    }

    pub(super) fn apply_object_changes(&self, changes: &[ObjectChange], revision: u64) {
        match self.collection {
            Collection::Configuration => {
                for change in changes.iter().filter(|change| !change.deleted) {
                    self.apply_configuration(&change.object);
                }
            }
            Collection::Evacuations => {
                for change in changes {
                    let mut evacuated = self.evacuated.borrow_mut();
                    if change.deleted {
                        evacuated.remove(&change.object.name);
                    } else {
                        evacuated.insert(change.object.name.clone());
                    }
                }
                self.apply_evacuations(revision, false);
            }
            Collection::Nodes => {}
            Collection::Replicas => self.apply_replicas(changes, revision),
            Collection::Rollouts => self.apply_rollout_changes(changes),
        }
    }

    fn apply_replicas(&self, changes: &[ObjectChange], revision: u64) {
        let now_us = self.shared.clock.now_us();
        let removed_at_us = self.removal_at_us(now_us);
        let deleted = changes.iter().filter(|change| change.deleted);
        let removals = self.count_replicas(deleted.map(|change| &change.object.name));
        self.log_removals(now_us, removed_at_us, removals);
        let mut new = Vec::new();
        for change in changes {
            if change.deleted {
                self.malformed.forget(&change.object.name);
                self.unnamed.borrow_mut().remove(&change.object.name);
                let mut pool = self.shared.pool.borrow_mut();
                pool.unregister(&change.object.name, removed_at_us);
            } else if let Some(registration) = self.registration(&change.object) {
                new.extend(self.register(now_us, &change.object, registration));
            }
        }
        self.replicas_changed(&new, revision);
    }

    /// Returns the time until which replicas are still used whose registrations this node finds
    /// removed.
    fn removal_at_us(&self, now_us: u64) -> u64 {
        let age_us = self.change_age_us(now_us);
        let drain_us = self.shared.settings.drain_ms * 1_000;
        let health = self.shared.feed.store_health.borrow();
        health.removal_at_us(now_us, age_us, drain_us)
    }

    /// Returns the number of replicas whose registrations a list lacks.
    fn count_missing(&self, listed: &[StoredObject]) -> usize {
        let listed: BTreeSet<&Arc<str>> = listed.iter().map(|object| &object.name).collect();
        let known = self.objects.borrow();
        self.count_replicas(known.names().filter(|name| !listed.contains(name)))
    }

    /// Returns how many of the names are those of replicas.
    fn count_replicas<'a>(&self, names: impl Iterator<Item = &'a Arc<str>>) -> usize {
        let pool = self.shared.pool.borrow();
        names.filter(|name| pool.key_of(name).is_some()).count()
    }

    fn log_removals(&self, now_us: u64, removed_at_us: u64, removals: usize) {
        if removals > 0 {
            self.shared.log(&Event::Removals {
                age_ms: self.change_age_us(now_us) / 1_000,
                delay_ms: removed_at_us.saturating_sub(now_us) / 1_000,
                removals,
            });
        }
    }

    fn log_replaced(&self) {
        let replaced = self.shared.pool.borrow_mut().take_replaced();
        for item in &replaced {
            self.shared.log(&Event::ReplicaReplaced {
                address: item.address,
                replica: &item.replica,
                service: &item.service,
                successor: &item.successor,
                successor_service: &item.successor_service,
            });
        }
    }

    pub(super) fn registration(&self, object: &StoredObject) -> Option<Registration> {
        match decode_registration(object) {
            Ok(registration) => {
                self.malformed.forget(&object.name);
                Some(registration)
            }
            Err(error) => {
                let reason = error.to_string();
                self.malformed.report(&self.shared, &object.name, &reason);
                None
            }
        }
    }

    fn apply_configuration(&self, object: &StoredObject) {
        if !is_current_configuration(object) {
            return;
        }
        let mut configuration = match decode_configuration(object) {
            Ok(configuration) => configuration,
            Err(error) => {
                let reason = error.to_string();
                return self.malformed.report(&self.shared, &object.name, &reason);
            }
        };
        self.malformed.forget(&object.name);
        let shared = &self.shared;
        if shared.newest_version() >= Some(configuration.version) {
            return shared.log(&Event::Configuration {
                age_ms: self.change_age_us(shared.clock.now_us()) / 1_000,
                lacking: 0,
                outcome: "older",
                routes: configuration.routes.len(),
                version: configuration.version,
            });
        }
        self.drop_unnamed_tenants(object, &mut configuration);
        let mut pool = shared.pool.borrow_mut();
        for service in &configuration.services {
            pool.apply_service_spec(service);
        }
        let table = RouteTable::new(&configuration, &mut pool);
        let mut names = table.service_names.clone();
        if let Some(in_force) = &*shared.table.borrow() {
            names.extend(in_force.service_names.iter().cloned());
        }
        let named_newly = pool.set_named_services(names);
        drop(pool);
        if named_newly {
            self.service_views
                .iter()
                .for_each(|view| view.apply_newly_named_services());
        }
        let now_us = shared.clock.now_us();
        let pending = PendingRoutes {
            table: Rc::new(table),
            written_us: now_us.saturating_sub(self.change_age_us(now_us)),
        };
        route_switch::set_pending(shared, &pending);
    }

    /// Drops the tenants whose names cannot be sent to replicas; their keys are unknown.
    fn drop_unnamed_tenants(&self, object: &StoredObject, configuration: &mut Configuration) {
        let Some(tenants) = &mut configuration.tenants else {
            return;
        };
        let mut position = 0;
        tenants.retain(|tenant| {
            position += 1;
            let has_value = tenant_value(&tenant.name).is_some();
            if !has_value {
                let reason = format!("tenant {position}: its name is not a header value");
                self.malformed.report(&self.shared, &object.name, &reason);
            }
            has_value
        });
    }

    fn apply_evacuations(&self, revision: u64, restored: bool) {
        let evacuated = self.evacuated.borrow();
        self.shared.log(&Event::Evacuation {
            out: evacuated
                .iter()
                .take(LOGGED_EVACUATIONS_MAX)
                .map(|name| &**name)
                .collect(),
            revision,
        });
        let mut pool = self.shared.pool.borrow_mut();
        if restored {
            let now_us = self.shared.clock.now_us();
            pool.restore_evacuated_data_centres(now_us, evacuated.clone());
        } else {
            pool.set_evacuated_data_centres(evacuated.clone());
        }
    }

    pub(super) fn replicas_changed(&self, new: &[ReplicaKey], revision: u64) {
        self.log_replaced();
        let removed = self.shared.sweep();
        let now_us = self.shared.clock.now_us();
        let counts = self.shared.pool.borrow().counts(now_us);
        self.shared.log(&Event::Replicas {
            gone: removed.len(),
            new: new.len(),
            ready: counts.ready,
            revision,
            suspended: counts.suspended,
            unnamed: self.unnamed.borrow().len(),
        });
        preconnect::to_replicas(&self.shared, new);
        route_switch::activate_pending(&self.shared);
    }
}
