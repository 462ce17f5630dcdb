use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use wigeonhall_fleet::EvacuationOverride;
use wigeonhall_types::ReplicaState;

/// What a node serves at `GET /status`, as JSON. With `?brief=true`, `members` and
/// `replicas` are empty.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeStatus {
    /// Random id of this run of the process, in hexadecimal.
    pub boot: Arc<str>,
    /// Change id of the configuration in force; `None` if there is none.
    pub change_id: Option<Arc<str>>,
    /// Name of the data centre.
    pub data_centre: Arc<str>,
    /// Generation in force; 0 if there is none.
    pub generation: u64,
    /// Entry nodes that this node knows of, itself included, by name.
    pub members: Vec<MemberStatus>,
    /// Name of the node.
    pub name: Arc<str>,
    /// Why the node does not serve callers; `None` if it does.
    pub not_ready: Option<Arc<str>>,
    /// Evacuations without the store that are in force here.
    pub overrides: Vec<EvacuationOverride>,
    /// Replicas that this node owns, by name.
    pub replicas: Vec<ReplicaStatus>,
}

/// What a node believes of another one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberStatus {
    /// Name of the node.
    pub name: Arc<str>,
    /// What this node believes of it.
    pub state: MemberState,
}

/// Whether a node is believed to run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It did not refute the suspicion in time, or the list of VMs lacks it.
    Dead,
    /// It shuts down.
    Leaving,
    /// It does not answer probes.
    Suspect,
}

/// A replica in the eyes of its owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaStatus {
    /// Requests that may run at once now; below the slots in cold start.
    pub allowance: u32,
    /// Epoch of the ownership table that names this node.
    pub epoch: u64,
    /// Time that a new sub-request would wait, in microseconds.
    pub expected_wait_us: u64,
    /// Name of the replica.
    pub name: Arc<str>,
    /// What put the replica into its state; `None` if it takes work as usual.
    pub reason: Option<Arc<str>>,
    /// Requests that hold a slot.
    pub running: u32,
    /// Largest number of requests that run at once.
    pub slots: u32,
    /// Whether it takes work.
    pub state: ReplicaState,
    /// Sub-requests that wait for a slot.
    pub waiting: u32,
}
