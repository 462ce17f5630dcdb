use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use wigeonhall_types::AttemptId;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::NameCatalog;
use wigeonhall_types::Operation;
use wigeonhall_types::ReplicaReport;
use wigeonhall_types::SubOutcome;
use wigeonhall_types::SubRequest;

/// A sub-request that is sent to the owner of its replica, the one node through which all
/// requests to the replica go.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SubmitMessage {
    /// Id of this attempt.
    pub attempt: AttemptId,
    /// Name of the query class, the kind of query that callers name.
    pub class: Arc<str>,
    /// Epoch (version) of the ownership table from which the sender took the owner.
    pub epoch: u64,
    /// Operation to run.
    pub operation: Operation,
    /// Time left until the deadline when the message was sent, in microseconds. The receiver
    /// does not know the transit time, so the request may end that much after the deadline. The
    /// sender answers its caller by its own clock.
    pub remaining_us: u64,
    /// Name of the replica.
    pub replica: Arc<str>,
    /// Longest wait for a slot, in microseconds; `None` if only the deadline and the class limit
    /// the wait.
    pub start_within_us: Option<u64>,
    /// Index version that the reply must come from; `None` lets the target choose.
    pub version: Option<IndexVersion>,
}

/// Reply to a [`SubmitMessage`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SubmitReply {
    /// Final outcome of the sub-request.
    pub outcome: SubOutcome,
    /// Report on the replica; `None` if the receiver does not own it.
    pub report: Option<ReplicaReport>,
}

impl SubmitMessage {
    /// Converts keys to names and the deadline to a duration.
    #[must_use]
    pub fn from_sub_request(sub: &SubRequest, now_us: u64, catalog: &NameCatalog) -> Self {
        Self {
            attempt: sub.attempt,
            class: catalog.class_name(sub.class),
            epoch: sub.epoch,
            operation: sub.operation.clone(),
            remaining_us: sub.deadline_us.saturating_sub(now_us),
            replica: catalog.replica_name(sub.replica),
            start_within_us: sub.start_within_us,
            version: sub.version,
        }
    }

    /// Converts names to keys and the remaining time to a local deadline. An unknown replica or
    /// class gets a key that no deployment contains, so the owner refuses the sub-request.
    #[must_use]
    pub fn into_sub_request(self, now_us: u64, catalog: &mut NameCatalog) -> SubRequest {
        SubRequest {
            attempt: self.attempt,
            class: catalog.class(&self.class),
            deadline_us: now_us.saturating_add(self.remaining_us),
            epoch: self.epoch,
            operation: self.operation,
            replica: catalog.replica(&self.replica),
            start_within_us: self.start_within_us,
            version: self.version,
        }
    }
}
