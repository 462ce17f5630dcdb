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

/// Input of the [`Coordinator`](crate::Coordinator).
#[derive(Clone, Debug)]
pub enum QueryEvent {
    /// The caller closed its connection.
    CallerDisconnected(QueryId),
    /// Result of the last claim action of a write.
    Claim {
        /// Write that the claim belongs to.
        id: QueryId,
        /// What the store said.
        result: ClaimResult,
    },
    /// A deployment came into force; effective, with evacuations applied.
    Deployment(Arc<Deployment>),
    /// The node was found dead, or its connection broke. Its open sub-requests end.
    NodeLost(NodeKey),
    /// An ownership table came into force.
    Owners(Arc<OwnershipTable>),
    /// A caller's read.
    Read(ReadQuery),
    /// An owner answered `AskReports`.
    Report {
        /// Replica that the report speaks of.
        replica: ReplicaKey,
        /// What the owner knows.
        report: ReplicaReport,
    },
    /// A sub-request ended.
    SubReply {
        /// Id of the sub-request.
        attempt: AttemptId,
        /// How it ended.
        outcome: SubOutcome,
        /// What the owner knows; `None` if the owner did not answer.
        report: Option<ReplicaReport>,
    },
    /// The time of `next_wake_us` came.
    Tick,
    /// A caller's request that is not idempotent.
    Write(WriteQuery),
}
