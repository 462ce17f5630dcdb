use std::collections::BTreeMap;

use crate::DataCentreKey;
use crate::NodeKey;
use crate::ReplicaKey;

/// Assigns an owner node to the limits of each replica of a data centre.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnershipTable {
    /// Data centre of the replicas and of their owners.
    pub data_centre: DataCentreKey,
    /// Increases by one with each accepted table; larger is newer.
    pub epoch: u64,
    /// Nodes that may own replicas, sorted, without duplicates.
    pub members: Vec<NodeKey>,
    /// Owner of each replica; every owner is one of `members`.
    pub owners: BTreeMap<ReplicaKey, NodeKey>,
}
