//! Types shared by all crates: identifiers, key ranges, verdicts, deployments and the outcomes
//! of sub-requests.
//!
//! The crates that make decisions without performing I/O (`query`, `gate`, `fleet`) exchange
//! these types. A time named `*_us` without further note is in microseconds of the local
//! monotonic clock. Times that cross a process boundary are durations.
//!
//! All requests to a replica go through one node, its owner. The owner enforces the replica's
//! limits while it holds a lease, the time-limited permission to send requests.

mod attempt_id;
mod data_centre;
mod deployment;
mod hand_over_state;
mod index_version;
mod key_range;
mod keys;
mod name_catalog;
mod operation;
mod ownership_table;
mod query_class;
mod range_set;
mod reasons;
mod replica;
mod replica_report;
mod row;
mod served_version;
mod service;
mod sub_outcome;
mod sub_request;
mod target_reply;
mod verdict;
mod vm;
mod vm_status;

pub use attempt_id::AttemptId;
pub use data_centre::DataCentre;
pub use deployment::Deployment;
pub use hand_over_state::HandOverState;
pub use hand_over_state::HandedOverRequest;
pub use hand_over_state::RampState;
pub use hand_over_state::RecentStarts;
pub use hand_over_state::RoundState;
pub use index_version::IndexVersion;
pub use key_range::KeyRange;
pub use keys::ClassKey;
pub use keys::DataCentreKey;
pub use keys::NodeKey;
pub use keys::ReplicaKey;
pub use keys::ServiceKey;
pub use name_catalog::NameCatalog;
pub use operation::Operation;
pub use ownership_table::OwnershipTable;
pub use query_class::ClassKind;
pub use query_class::QueryClass;
pub use query_class::ServiceLevel;
pub use range_set::RangeSet;
pub use reasons::FailureReason;
pub use reasons::RefusalReason;
pub use replica::ColdBound;
pub use replica::Replica;
pub use replica_report::ReplicaReport;
pub use replica_report::ReplicaState;
pub use row::Row;
pub use served_version::ServedVersion;
pub use service::Service;
pub use sub_outcome::SubOutcome;
pub use sub_request::SubRequest;
pub use target_reply::TargetOutcome;
pub use target_reply::TargetReply;
pub use verdict::Verdict;
pub use vm::Vm;
pub use vm_status::VmState;
pub use vm_status::VmStatus;
