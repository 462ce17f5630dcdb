use std::collections::BTreeMap;

use crate::DataCentreKey;
use crate::NodeKey;
use crate::ReplicaKey;

/// Which node owns the limits of each replica of a data centre.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnershipTable {
    /// Data centre of the replicas and of their owners.
    pub data_centre: DataCentreKey,
    /// Grows by one with each accepted table; larger is newer.
    pub epoch: u64,
    /// Nodes that may own replicas, sorted, without repeats.
    pub members: Vec<NodeKey>,
    /// Every owner is a member.
    pub owners: BTreeMap<ReplicaKey, NodeKey>,
}
