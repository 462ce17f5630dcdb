//! Events that the coordinator processes.

use std::sync::Arc;

use crate::ClaimResult;
use crate::QueryId;
use crate::ReadQuery;
use crate::WriteQuery;
use wigeonhall_types::AttemptId;
use wigeonhall_types::Deployment;
use wigeonhall_types::NodeKey;
use wigeonhall_types::OwnershipTable;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::ReplicaReport;
use wigeonhall_types::SubOutcome;

/// Event that the [`Coordinator`](crate::Coordinator) processes.
#[derive(Clone, Debug)]
pub enum QueryEvent {
    /// The caller closed its connection before the answer.
    CallerDisconnected(QueryId),
    /// The store returned the result of the last action on the claim of a write, the stored record
    /// that gives one attempt the right to run it.
    Claim {
        /// Write that the claim belongs to.
        id: QueryId,
        /// Result from the store.
        result: ClaimResult,
    },
    /// A new deployment took effect. What operators took out of service by evacuations is already
    /// marked as out in it.
    Deployment(Arc<Deployment>),
    /// The failure detector declared the node dead, or the connection to it was lost. The open
    /// sub-requests that were sent to it fail.
    NodeLost(NodeKey),
    /// A new ownership table, which names the owner of each replica, took effect.
    Owners(Arc<OwnershipTable>),
    /// A caller sent a read.
    Read(ReadQuery),
    /// The owner of a replica, the one node through which all requests to it go, replied to
    /// `AskReports`.
    Report {
        /// Replica that the report describes.
        replica: ReplicaKey,
        /// State of the replica as its owner reports it.
        report: ReplicaReport,
    },
    /// A sub-request ended.
    SubReply {
        /// Id of the sub-request.
        attempt: AttemptId,
        /// Outcome of the sub-request.
        outcome: SubOutcome,
        /// State of the replica as its owner reports it; `None` if the owner sent no
        /// report.
        report: Option<ReplicaReport>,
    },
    /// The time that `next_wake_us` returned has been reached.
    Tick,
    /// A caller sent a write, which is not idempotent.
    Write(WriteQuery),
}
