//! Callers: their connections and requests, and the responses that they get.

pub(crate) mod accepted_connection;
pub(crate) mod arrival_probe;
pub(crate) mod caller_body;
pub(crate) mod caller_connections;
pub(crate) mod caller_limits;
pub(crate) mod caller_request;
pub(crate) mod caller_response;
pub(crate) mod caller_server;
pub(crate) mod caller_stream;
pub(crate) mod credentials;
pub(crate) mod open_bodies;
pub(crate) mod probed_listener;
pub(crate) mod quota_admission;
pub(crate) mod responses;
