use std::collections::BTreeSet;
use std::sync::Arc;

use wigeonhall_adapter::Changes;
use wigeonhall_adapter::Listing;
use wigeonhall_adapter::MalformedItems;
use wigeonhall_adapter::StoredObject;

use crate::process::held_memory::HeldMemory;
use crate::store::stored_objects::StoredObjects;

/// A list of a collection that is read page by page, each as of a later moment, or in the case of
/// stale lists of any.
///
/// Changes made between two pages may be missing. Applying all changes since the oldest page, in
/// their order, gives the collection at one revision.
#[derive(Debug)]
pub(crate) struct PagedList {
    /// Names after which pages were read. A page after one of them would be read again.
    continued_after: BTreeSet<Arc<str>>,
    /// Whether the store announced more pages, but the last one has no name to continue after, or
    /// one that was used before.
    is_cut_short: bool,
    /// Items of pages and of changes that cannot be decoded.
    malformed: MalformedItems,
    /// Memory counted for `objects`.
    memory: HeldMemory,
    /// Largest revision of a page.
    newest: u64,
    objects: StoredObjects,
    /// Revision up to which all changes are included: the smallest one of a page, or the one that the
    /// applied changes lead to. `None` before the first page.
    revision: Option<u64>,
    /// Names of objects of the former copy that are listed, but cannot be decoded as they are now.
    unreadable: BTreeSet<Arc<str>>,
}

impl PagedList {
    /// Creates an empty list, whose memory is counted in `memory`.
    pub(crate) const fn new(memory: HeldMemory) -> Self {
        Self {
            continued_after: BTreeSet::new(),
            is_cut_short: false,
            malformed: MalformedItems::new(),
            memory,
            newest: 0,
            objects: StoredObjects::new(),
            revision: None,
            unreadable: BTreeSet::new(),
        }
    }

    /// Adds a page and returns the name after which the next one begins; `None` after the last.
    pub(crate) fn add_page(&mut self, page: Listing) -> Option<Arc<str>> {
        let oldest = self
            .revision
            .map_or(page.revision, |it| it.min(page.revision));
        self.revision = Some(oldest);
        self.newest = self.newest.max(page.revision);
        self.malformed.extend(page.malformed);
        self.unreadable.extend(page.unreadable);
        let objects = page.objects.into_iter();
        objects.for_each(|object| self.objects.insert(object));
        self.memory.resize(self.objects.held_bytes());
        if !page.more {
            return None;
        }
        let next = page.last_name;
        let next = next.filter(|name| self.continued_after.insert(name.clone()));
        self.is_cut_short = next.is_none();
        next
    }

    /// Returns whether the list ended although the store announced more pages.
    pub(crate) const fn is_cut_short(&self) -> bool {
        self.is_cut_short
    }

    /// Adds the objects of a former copy of which the list does not show that they were removed:
    /// those that cannot be decoded now, and where the list is cut short, all that it lacks.
    pub(crate) fn keep_unlisted(&mut self, copy: &StoredObjects) {
        for object in copy.values() {
            let is_unknown = self.is_cut_short || self.unreadable.contains(&object.name);
            if is_unknown && !self.objects.contains(&object.name) {
                self.objects.insert(object.clone());
            }
        }
    }

    /// Applies the changes from [`Self::revision`] on.
    pub(crate) fn apply_changes(&mut self, changes: Changes) {
        self.malformed.extend(changes.malformed);
        for change in &changes.changes {
            self.unreadable.remove(&change.object.name);
        }
        self.objects.apply(changes.changes);
        self.memory.resize(self.objects.held_bytes());
        self.revision = Some(changes.revision);
    }

    /// Requires the changes up to a revision.
    pub(crate) fn require(&mut self, revision: u64) {
        self.newest = self.newest.max(revision);
    }

    /// Returns whether all pages are included as of [`Self::revision`].
    pub(crate) fn is_complete(&self) -> bool {
        self.revision() >= self.newest
    }

    /// Returns the revision up to which all changes are included.
    pub(crate) fn revision(&self) -> u64 {
        self.revision.unwrap_or(0)
    }

    /// Returns the items that cannot be decoded.
    pub(crate) const fn malformed(&self) -> &MalformedItems {
        &self.malformed
    }

    /// Returns the memory that the objects take.
    pub(crate) const fn held_bytes(&self) -> usize {
        self.objects.held_bytes()
    }

    /// Returns the objects, by name.
    pub(crate) fn into_objects(self) -> Vec<StoredObject> {
        self.objects.into_objects()
    }
}
