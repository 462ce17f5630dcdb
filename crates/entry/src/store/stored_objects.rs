use std::collections::BTreeMap;
use std::sync::Arc;

use wigeonhall_adapter::ObjectChange;
use wigeonhall_adapter::StoredObject;

/// Objects of a collection by name, with the memory that they take.
#[derive(Debug, Default)]
pub(crate) struct StoredObjects {
    by_name: BTreeMap<Arc<str>, StoredObject>,
    /// Sum over the objects.
    held_bytes: usize,
}

impl StoredObjects {
    pub(crate) const fn new() -> Self {
        Self {
            by_name: BTreeMap::new(),
            held_bytes: 0,
        }
    }

    /// Returns the memory that the objects take.
    pub(crate) const fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    pub(crate) fn contains(&self, name: &str) -> bool {
        self.by_name.contains_key(name)
    }

    pub(crate) fn get(&self, name: &str) -> Option<&StoredObject> {
        self.by_name.get(name)
    }

    pub(crate) fn names(&self) -> impl Iterator<Item = &Arc<str>> {
        self.by_name.keys()
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &StoredObject> {
        self.by_name.values()
    }

    pub(crate) fn insert(&mut self, object: StoredObject) {
        self.held_bytes += object.held_bytes();
        let former = self.by_name.insert(object.name.clone(), object);
        self.held_bytes -= former.map_or(0, |former| former.held_bytes());
    }

    pub(crate) fn remove(&mut self, name: &str) {
        let former = self.by_name.remove(name);
        self.held_bytes -= former.map_or(0, |former| former.held_bytes());
    }

    /// Applies changes in their order.
    pub(crate) fn apply(&mut self, changes: Vec<ObjectChange>) {
        for change in changes {
            if change.deleted {
                self.remove(&change.object.name);
            } else {
                self.insert(change.object);
            }
        }
    }

    /// Returns the objects, sorted by name.
    pub(crate) fn into_objects(self) -> Vec<StoredObject> {
        self.by_name.into_values().collect()
    }
}

impl FromIterator<StoredObject> for StoredObjects {
    fn from_iter<T: IntoIterator<Item = StoredObject>>(objects: T) -> Self {
        let mut all = Self::default();
        objects.into_iter().for_each(|object| all.insert(object));
        all
    }
}
