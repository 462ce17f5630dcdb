//! The node that runs on an entry VM.
//!
//! A query passes through `front`, `engine_query` and `wigeonhall_query`. Each of its
//! sub-requests then goes to the owner of its replica, the one node that all requests to the
//! replica pass through: by `peers`, unless this node is the owner. There it passes through
//! `engine_gate`, `wigeonhall_gate` and `wigeonhall_target`. The replies return the same way.

mod caller_answer;
mod caller_request;
mod clock;
mod engine;
mod engine_fleet;
mod engine_gate;
mod engine_query;
mod engine_status;
mod engine_trace;
mod event;
mod front;
mod front_body;
mod front_connections;
mod front_server;
mod metrics;
mod node;
mod node_error;
mod peers;
mod readiness;
mod request_trace;
mod store;
mod store_parts;
mod store_tables;

pub use caller_answer::CallerAnswer;
pub use caller_answer::CallerCoverage;
pub use caller_answer::StatusName;
pub use caller_answer::UnreadRange;
pub use caller_request::ReadRequest;
pub use caller_request::RequiredCoverage;
pub use caller_request::WriteRequest;
pub use clock::unix_ms;
pub use event::Event;
pub use node::Node;
pub use node_error::NodeError;
pub use store_parts::PartChange;
pub use store_parts::remove_unused_parts;
