//! Decides which objects of the store a node keeps: all that it needs, and others as far as they
//! fit.
//!
//! Any writer of the store may leave any number of entries of services that no configuration names.

use wigeonhall_adapter::Collection;
use wigeonhall_adapter::StoredObject;
use wigeonhall_dispatch::unneeded_bytes_max;

use crate::store::collection_view::CollectionView;

impl CollectionView {
    /// Returns whether to keep an object while the others take `held_bytes`; records if it is left
    /// out.
    pub(super) fn keeps(&self, object: &StoredObject, held_bytes: usize) -> bool {
        let bytes_max = unneeded_bytes_max(self.shared.settings.memory_bytes);
        let replaces = || self.objects.borrow().contains(&object.name);
        let fits = held_bytes + object.held_bytes() <= bytes_max;
        let kept = fits || self.needs(object) || replaces();
        if !kept && !self.left_out.replace(true) {
            let name = self.collection.wire_name();
            log::warn!("entries of {name} without a use take over {bytes_max} bytes; left out");
        }
        kept
    }

    /// Returns whether an object is the configuration, or about a service that one names.
    pub(super) fn needs(&self, object: &StoredObject) -> bool {
        let service = object.service.as_ref();
        let is_named = |name| self.shared.pool.borrow().names_service(name);
        self.collection == Collection::Configuration || service.is_some_and(is_named)
    }
}
