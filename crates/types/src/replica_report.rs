use serde::Deserialize;
use serde::Serialize;

use crate::ServedVersion;

/// State of a replica as its owner, the one node through which all requests to it go, reports
/// it: with each reply to a sub-request, and on request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaReport {
    /// Epoch (version) of the ownership table that names the reporting node as owner.
    pub epoch: u64,
    /// Expected wait of a new sub-request for a slot, in microseconds.
    pub expected_wait_us: u64,
    /// Versions that the replica serves, in ascending order.
    pub served: Vec<ServedVersion>,
    /// Typical service time of the target, in microseconds.
    pub service_us: u64,
    /// State of the replica.
    pub state: ReplicaState,
}

/// Whether a replica accepts work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaState {
    /// In a cold start, the time after a start in which the target bears less load; accepts little
    /// work.
    Cold,
    /// Draining; accepts no new work.
    Leaving,
    /// Taken out of service by operators; accepts no new work.
    Out,
    /// Does not accept connections or does not reply.
    Unreachable,
    /// Accepts work up to its slots.
    Warm,
}
