use crate::ServiceKey;

/// A kind of query that callers name, as the deployment defines it. Its queries go to the shard
/// services that it depends on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueryClass {
    /// Deadline of a query that states none, in milliseconds.
    pub deadline_ms: u64,
    /// Shard services that the class depends on, sorted, without duplicates.
    pub depends_on: Vec<ServiceKey>,
    /// Whether the class reads or writes.
    pub kind: ClassKind,
    /// Service-level objective of the class, against which its error budget is measured.
    pub level: ServiceLevel,
    /// Largest share of a replica's slots that this class occupies while other classes wait, in
    /// percent, from 1 to 100. The share is rounded down, but to no less than one slot.
    pub slot_share_percent: u32,
    /// Weight among the classes that wait for the same replica, at least 1.
    pub weight: u32,
}

/// Ratio of the service level's latency to the longest wait for a slot. Callers give up when
/// they notice a queue, and a longer queue only moves every answer towards its deadline.
const MAX_WAIT_DIVISOR: u64 = 4;

impl QueryClass {
    /// Returns the longest time that a sub-request waits for a slot, in microseconds.
    #[must_use]
    pub const fn longest_wait_us(&self) -> u64 {
        self.level.latency_ms * 1_000 / MAX_WAIT_DIVISOR
    }
}

/// Whether the requests of a class are idempotent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClassKind {
    /// Idempotent. Requests are hedged and retried within the budget.
    Read,
    /// Not idempotent. A request is sent again only after a reply that proves that it has not
    /// run.
    Write,
}

/// Service-level objective of a class.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServiceLevel {
    /// Time within which an answer counts as good, in milliseconds.
    pub latency_ms: u64,
    /// Required share of good answers, in parts per million.
    pub objective_ppm: u32,
}
