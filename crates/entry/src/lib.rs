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

mod accepted_connection;
mod answer;
mod answer_lag;
mod arrival_probe;
mod caller_request;
mod caller_server;
mod caller_stream;
mod change_feed;
mod clock;
mod collection_view;
mod collection_views;
mod event;
mod event_log;
mod feed_client;
mod feed_protocol;
mod feed_server;
mod group_parts;
mod group_stream;
mod hooked_stream;
mod http_client;
mod lifecycle;
mod loop_times;
mod metrics;
mod node_state;
mod packing;
mod peer_registry;
mod preconnect;
mod probed_listener;
mod query;
mod readiness;
mod record_log;
mod relay_client;
mod relay_protocol;
mod relay_server;
mod replica_client;
mod replica_response;
mod response_body;
mod responses;
mod route_switch;
mod run;
mod sender_counts;
mod shared_gather;
mod socket;
mod store_call;
mod store_client;
mod store_health;
mod store_watch;
mod supervisor;
mod unpack_error;

pub use run::EntryError;
pub use run::EntryOptions;
pub use run::check_settings;
pub use run::run;
