use wigeonhall_adapter::Collection;

/// The collection and the purpose of a call to the store, by which metrics count calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct StoreCall {
    pub(crate) collection: Collection,
    pub(crate) purpose: CallPurpose,
}

/// The purpose of a call to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallPurpose {
    /// Reads changes without waiting for new ones.
    CatchUp,
    /// Reads a page of all objects at the current revision.
    List,
    /// Checks whether the store answers, by a list that may be stale.
    HealthCheck,
    /// Reads one object after the outcome of a write to it is unknown.
    Read,
    /// Reads a page of all objects, which may be stale.
    StaleList,
    /// Waits for changes.
    Watch,
    /// Writes or removes an object.
    Write,
}

impl CallPurpose {
    /// Returns the value of the metric's `purpose` label.
    pub(crate) const fn label(self) -> &'static str {
        match self {
            Self::CatchUp => "catch_up",
            Self::List => "list",
            Self::HealthCheck => "look",
            Self::Read => "read",
            Self::StaleList => "stale_list",
            Self::Watch => "watch",
            Self::Write => "write",
        }
    }
}
