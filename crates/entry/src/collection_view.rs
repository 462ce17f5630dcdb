use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;

use wigeonhall_adapter::Collection;
use wigeonhall_adapter::DecodeError;
use wigeonhall_adapter::ObjectChange;
use wigeonhall_adapter::StoredObject;
use wigeonhall_adapter::decode_changes;
use wigeonhall_adapter::decode_configuration;
use wigeonhall_adapter::decode_registration;
use wigeonhall_adapter::encode_changes;
use wigeonhall_adapter::is_current_configuration;
use wigeonhall_dispatch::BatchFit;
use wigeonhall_dispatch::ChangeBatch;
use wigeonhall_dispatch::ChangeLog;
use wigeonhall_dispatch::Registration;
use wigeonhall_dispatch::ReplicaKey;
use wigeonhall_dispatch::RouteTable;

use crate::event::Event;
use crate::feed_protocol::FeedMessage;
use crate::node_state::NodeState;
use crate::open_ahead;
use crate::packing;
use crate::route_switch;
use crate::unpack_error::UnpackError;

/// What a node knows of one collection of the store, and up to which revision.
pub(crate) struct CollectionView {
    pub(crate) collection: Collection,
    evacuated: RefCell<BTreeSet<Arc<str>>>,
    /// Whether the next watch shall not wait for changes.
    pub(crate) hurried: Cell<bool>,
    /// Changes for nodes that follow this one.
    pub(crate) log: RefCell<ChangeLog>,
    /// Whether the whole collection has to be read, as the store forgot the changes after
    /// `revision`.
    pub(crate) list_due: Cell<bool>,
    /// Time of the first failed call of an outage.
    lost_at_us: Cell<Option<u64>>,
    /// The objects of the collection at `revision`, by name.
    objects: RefCell<BTreeMap<Arc<str>, StoredObject>>,
    /// Revision up to which all is known; `None` before a list.
    pub(crate) revision: Cell<Option<u64>>,
    pub(crate) shared: Rc<NodeState>,
    /// The newest message with the whole collection; it serves all who ask at its revision.
    snapshot: RefCell<Option<(u64, FeedMessage)>>,
}

impl CollectionView {
    pub(crate) fn new(shared: Rc<NodeState>, collection: Collection) -> Self {
        Self {
            collection,
            evacuated: RefCell::default(),
            hurried: Cell::new(false),
            list_due: Cell::new(false),
            log: RefCell::default(),
            lost_at_us: Cell::new(None),
            objects: RefCell::default(),
            revision: Cell::new(None),
            shared,
            snapshot: RefCell::new(None),
        }
    }

    pub(crate) const fn is_lost(&self) -> bool {
        self.lost_at_us.get().is_some()
    }

    /// For how long the collection could not be read; 0 while it can be.
    pub(crate) fn lost_us(&self) -> u64 {
        let now_us = self.shared.clock.now_us();
        self.lost_at_us.get().map_or(0, |at_us| now_us - at_us)
    }

    /// Takes in the whole collection as of a revision.
    ///
    /// Nodes that follow this one get the difference to what was known before, as changes.
    pub(crate) fn list(&self, objects: Vec<StoredObject>, revision: u64) {
        match self.revision.get() {
            Some(former) if former <= revision => {
                match self.difference(&objects, former, revision) {
                    Ok(batch) => {
                        self.shared.feed.publish(self.collection, &batch);
                        self.log.borrow_mut().push(batch);
                    }
                    Err(error) => {
                        log::error!("cannot encode changes: {error}");
                        self.log.borrow_mut().restart(revision);
                    }
                }
            }
            Some(_) | None => self.log.borrow_mut().restart(revision),
        }
        self.replace(&objects, revision);
        let by_name = objects
            .into_iter()
            .map(|object| (object.name.clone(), object));
        self.objects.replace(by_name.collect());
        self.revision.set(Some(revision));
        self.hurried.set(false);
        self.list_due.set(false);
    }

    /// Changes that lead from what was known at `former` to the listed objects.
    fn difference(
        &self,
        objects: &[StoredObject],
        former: u64,
        revision: u64,
    ) -> Result<ChangeBatch, DecodeError> {
        let changed: Vec<&StoredObject> = objects
            .iter()
            .filter(|object| object.revision > former)
            .collect();
        let names: BTreeSet<&Arc<str>> = objects.iter().map(|object| &object.name).collect();
        let known = self.objects.borrow();
        let gone = known.keys().filter(|name| !names.contains(name));
        let gone: Vec<Arc<str>> = gone.cloned().collect();
        Ok(ChangeBatch {
            body: packing::pack(&encode_changes(&changed, &gone, revision)?),
            from: former,
            to: revision,
        })
    }

