//! The node that runs on an entry VM.
//!
//! Way of a query: `front` → `engine_query` → `wigeonhall_query` → `peers` (or
//! straight on, if this node owns the replica) → `engine_gate` →
//! `wigeonhall_gate` → `wigeonhall_target`, and back.

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
mod metrics;
mod node;
mod node_error;
mod peers;
mod readiness;
mod request_trace;
mod store;
mod store_tables;
mod text_parts;

pub use caller_answer::CallerAbsent;
pub use caller_answer::CallerAnswer;
pub use caller_answer::CallerCoverage;
pub use caller_answer::StatusName;
pub use caller_request::CoverageName;
pub use caller_request::ReadRequest;
pub use caller_request::WriteRequest;
pub use clock::unix_ms;
pub use event::Event;
pub use node::Node;
pub use node_error::NodeError;
