//! The tarpc service between nodes and its message types.

mod decision_trace;
mod explanation;
mod node_status;
mod stored_config;

pub use decision_trace::DecisionTrace;
pub use explanation::Decision;
pub use explanation::Explanation;
pub use explanation::Subject;
pub use node_status::MemberState;
pub use node_status::MemberStatus;
pub use node_status::NodeStatus;
pub use node_status::ReplicaStatus;
pub use stored_config::CURRENT_PATH;
pub use stored_config::HISTORY_PREFIX;
pub use stored_config::StoredConfig;
