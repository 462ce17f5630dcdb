use crate::StoredObject;

/// Result of a conditional update or delete.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PutOutcome {
    /// The object is not at the expected version; nothing changed. Holds the
    /// object as it is, `None` if there is none.
    Conflict(Option<StoredObject>),
    /// The change took effect.
    Stored {
        /// Version of the change; of the deletion for a delete.
        version: u64,
    },
}
