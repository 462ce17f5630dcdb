use std::collections::BTreeMap;
use std::sync::Arc;

use wigeonhall_adapter::Changes;
use wigeonhall_adapter::Listing;
use wigeonhall_adapter::MalformedItem;
use wigeonhall_adapter::ObjectChange;
use wigeonhall_adapter::StoredObject;

/// A list of a collection that is read page by page, each as of a later moment, or in the case of
/// stale lists of any.
///
/// Changes made between two pages may be missing. Applying all changes since the oldest page, in
/// their order, gives the collection at one revision.
#[derive(Debug, Default)]
pub(crate) struct PagedList {
    /// Whether the store announced more pages, but the last one brought nothing new or has no name
    /// to continue after.
    is_cut_short: bool,
    /// Items of pages and of changes that cannot be decoded.
    malformed: Vec<MalformedItem>,
    /// Largest revision of a page.
    newest: u64,
    objects: BTreeMap<Arc<str>, StoredObject>,
    /// Revision up to which all changes are included: the smallest one of a page, or the one that the
    /// applied changes lead to. `None` before the first page.
    revision: Option<u64>,
}

impl PagedList {
    /// Adds a page and returns the name after which the next one begins; `None` after the last.
    pub(crate) fn add_page(&mut self, page: Listing) -> Option<Arc<str>> {
        let oldest = self
            .revision
            .map_or(page.revision, |it| it.min(page.revision));
        self.revision = Some(oldest);
        self.newest = self.newest.max(page.revision);
        let known = self.objects.len();
        let last = page.last_name().cloned();
        self.malformed.extend(page.malformed);
        let objects = page.objects.into_iter();
        self.objects
            .extend(objects.map(|object| (object.name.clone(), object)));
        if !page.more {
            return None;
        }
        let next = last.filter(|_| self.objects.len() > known);
        self.is_cut_short = next.is_none();
        next
    }

    /// Returns whether the list ended although the store announced more pages.
    pub(crate) const fn is_cut_short(&self) -> bool {
        self.is_cut_short
    }

    /// Adds the objects of a former copy that the list lacks, where it is cut short: nothing shows
    /// that they were removed.
    pub(crate) fn keep_unlisted(&mut self, copy: &BTreeMap<Arc<str>, StoredObject>) {
        for (name, object) in copy {
            let listed = self.objects.entry(name.clone());
            listed.or_insert_with(|| object.clone());
        }
    }

    /// Applies the changes from [`Self::revision`] on.
    pub(crate) fn apply_changes(&mut self, changes: Changes) {
        self.malformed.extend(changes.malformed);
        apply_to(&mut self.objects, changes.changes);
        self.revision = Some(changes.revision);
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
    pub(crate) fn malformed(&self) -> &[MalformedItem] {
        &self.malformed
    }

    /// Returns the objects, by name.
    pub(crate) fn into_objects(self) -> Vec<StoredObject> {
        self.objects.into_values().collect()
    }
}

/// Applies changes to objects by name.
pub(crate) fn apply_to(objects: &mut BTreeMap<Arc<str>, StoredObject>, changes: Vec<ObjectChange>) {
    for change in changes {
        if change.deleted {
            objects.remove(&change.object.name);
        } else {
            objects.insert(change.object.name.clone(), change.object);
        }
    }
}
