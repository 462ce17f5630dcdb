//! What nodes send each other of a collection: changes, and the whole copy.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::sync::Arc;

use wigeonhall_adapter::Changes;
use wigeonhall_adapter::DecodeError;
use wigeonhall_adapter::MalformedItems;
use wigeonhall_adapter::ObjectChange;
use wigeonhall_adapter::ObjectFilter;
use wigeonhall_adapter::StoredObject;
use wigeonhall_adapter::encode_changes;
use wigeonhall_adapter::encode_object_changes;
use wigeonhall_dispatch::BatchFit;
use wigeonhall_dispatch::ChangeBatch;
use wigeonhall_dispatch::StoreRevision;

use crate::peers::feed_protocol::FeedMessage;
use crate::peers::packing;
use crate::peers::unpack_error::UnpackError;
use crate::store::collection_view::CollectionView;
use crate::store::received_changes::keeps_counted;
use crate::store::store_client::StoreError;

impl CollectionView {
    /// Returns the changes that lead from the copy at `former` to the listed objects.
    pub(super) fn difference(
        &self,
        objects: &[StoredObject],
        former: StoreRevision,
        revision: StoreRevision,
    ) -> Result<ChangeBatch, DecodeError> {
        let known = self.objects.borrow();
        let is_known = |object: &StoredObject| {
            let former = known.get(&object.name);
            former.is_some_and(|former| former.revision == object.revision)
        };
        let changed = objects.iter().filter(|object| !is_known(object));
        let changed: Vec<&StoredObject> = changed.collect();
        let names: BTreeSet<&Arc<str>> = objects.iter().map(|object| &object.name).collect();
        let deleted = known.names().filter(|name| !names.contains(name));
        let deleted: Vec<Arc<str>> = deleted.cloned().collect();
        Ok(ChangeBatch {
            body: packing::pack(&encode_changes(
                self.collection,
                &changed,
                &deleted,
                revision.number,
                self.left_out.get(),
            )?),
            from: former,
            to: revision,
        })
    }

    /// Returns a message with the whole collection; `None` before the first list.
    pub(crate) fn snapshot(&self) -> Option<FeedMessage> {
        let revision = self.revision.get()?;
        if let Some((cached_revision, message)) = &*self.snapshot.borrow()
            && *cached_revision == revision
        {
            return Some(message.clone());
        }
        let objects = self.objects.borrow();
        let all: Vec<&StoredObject> = objects.values().collect();
        let left_out = self.left_out.get();
        let body = match encode_changes(self.collection, &all, &[], revision.number, left_out) {
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
        drop(objects);
        self.count_memory();
        Some(message)
    }

    /// Applies the whole collection sent by a peer, unless it is older than the copy. One of the same
    /// revision may have entries that this node has left out.
    ///
    /// # Errors
    ///
    /// When the body cannot be decoded.
    pub(crate) fn apply_snapshot(
        &self,
        body: &[u8],
        revision: StoreRevision,
    ) -> Result<(), UnpackError> {
        let copy = self.revision.get();
        if copy > Some(revision) || (copy == Some(revision) && !self.left_out.get()) {
            self.log_older(revision, "ignored");
            return Ok(());
        }
        let formerly_left_out = self.left_out.replace(false);
        let changes = self.unpack(body, 0);
        let changes = changes.inspect_err(|_| self.left_out.set(formerly_left_out))?;
        let objects = changes.changes.into_iter().map(|change| change.object);
        self.apply_list(objects.collect(), revision);
        Ok(())
    }

    /// Applies changes read from the store and publishes them to followers; `batch` has the same
    /// changes as text.
    pub(crate) fn apply_store_batch(&self, batch: &ChangeBatch, changes: Changes) {
        self.malformed.report_changes(&self.shared, &changes);
        self.apply_changes(changes.changes, batch.to);
        let packed = ChangeBatch {
            body: packing::pack(&batch.body),
            from: batch.from,
            to: batch.to,
        };
        self.shared.feed.publish(self.collection, &packed);
        self.log.borrow_mut().push(packed);
        self.count_memory();
    }

    /// Adds entries that were left out, as of the revision of the copy, and sends them to followers.
    pub(super) fn add_left_out(&self, changes: Vec<ObjectChange>) -> Result<(), StoreError> {
        let Some(revision) = self.revision.get().filter(|_| !changes.is_empty()) else {
            return Ok(());
        };
        let body = encode_object_changes(&changes, revision.number, true);
        let batch = ChangeBatch {
            body: body.map_err(StoreError::Decode)?.into(),
            from: revision,
            to: revision,
        };
        let changes = Changes {
            received: changes.len(),
            changes,
            left_out: true,
            malformed: MalformedItems::new(),
            revision: revision.number,
        };
        self.apply_store_batch(&batch, changes);
        Ok(())
    }

    /// Applies changes sent by a peer, if they continue from the copy's revision.
    ///
    /// # Errors
    ///
    /// When the body cannot be decoded.
    pub(crate) fn apply_peer_batch(&self, batch: &ChangeBatch) -> Result<BatchFit, UnpackError> {
        let fit = batch.fit(self.revision.get());
        if fit == BatchFit::Applied && !batch.body.is_empty() {
            self.log_older(batch.to, "ignored");
        }
        if fit == BatchFit::Next {
            let changes = if batch.body.is_empty() {
                Vec::new()
            } else {
                let held_bytes = self.objects.borrow().held_bytes();
                self.unpack(&batch.body, held_bytes)?.changes
            };
            self.apply_changes(changes, batch.to);
            self.log.borrow_mut().push(batch.clone());
            self.count_memory();
        }
        Ok(fit)
    }

    /// Decodes the changes of a peer; the copy takes `held_bytes` before.
    fn unpack(&self, body: &[u8], held_bytes: usize) -> Result<Changes, UnpackError> {
        let added_bytes = Cell::new(held_bytes);
        let keeps = |object: &StoredObject, held_bytes| self.keeps(object, held_bytes);
        let filter = ObjectFilter {
            keeps: &|object| keeps_counted(&keeps, object, &added_bytes),
            knows: &|_| false,
        };
        let changes = packing::unpack(body, self.collection, filter)?;
        self.malformed.report_changes(&self.shared, &changes);
        if changes.left_out {
            self.left_out.set(true);
        }
        Ok(changes)
    }
}
