use crate::AttemptId;
use crate::ClassKey;
use crate::IndexVersion;
use crate::Operation;
use crate::ReplicaKey;

/// A request to one replica: the first attempt, a hedge or a retry of a leg. A leg is the share of
/// a caller's request that one shard service answers. The entry node sends it to the replica's
/// owner, the one node through which all requests to the replica go.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SubRequest {
    /// Id of this attempt.
    pub attempt: AttemptId,
    /// Query class of the caller's request.
    pub class: ClassKey,
    /// Time on this node's clock after which the result is useless.
    pub deadline_us: u64,
    /// Epoch (version) of the ownership table from which the sender took the owner.
    pub epoch: u64,
    /// Operation to run.
    pub operation: Operation,
    /// Replica that runs the operation.
    pub replica: ReplicaKey,
    /// Longest wait for a slot, in microseconds; if the expected wait is longer, the
    /// sub-request is refused with `Busy`. With `None`, only the deadline and the longest wait
    /// of the class (`QueryClass::longest_wait_us`) limit it.
    pub start_within_us: Option<u64>,
    /// Index version that the reply must come from; `None` lets the target choose.
    pub version: Option<IndexVersion>,
}
