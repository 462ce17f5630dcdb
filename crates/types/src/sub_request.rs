use crate::AttemptId;
use crate::ClassKey;
use crate::IndexVersion;
use crate::Operation;
use crate::ReplicaKey;

/// One attempt at one shard's part of a request, sent from the entry node to the owner of a
/// replica, the node that sends all requests to this replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SubRequest {
    /// Id of this attempt.
    pub attempt: AttemptId,
    /// Query class of the caller's request.
    pub class: ClassKey,
    /// Time on this node's clock after which the result is useless.
    pub deadline_us: u64,
    /// Epoch of the ownership table from which the sender took the owner.
    pub epoch: u64,
    /// Operation to run.
    pub operation: Operation,
    /// Replica that runs the operation.
    pub replica: ReplicaKey,
    /// Longest wait for a slot, in microseconds; if the expected wait is longer, the
    /// sub-request is refused with `Busy`. With `None`, only the deadline and the class
    /// limit the wait.
    pub start_within_us: Option<u64>,
    /// Index version that the reply must come from; `None` lets the target choose.
    pub version: Option<IndexVersion>,
}
