//! Pooled HTTP client for targets.
//!
//! The HTTP forms are on the page `docs/target-interface.md`. Each connection is
//! owned by one task that dials it, uses it for one request at a time and dials
//! it again after a loss. A replica has at most as many such tasks as
//! connections, so the number of open connections is exact.

mod connection;
mod job;
mod lane;
mod message;
mod replica;
mod target_counters;
mod target_pool;

pub use target_counters::TargetCounters;
pub use target_pool::TargetPool;
