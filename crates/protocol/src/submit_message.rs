use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use wigeonhall_types::AttemptId;
use wigeonhall_types::Catalog;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::Operation;
use wigeonhall_types::ReplicaReport;
use wigeonhall_types::SubOutcome;
use wigeonhall_types::SubRequest;

/// A sub-request on its way to the owner of its replica.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SubmitMessage {
    /// Id of this try.
    pub attempt: AttemptId,
    /// Name of the class.
    pub class: Arc<str>,
    /// Epoch of the ownership table from which the sender took the owner.
    pub epoch: u64,
    /// What to do.
    pub operation: Operation,
    /// Time left when the message was sent, in microseconds. The receiver does
    /// not know the transit time, so the work may end that much past the deadline;
    /// the sender answers its caller by its own clock.
    pub remaining_us: u64,
    /// Name of the replica.
    pub replica: Arc<str>,
    /// Longest wait for a slot, in microseconds.
    pub start_within_us: Option<u64>,
    /// Version that the reply must come from.
    pub version: Option<IndexVersion>,
}

/// Result of a sub-request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SubmitReply {
    /// How it ended.
    pub outcome: SubOutcome,
    /// What the owner knows; `None` if the receiver does not own the replica.
    pub report: Option<ReplicaReport>,
}

impl SubmitMessage {
    /// Puts a sub-request into names and durations.
    #[must_use]
    pub fn from_sub_request(sub: &SubRequest, now_us: u64, catalog: &Catalog) -> Self {
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

    /// Resolves the names; an unknown replica or class gets a key that no
    /// deployment holds, which the gate refuses.
    #[must_use]
    pub fn into_sub_request(self, now_us: u64, catalog: &mut Catalog) -> SubRequest {
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
