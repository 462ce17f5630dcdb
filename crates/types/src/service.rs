use crate::ReplicaKey;

/// A shard service: replicas that serve the same key ranges.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Sorted, without repeats.
    pub replicas: Vec<ReplicaKey>,
}
