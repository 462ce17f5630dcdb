use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;

use tokio::sync::Notify;

use wigeonhall_adapter::Collection;
use wigeonhall_adapter::ObjectChange;
use wigeonhall_adapter::StoredObject;
use wigeonhall_dispatch::ChangeLog;
use wigeonhall_dispatch::MemoryUse;
use wigeonhall_dispatch::StoreRevision;
use wigeonhall_dispatch::watch_pause_ms;

use crate::peers::feed_protocol::FeedMessage;
use crate::process::event::Event;
use crate::process::held_memory::HeldMemory;
use crate::process::node_state::NodeState;
use crate::store::malformed_entries::MalformedEntries;
use crate::store::stored_objects::StoredObjects;
use crate::store::unnamed_services::UnnamedRegistrations;

/// Divisor of the rollback time that gives the time within which a change of a rollout must be in
/// force: a rollout that replaces another one has the same time to its deadline.
const ROLLOUT_BOUND_DIVISOR: u64 = 2;

/// A node's copy of one collection of the store, as of a revision.
pub(crate) struct CollectionView {
    pub(crate) collection: Collection,
    /// Names of the data centres that operators evacuated: their replicas get no requests.
    pub(super) evacuated: RefCell<BTreeSet<Arc<str>>>,
    /// Time up to which the copy is known to have all changes; `None` before the first list.
    current_us: Cell<Option<u64>>,
    /// Whether the next watch returns at once instead of waiting for changes.
    pub(crate) catch_up_due: Cell<bool>,
    /// Recent changes, for peers that follow this node.
    pub(crate) log: RefCell<ChangeLog>,
    /// Whether the whole collection must be listed, as the store no longer has the changes after
    /// `revision`.
    pub(crate) list_due: Cell<bool>,
    /// Copies with entries of services, which are applied once the configuration names these; empty
    /// except for the configuration's own copy.
    pub(super) service_views: Vec<Rc<CollectionView>>,
    /// Time of the first failed call of the current outage; `None` while calls succeed.
    unavailable_since_us: Cell<Option<u64>>,
    /// Reports entries that cannot be decoded.
    pub(super) malformed: MalformedEntries,
    /// Whether entries have been left out of which the node had no use.
    pub(super) left_out: Cell<bool>,
    /// Whether such entries must be read, as a configuration names services newly.
    pub(super) left_out_due: Cell<bool>,
    /// Notified when [`Self::left_out_due`] is set.
    pub(super) left_out_requested: Notify,
    /// Memory counted for the objects, the log and the cached snapshot.
    memory: RefCell<HeldMemory>,
    /// What nodes use of the objects of the collection at `revision`; those of which the node has
    /// no use yet only as far as they fit.
    pub(super) objects: RefCell<StoredObjects>,
    /// Revision of the copy; `None` before the first list.
    pub(crate) revision: Cell<Option<StoreRevision>>,
    pub(crate) shared: Rc<NodeState>,
    /// Registrations of services that no configuration names.
    pub(super) unnamed: RefCell<UnnamedRegistrations>,
    /// Cached message with the whole collection and its revision, reused for all followers.
    pub(super) snapshot: RefCell<Option<(StoreRevision, FeedMessage)>>,
}

impl CollectionView {
    pub(crate) fn new(
        shared: Rc<NodeState>,
        collection: Collection,
        service_views: Vec<Rc<Self>>,
    ) -> Self {
        Self {
            collection,
            evacuated: RefCell::default(),
            catch_up_due: Cell::new(false),
            current_us: Cell::new(None),
            list_due: Cell::new(false),
            log: RefCell::default(),
            left_out: Cell::new(false),
            left_out_due: Cell::new(false),
            left_out_requested: Notify::new(),
            malformed: MalformedEntries::new(collection),
            memory: RefCell::new(HeldMemory::empty(&shared, MemoryUse::Store)),
            service_views,
            unavailable_since_us: Cell::new(None),
            unnamed: RefCell::default(),
            objects: RefCell::default(),
            revision: Cell::new(None),
            shared,
            snapshot: RefCell::new(None),
        }
    }

    /// Returns the time within which a change of the collection must be in force.
    pub(crate) fn bound_ms(&self) -> u64 {
        let settings = &self.shared.settings;
        match self.collection {
            Collection::Configuration => settings.config_apply_ms,
            Collection::Evacuations => settings.evacuation_ms,
            Collection::Nodes | Collection::Replicas => settings.drain_ms,
            Collection::Rollouts => settings.rollout_bounds.map_or(settings.drain_ms, |bounds| {
                bounds.rollback_ms / ROLLOUT_BOUND_DIVISOR
            }),
        }
    }

    /// Records that the copy has all changes made until `at_us`.
    pub(crate) fn confirm(&self, at_us: u64) {
        self.current_us.set(self.current_us.get().max(Some(at_us)));
    }

    /// Records that a peer, which read the store at `read_us`, has sent all changes that it knows.
    /// Those made during a pause between its watches may be missing.
    pub(crate) fn confirm_by_peer(&self, read_us: u64) {
        let pause_us = watch_pause_ms(1, self.bound_ms()) * 1_000;
        self.confirm(read_us.saturating_sub(pause_us));
    }

