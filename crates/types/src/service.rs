use crate::ReplicaKey;

/// A shard service; all its replicas serve the same key ranges.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Replicas of the service, sorted, without duplicates.
    pub replicas: Vec<ReplicaKey>,
}
