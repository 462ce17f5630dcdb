use std::fmt;

/// A revision of the store, ordered by time.
///
/// The store may go back to an older copy of itself, and then gives revisions out again in a new
/// era. Two revisions are the same state only if both parts are equal.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct StoreRevision {
    /// Number of times that the store was restored from a copy.
    pub era: u64,
    /// Revision within the era.
    pub number: u64,
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}
