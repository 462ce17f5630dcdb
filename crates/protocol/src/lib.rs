//! The tarpc service between nodes, its message types, and the formats that the operators'
//! command-line tool reads.
//!
//! Messages carry names instead of keys and durations instead of clock readings, because keys
//! and clocks differ between processes. The transport is TCP with bincode frames. A frame that
//! cannot be decoded closes the connection.

mod connection;
mod decision_trace;
mod explanation;
mod hand_over_message;
mod incoming_call;
mod named_report;
mod node_status;
mod protocol_error;
mod server;
mod service;
mod stored_config;
mod stored_part;
mod submit_message;

pub use connection::Connection;
pub use decision_trace::DecisionTrace;
pub use explanation::Decision;
pub use explanation::Explanation;
pub use explanation::Subject;
pub use hand_over_message::HandOverMessage;
pub use incoming_call::IncomingCall;
pub use named_report::NamedReport;
pub use node_status::MemberState;
pub use node_status::MemberStatus;
pub use node_status::NodeStatus;
pub use node_status::ReplicaStatus;
pub use protocol_error::ProtocolError;
pub use server::serve;
pub use service::NodeService;
pub use service::NodeServiceClient;
pub use stored_config::CURRENT_PATH;
pub use stored_config::HISTORY_PREFIX;
pub use stored_config::MAX_INLINE_PARTS_BYTES;
pub use stored_config::StoredConfig;
pub use stored_part::APPLY_TIMEOUT_HOURS;
pub use stored_part::PART_RETENTION_HOURS;
pub use stored_part::PARTS_PREFIX;
pub use stored_part::StoredPart;
pub use submit_message::SubmitMessage;
pub use submit_message::SubmitReply;
