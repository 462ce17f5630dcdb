//! The platform's store: calls, watches, copies of its collections, and what follows from changes.

mod call_pauses;
pub(crate) mod collection_effects;
mod collection_messages;
pub(crate) mod collection_reader;
pub(crate) mod collection_view;
pub(crate) mod collection_views;
pub(crate) mod left_out_entries;
pub(crate) mod list_pages;
pub(crate) mod malformed_entries;
mod object_retention;
pub(crate) mod paged_list;
pub(crate) mod peer_registry;
pub(crate) mod pending_routes;
mod received_changes;
pub(crate) mod rollout_effects;
pub(crate) mod rollout_status;
pub(crate) mod route_switch;
pub(crate) mod store_call;
pub(crate) mod store_client;
pub(crate) mod store_health;
pub(crate) mod store_watch;
pub(crate) mod stored_objects;
pub(crate) mod unnamed_services;