    /// A message with the whole collection; `None` before a list.
    pub(crate) fn snapshot(&self) -> Option<FeedMessage> {
        let revision = self.revision.get()?;
        if let Some((of, message)) = &*self.snapshot.borrow()
            && *of == revision
        {
            return Some(message.clone());
        }
        let objects = self.objects.borrow();
        let all: Vec<&StoredObject> = objects.values().collect();
        let body = match encode_changes(&all, &[], revision) {
            Ok(body) => body,
            Err(error) => {
                log::error!("cannot encode a collection: {error}");
                return None;
            }
        };
        let message = FeedMessage::Snapshot {
            body: packing::pack(&body),
            collection: self.collection,
            revision,
        };
        self.snapshot.replace(Some((revision, message.clone())));
        Some(message)
    }

    /// Takes in the whole collection from another node, if it is newer than what is known.
    ///
    /// # Errors
    ///
    /// When the body holds no objects.
    pub(crate) fn take_snapshot(&self, body: &[u8], revision: u64) -> Result<(), UnpackError> {
        if self.revision.get() >= Some(revision) {
            return Ok(());
        }
        let changes = packing::unpack(body)?.changes;
        let objects = changes.into_iter().map(|change| change.object);
        self.list(objects.collect(), revision);
        Ok(())
    }

    /// Takes in changes, and hands them to the nodes that follow this one; returns how
    /// many there were.
    ///
    /// # Errors
    ///
    /// When the body holds no changes.
    pub(crate) fn take(&self, batch: &ChangeBatch) -> Result<usize, DecodeError> {
        let changes = changes_of(batch)?;
        let count = changes.len();
        self.apply_changes(changes, batch.to);
        let packed = ChangeBatch {
            body: packing::pack(&batch.body),
            from: batch.from,
            to: batch.to,
        };
        self.shared.feed.publish(self.collection, &packed);
        self.log.borrow_mut().push(packed);
        Ok(count)
    }

    /// Takes in changes that another node passed on, if they go on from what is known.
    ///
    /// # Errors
    ///
    /// When the body holds no changes.
    pub(crate) fn take_passed_on(&self, batch: &ChangeBatch) -> Result<BatchFit, UnpackError> {
        let fit = batch.fit(self.revision.get());
        if fit == BatchFit::Next {
            let changes = if batch.body.is_empty() {
                Vec::new()
            } else {
                packing::unpack(&batch.body)?.changes
            };
            self.apply_changes(changes, batch.to);
            self.log.borrow_mut().push(batch.clone());
        }
        Ok(fit)
    }

    fn apply_changes(&self, changes: Vec<ObjectChange>, revision: u64) {
        if !changes.is_empty() {
            self.apply(&changes, revision);
            self.keep(changes);
        }
        self.revision.set(Some(revision));
        self.hurried.set(false);
    }

    fn keep(&self, changes: Vec<ObjectChange>) {
        let mut objects = self.objects.borrow_mut();
        for change in changes {
            if change.deleted {
                objects.remove(&change.object.name);
            } else {
                objects.insert(change.object.name.clone(), change.object);
            }
        }
    }

    /// Records that the collection could not be read.
    pub(crate) fn lost(&self, reason: &str) {
        let shared = &self.shared;
        if self.collection == Collection::Replicas {
            shared.replicas_lost.set(true);
        }
        if self.lost_at_us.get().is_some() {
            return;
        }
        self.lost_at_us.set(Some(shared.clock.now_us()));
        shared.log(&Event::Dependency {
            name: self.collection.wire_name(),
            reason,
            state: "lost",
        });
    }

    /// Records that what is known is up to date; returns since when it was not.
    pub(crate) fn regained(&self) -> Option<u64> {
        let shared = &self.shared;
        let now_us = shared.clock.now_us();
        if self.collection == Collection::Replicas {
            shared.replicas_lost.set(false);
            shared.replicas_heard_us.set(Some(now_us));
        }
        let lost_at_us = self.lost_at_us.take()?;
        let reason = format!("away for {} ms", (now_us - lost_at_us) / 1_000);
        shared.log(&Event::Dependency {
            name: self.collection.wire_name(),
            reason: &reason,
            state: "back",
        });
        Some(lost_at_us)
    }

