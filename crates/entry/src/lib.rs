//! The entry tier: one event loop that forwards callers' requests to replicas.
//!
//! This crate does the input, the output and the timers. `wigeonhall-dispatch` decides what to
//! send, retry, refuse and answer; `wigeonhall-adapter` defines the names and formats of the
//! platform.
//!
//! A leg is the share of a request that one shard service answers, and a sub-request is one
//! request sent to one replica for a leg. A replica returns a part for each leg of a gather; the
//! caller gets one answer, merged from the parts.
//!
//! A node is one process of the tier, and its peers are the others. Some nodes of a data centre,
//! the readers, read the platform's store; the others, the followers, receive its changes from a
//! reader.

mod callers;
mod net;
mod peers;
mod process;
mod replicas;
mod requests;
mod store;

pub use process::descriptor_limit::descriptor_limit;
pub use process::run::EntryError;
pub use process::run::EntryOptions;
pub use process::run::check_settings;
pub use process::run::run;
