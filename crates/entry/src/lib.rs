//! The entry tier on the users' platform: one event loop between callers and replicas.
//!
//! This package moves bytes and keeps time. What to send, to repeat, to refuse and to
//! answer is decided in `wigeonhall-dispatch`; names and formats of the platform stand
//! in `wigeonhall-adapter`.

mod accepted;
mod answer;
mod answer_lag;
mod arrival_probe;
mod caller_request;
mod caller_stream;
mod change_feed;
mod clock;
mod collection_view;
mod event;
mod event_log;
mod feed_client;
mod feed_protocol;
mod feed_server;
mod front;
mod group_parts;
mod group_stream;
mod held_body;
mod hooked_stream;
mod http_client;
mod lifecycle;
mod loop_times;
mod metrics;
mod node_state;
mod open_ahead;
mod packing;
mod peer_registry;
mod probed_listener;
mod query;
mod readiness;
mod record_log;
mod relay_client;
mod relay_protocol;
mod relay_server;
mod replica_client;
mod replica_response;
mod responses;
mod route_switch;
mod run;
mod senders;
mod shared_gather;
mod socket;
mod store_call;
mod store_client;
mod store_sentinel;
mod store_watch;
mod supervisor;
mod unpack_error;
mod views;

pub use run::EntryError;
pub use run::EntryOptions;
pub use run::check_settings;
pub use run::run;
