//! Socket options for which no library has a safe call.
//!
//! The only crate of the workspace with unsafe code.

mod tcp_info;

pub use tcp_info::TcpInfo;