    /// Returns the longest time for which a change that this node receives now may have been in
    /// the store.
    pub(super) fn change_age_us(&self, now_us: u64) -> u64 {
        let current_us = self.current_us.get();
        current_us.map_or(0, |at_us| now_us.saturating_sub(at_us))
    }

    pub(crate) const fn is_unavailable(&self) -> bool {
        self.unavailable_since_us.get().is_some()
    }

    /// Returns how long the collection has been unavailable; 0 while it is available.
    pub(crate) fn unavailable_for_us(&self) -> u64 {
        let now_us = self.shared.clock.now_us();
        self.unavailable_since_us
            .get()
            .map_or(0, |at_us| now_us - at_us)
    }

    /// Replaces the copy with the whole collection as of a revision.
    ///
    /// Followers receive the difference to the previous copy as changes, or the whole collection if
    /// the store was restored from a copy since.
    pub(crate) fn apply_list(&self, objects: Vec<StoredObject>, revision: StoreRevision) {
        let former = self.revision.get();
        let restored = former.is_some_and(|former| former.era < revision.era);
        if self.revision.get() > Some(revision) {
            self.log_older(revision, "replaced");
        }
        match former {
            Some(former) if former <= revision && !restored => {
                match self.difference(&objects, former, revision) {
                    Ok(batch) => {
                        self.shared.feed.publish(self.collection, &batch);
                        self.log.borrow_mut().push(batch);
                    }
                    Err(error) => {
                        log::error!("cannot encode changes: {error}");
                        self.log.borrow_mut().reset(revision);
                    }
                }
            }
            Some(_) | None => self.log.borrow_mut().reset(revision),
        }
        self.apply_listed_objects(&objects, revision.number, restored);
        self.objects.replace(objects.into_iter().collect());
        self.revision.set(Some(revision));
        self.catch_up_due.set(false);
        self.list_due.set(false);
        self.left_out_due.set(false);
        self.snapshot.take();
        if restored && self.shared.feed.has_followers() {
            let snapshot = self.snapshot().into_iter();
            snapshot.for_each(|message| self.shared.feed.publish_message(message));
        }
        self.count_memory();
    }

    /// Whether the collection must be listed before it can be watched.
    pub(crate) fn must_list(&self) -> bool {
        let era = self.shared.feed.era();
        let current_era = |revision: StoreRevision| revision.era >= era;
        self.list_due.get() || !self.revision.get().is_some_and(current_era)
    }

    /// Logs what is done with a list or a message that is not newer than the copy.
    pub(super) fn log_older(&self, revision: StoreRevision, outcome: &str) {
        self.shared.log(&Event::Collection {
            copy: self.revision.get().map(|copy| copy.to_string()),
            name: self.collection.wire_name(),
            outcome,
            revision: revision.to_string(),
        });
    }

    pub(super) fn apply_changes(&self, changes: Vec<ObjectChange>, revision: StoreRevision) {
        if !changes.is_empty() {
            self.apply_object_changes(&changes, revision.number);
            self.objects.borrow_mut().apply(changes);
        }
        self.revision.set(Some(revision));
        self.catch_up_due.set(false);
        // Followers that connect later need a newer one.
        self.snapshot.take();
    }

    /// Counts what the copy takes in the memory budget.
    pub(super) fn count_memory(&self) {
        let snapshot_bytes = match &*self.snapshot.borrow() {
            Some((_, FeedMessage::Snapshot { body, .. })) => body.len(),
            Some(_) | None => 0,
        };
        let log_bytes = self.log.borrow().bytes();
        let replica_bytes = match self.collection {
            Collection::Replicas => self.shared.pool.borrow().held_bytes(),
            _ => 0,
        };
        let bytes = self.objects.borrow().held_bytes() + log_bytes + snapshot_bytes + replica_bytes;
        self.memory.borrow_mut().resize(bytes);
    }

    /// Records that the collection could not be read, and logs the start of an outage.
    pub(crate) fn mark_unavailable(&self, reason: &str) {
        let shared = &self.shared;
        if self.collection == Collection::Replicas {
            shared.replicas_unavailable.set(true);
        }
        if self.unavailable_since_us.get().is_some() {
            return;
        }
        self.unavailable_since_us.set(Some(shared.clock.now_us()));
        shared.log(&Event::Dependency {
            name: self.collection.wire_name(),
            reason,
            state: "lost",
        });
    }

    /// Records that the copy is current; returns the start of the outage that this ends, if any.
    pub(crate) fn mark_available(&self) -> Option<u64> {
        let shared = &self.shared;
        let now_us = shared.clock.now_us();
        if self.collection == Collection::Replicas {
            shared.replicas_unavailable.set(false);
            shared.replicas_fresh_us.set(Some(now_us));
        }
        let unavailable_since_us = self.unavailable_since_us.take()?;
        let reason = format!(
            "unavailable for {} ms",
            (now_us - unavailable_since_us) / 1_000
        );
        shared.log(&Event::Dependency {
            name: self.collection.wire_name(),
            reason: &reason,
            state: "back",
        });
        Some(unavailable_since_us)
    }
}