    fn replace(&self, objects: &[StoredObject], revision: u64) {
        match self.collection {
            Collection::Configuration => {
                for object in objects {
                    self.configure(object);
                }
            }
            Collection::Evacuations => {
                let names = objects.iter().map(|object| object.name.clone());
                self.evacuated.replace(names.collect());
                self.evacuate(revision);
            }
            Collection::Nodes => {}
            Collection::Replicas => {
                let registrations = objects.iter().filter_map(|item| self.registration(item));
                let registrations: Vec<Registration> = registrations.collect();
                let now_us = self.shared.clock.now_us();
                let missing_at_us = now_us + self.removal_delay_us(now_us);
                let mut pool = self.shared.pool.borrow_mut();
                let new = pool.register_all(now_us, registrations, missing_at_us);
                drop(pool);
                self.report(&new, revision);
            }
        }
    }

    fn apply(&self, changes: &[ObjectChange], revision: u64) {
        match self.collection {
            Collection::Configuration => {
                for change in changes.iter().filter(|change| !change.deleted) {
                    self.configure(&change.object);
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
                self.evacuate(revision);
            }
            Collection::Nodes => {}
            Collection::Replicas => self.apply_replicas(changes, revision),
        }
    }

    fn apply_replicas(&self, changes: &[ObjectChange], revision: u64) {
        let now_us = self.shared.clock.now_us();
        let mut new = Vec::new();
        for change in changes {
            if change.deleted {
                let at_us = now_us + self.removal_delay_us(now_us);
                let mut pool = self.shared.pool.borrow_mut();
                pool.unregister(&change.object.name, at_us);
            } else if let Some(registration) = self.registration(&change.object) {
                let mut pool = self.shared.pool.borrow_mut();
                new.extend(pool.register(now_us, registration));
            }
        }
        self.report(&new, revision);
    }

    fn removal_delay_us(&self, now_us: u64) -> u64 {
        self.shared
            .feed
            .store_health
            .borrow()
            .removal_delay_us(now_us)
    }

    fn registration(&self, object: &StoredObject) -> Option<Registration> {
        match decode_registration(object) {
            Ok(registration) => Some(registration),
            Err(error) => {
                self.malformed(object, error.to_string());
                None
            }
        }
    }

    fn malformed(&self, object: &StoredObject, reason: String) {
        let labels = [self.collection.wire_name()];
        let malformed = &self.shared.metrics.malformed_entries;
        malformed.with_label_values(&labels).inc();
        self.shared.log(&Event::Malformed {
            collection: self.collection.wire_name(),
            name: &object.name,
            reason,
        });
    }

    fn configure(&self, object: &StoredObject) {
        if !is_current_configuration(object) {
            return;
        }
        let configuration = match decode_configuration(object) {
            Ok(configuration) => configuration,
            Err(error) => return self.malformed(object, error.to_string()),
        };
        let shared = &self.shared;
        if shared.newest_version() >= Some(configuration.version) {
            return shared.log(&Event::Configuration {
                lacking: 0,
                outcome: "older",
                routes: configuration.routes.len(),
                version: configuration.version,
            });
        }
        let mut pool = shared.pool.borrow_mut();
        for service in &configuration.services {
            pool.apply_service_spec(service);
        }
        let table = RouteTable::new(&configuration, &mut pool);
        drop(pool);
        route_switch::offer(shared, table);
    }

    fn evacuate(&self, revision: u64) {
        let evacuated = self.evacuated.borrow();
        self.shared.log(&Event::Evacuation {
            out: evacuated.iter().map(|name| &**name).collect(),
            revision,
        });
        self.shared
            .pool
            .borrow_mut()
            .set_evacuated_data_centres(evacuated.clone());
    }

    fn report(&self, new: &[ReplicaKey], revision: u64) {
        let gone = self.shared.sweep();
        let now_us = self.shared.clock.now_us();
        let counts = self.shared.pool.borrow().counts(now_us);
        self.shared.log(&Event::Replicas {
            gone: gone.len(),
            new: new.len(),
            ready: counts.ready,
            revision,
            suspended: counts.suspended,
        });
        open_ahead::to_replicas(&self.shared, new);
        route_switch::review(&self.shared);
    }
}

/// The changes that the store sent; none for an empty body.
fn changes_of(batch: &ChangeBatch) -> Result<Vec<ObjectChange>, DecodeError> {
    if batch.body.is_empty() {
        return Ok(Vec::new());
    }
    Ok(decode_changes(&batch.body)?.changes)
}
