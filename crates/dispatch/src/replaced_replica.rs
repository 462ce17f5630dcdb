use std::net::SocketAddr;
use std::sync::Arc;

/// A replica that was dropped, as a later one registered its address.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplacedReplica {
    /// Address of both.
    pub address: SocketAddr,
    /// Id of the dropped replica.
    pub replica: Arc<str>,
    /// Service of the dropped replica.
    pub service: Arc<str>,
    /// Id of the later replica.
    pub successor: Arc<str>,
    /// Service of the later replica.
    pub successor_service: Arc<str>,
}
