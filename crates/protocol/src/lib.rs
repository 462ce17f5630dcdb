//! The tarpc service between nodes and its message types.
//!
//! Messages carry names instead of keys, and durations instead of clock
//! readings, because keys and clocks differ between processes. The transport is
//! TCP with bincode frames; a frame that does not decode closes the connection.

mod connection;
mod hand_over_message;
mod incoming;
mod named_report;
mod protocol_error;
mod server;
mod service;
mod submit_message;

pub use connection::Connection;
pub use hand_over_message::HandOverMessage;
pub use incoming::Incoming;
pub use named_report::NamedReport;
pub use protocol_error::ProtocolError;
pub use server::serve;
pub use service::NodeService;
pub use service::NodeServiceClient;
pub use submit_message::SubmitMessage;
pub use submit_message::SubmitReply;
