//! Pooled HTTP client for targets, the processes of the replicas.
//!
//! The page `docs/target-interface.md` describes the HTTP interface. Each connection is
//! owned by one task, which opens it, sends one request at a time and reconnects after the
//! connection is lost. A replica has at most one such task per allowed connection, so the
//! number of open connections never exceeds the limit.

mod connection;
mod job;
mod job_queue;
mod message;
mod replica;
mod target_counters;
mod target_pool;

pub use target_counters::TargetCounters;
pub use target_pool::TargetPool;
