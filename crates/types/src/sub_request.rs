use crate::AttemptId;
use crate::ClassKey;
use crate::IndexVersion;
use crate::Operation;
use crate::ReplicaKey;

/// One try of one shard's part of a request, sent from entry node to owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SubRequest {
    /// Id of this try.
    pub attempt: AttemptId,
    /// Class of the caller's request.
    pub class: ClassKey,
    /// Local time after which the result is of no use.
    pub deadline_us: u64,
    /// Epoch of the ownership table from which the sender took the owner.
    pub epoch: u64,
    /// What to do.
    pub operation: Operation,
    /// Replica to ask.
    pub replica: ReplicaKey,
    /// Longest wait for a slot, in microseconds; a longer one is refused with `Busy`.
    /// Without it, the deadline alone decides.
    pub start_within_us: Option<u64>,
    /// Version that the reply must come from; `None` lets the target choose.
    pub version: Option<IndexVersion>,
}
