use crate::ServiceKey;

/// A service that callers name; its queries go to the services it depends on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueryClass {
    /// Deadline of a query that names none, in milliseconds.
    pub deadline_ms: u64,
    /// Services that hold the shards, sorted, without repeats.
    pub depends_on: Vec<ServiceKey>,
    /// Whether requests of this class are idempotent.
    pub kind: ClassKind,
    /// Target that the burn report measures against.
    pub level: ServiceLevel,
    /// Largest share of a replica's slots that this class takes while others
    /// wait, in percent, from 1 to 100; never rounds down to no slot.
    pub slot_share_percent: u32,
    /// Weight among the classes that wait for the same replica, at least 1.
    pub weight: u32,
}

/// Share of the service level's latency that a sub-request may wait for a slot: one
/// part in this many. Callers give up when they notice a queue, and a longer one only
/// moves every answer towards its deadline.
const WAIT_PART: u64 = 4;

impl QueryClass {
    /// Longest time that a sub-request waits for a slot, in microseconds.
    #[must_use]
    pub const fn longest_wait_us(&self) -> u64 {
        self.level.latency_ms * 1_000 / WAIT_PART
    }
}

/// Whether a request may be sent more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClassKind {
    /// Idempotent: hedged and retried within the budget.
    Read,
    /// Not idempotent: at most once.
    Write,
}

/// Service-level target of a class.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServiceLevel {
    /// Answers that count as good arrive within this time, in milliseconds.
    pub latency_ms: u64,
    /// Wanted share of good answers, in parts per million.
    pub objective_ppm: u32,
}
