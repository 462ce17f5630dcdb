use std::collections::BTreeMap;

use crate::DataCentreKey;
use crate::NodeKey;
use crate::ReplicaKey;

/// Names the owner of each replica of a data centre: the one node that sends requests to the
/// replica and enforces its limits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnershipTable {
    /// Data centre of the replicas and of their owners.
    pub data_centre: DataCentreKey,
    /// Version of the table; increases by one with each accepted table.
    pub epoch: u64,
    /// Nodes that may own replicas, sorted, without duplicates.
    pub members: Vec<NodeKey>,
    /// Owner of each replica; every owner is one of `members`.
    pub owners: BTreeMap<ReplicaKey, NodeKey>,
}
