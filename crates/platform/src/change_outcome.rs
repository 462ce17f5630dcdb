use crate::StoredObject;

/// Result of a conditional update or delete.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChangeOutcome {
    /// The object is not at the expected version; nothing changed. Holds the current object,
    /// `None` if there is none.
    Conflict(Option<StoredObject>),
    /// The update or delete took effect.
    Stored {
        /// Version after the change; for a delete, the version of the deletion.
        version: u64,
    },
}
