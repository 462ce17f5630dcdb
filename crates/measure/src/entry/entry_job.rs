use wigeonhall_dispatch::SubRequest;

/// Index of a [`Job`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct JobKey(pub(crate) usize);

/// A sub-request on its way to a replica, at the replica, or on its way back.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Job {
    /// Whether the node has its result or has dropped it.
    pub(crate) ended: bool,
    pub(crate) query: usize,
    pub(crate) replica: usize,
    pub(crate) sent_us: u64,
    pub(crate) sub_request: SubRequest,
}
