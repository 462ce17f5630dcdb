use wigeonhall_adapter::Collection;

/// What a call to the store is for; metrics count calls by it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct StoreCall {
    pub(crate) collection: Collection,
    pub(crate) purpose: CallPurpose,
}

/// Why the store is called.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallPurpose {
    /// Reads at once what is new.
    CatchUp,
    /// Reads a page of all objects, as of the newest revision.
    List,
    /// Finds out whether the store answers, by a list that may be stale.
    Look,
    /// Reads a page of all objects, which may be stale.
    StaleList,
    /// Waits for changes.
    Watch,
    /// Writes or removes an object.
    Write,
}

impl CallPurpose {
    /// Label of the metric.
    pub(crate) const fn label(self) -> &'static str {
        match self {
            Self::CatchUp => "catch_up",
            Self::List => "list",
            Self::Look => "look",
            Self::StaleList => "stale_list",
            Self::Watch => "watch",
            Self::Write => "write",
        }
    }
}
