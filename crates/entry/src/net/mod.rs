//! Sockets and HTTP connections to replicas, peers and the store.

pub(crate) mod counted_body;
pub(crate) mod hooked_stream;
pub(crate) mod http_client;
pub(crate) mod listener;
pub(crate) mod socket;
