use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use wigeonhall_fleet::EvacuationOverride;
use wigeonhall_types::ReplicaState;

/// Body of the response to `GET /status`, as JSON. With `?brief=true`, `members` and `replicas`
/// are empty.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeStatus {
    /// Random id of this run of the process, in hexadecimal.
    pub boot: Arc<str>,
    /// Random id of the change that stored the configuration in force; `None` if there is none.
    pub change_id: Option<Arc<str>>,
    /// Name of the node's data centre.
    pub data_centre: Arc<str>,
    /// Generation (version) of the configuration in force; 0 if there is none.
    pub generation: u64,
    /// Entry nodes that this node knows, including itself, by name.
    pub members: Vec<MemberStatus>,
    /// Name of the node.
    pub name: Arc<str>,
    /// Reason why the node does not serve callers; `None` if it does.
    pub not_ready: Option<Arc<str>>,
    /// Evacuations that operators ordered directly on nodes, without the store, and that are in
    /// force on this node.
    pub overrides: Vec<EvacuationOverride>,
    /// Replicas that this node owns, by name.
    pub replicas: Vec<ReplicaStatus>,
}

/// State of a member of the membership protocol, which is an entry node, as one node sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberStatus {
    /// Name of the node.
    pub name: Arc<str>,
    /// State of the member.
    pub state: MemberState,
}

/// State of a member in the failure detector.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// The member replies to probes.
    Alive,
    /// The member did not refute the suspicion of being down in time, or is missing from the
    /// list of VMs.
    Dead,
    /// The member is shutting down.
    Leaving,
    /// The member is suspected of being down, because it does not reply to probes.
    Suspect,
}

/// State of a replica as its owner sees it, the one node through which all requests to it go.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaStatus {
    /// Concurrency limit in force; below `slots` in a cold start, the time after a start of the
    /// target in which it bears less load, or after a failure.
    pub allowance: u32,
    /// Epoch (version) of the ownership table that names this node as owner.
    pub epoch: u64,
    /// Expected wait of a new sub-request for a slot, in microseconds.
    pub expected_wait_us: u64,
    /// Name of the replica.
    pub name: Arc<str>,
    /// Reason for the replica's state; `None` if it accepts work as usual.
    pub reason: Option<Arc<str>>,
    /// Number of occupied slots.
    pub running: u32,
    /// Largest number of requests that run at once when the replica is warm.
    pub slots: u32,
    /// State of the replica.
    pub state: ReplicaState,
    /// Number of sub-requests that wait for a slot.
    pub waiting: u32,
}
