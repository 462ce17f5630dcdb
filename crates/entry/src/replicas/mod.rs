//! Replicas: connections and requests to them, and their responses.

pub(crate) mod idle_connections;
pub(crate) mod outgoing_request;
pub(crate) mod preconnect;
pub(crate) mod replica_client;
pub(crate) mod replica_response;
pub(crate) mod response_body;
pub(crate) mod response_reader;
pub(crate) mod sender_counts;
