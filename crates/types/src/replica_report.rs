use serde::Deserialize;
use serde::Serialize;

use crate::ServedVersion;

/// What an owner knows about a replica; travels with every reply.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaReport {
    /// Epoch of the ownership table that names the sender as owner.
    pub epoch: u64,
    /// Time that a new sub-request would wait for a slot, in microseconds.
    pub expected_wait_us: u64,
    /// Versions that the replica serves, by rising version.
    pub served: Vec<ServedVersion>,
    /// Typical time that the target takes for a request, in microseconds.
    pub service_us: u64,
    /// Whether the replica takes work.
    pub state: ReplicaState,
}

/// Whether a replica takes work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaState {
    /// In cold start: takes little work.
    Cold,
    /// Drains: takes no new work.
    Leaving,
    /// Taken out by operators: takes no new work.
    Out,
    /// Does not accept connections or does not reply.
    Unreachable,
    /// Takes work up to its slots.
    Warm,
}
