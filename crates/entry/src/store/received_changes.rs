use std::cell::Cell;

use wigeonhall_adapter::Changes;
use wigeonhall_adapter::ChangesDecoder;
use wigeonhall_adapter::Collection;
use wigeonhall_adapter::ObjectFilter;
use wigeonhall_adapter::StoredObject;

use crate::store::list_pages::Keeps;
use crate::store::store_client::StoreError;

/// Memory of the changes of one response; those of 23,000 replicas take about 9 MB.
const CHANGES_BYTES_MAX: usize = 16 * 1024 * 1024;

/// Changes of a collection that are decoded while they arrive.
pub(crate) struct ReceivedChanges<'a> {
    decoder: ChangesDecoder,
    /// Memory of the copy with the changes so far.
    held_bytes: Cell<usize>,
    keeps: Keeps<'a>,
}

impl<'a> ReceivedChanges<'a> {
    /// Creates the changes to a copy that takes `held_bytes`.
    pub(crate) fn new(collection: Collection, keeps: Keeps<'a>, held_bytes: usize) -> Self {
        Self {
            decoder: ChangesDecoder::new(collection),
            held_bytes: Cell::new(held_bytes),
            keeps,
        }
    }

    /// Decodes a part of the response; returns the memory that is held.
    pub(crate) fn push(&mut self, data: &[u8]) -> Result<usize, StoreError> {
        let filter = ObjectFilter {
            keeps: &|object| keeps_counted(self.keeps, object, &self.held_bytes),
            knows: &|_| false,
        };
        self.decoder.push(data, filter);
        let decoded_bytes = self.decoder.held_bytes();
        if decoded_bytes > CHANGES_BYTES_MAX {
            return Err(StoreError::TooManyChanges);
        }
        Ok(decoded_bytes)
    }

    pub(crate) fn finish(self) -> Result<Changes, StoreError> {
        self.decoder.finish().map_err(StoreError::Decode)
    }
}

/// Returns whether to keep an object beside others that take `held_bytes`, and adds its memory to
/// them if so.
pub(crate) fn keeps_counted(
    keeps: Keeps<'_>,
    object: &StoredObject,
    held_bytes: &Cell<usize>,
) -> bool {
    let kept = keeps(object, held_bytes.get());
    if kept {
        held_bytes.set(held_bytes.get() + object.held_bytes());
    }
    kept
}
