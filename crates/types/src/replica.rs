use std::net::SocketAddr;

use crate::DataCentreKey;
use crate::ServiceKey;

/// One replica of a shard service and the limits its operators state for it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Replica {
    /// HTTP address.
    pub address: SocketAddr,
    /// Load that the replica bears in cold start.
    pub cold: ColdBound,
    /// Time that the target takes to accept a new connection, in microseconds.
    pub connect_us: u64,
    /// Largest number of open connections, over the whole fleet.
    pub connections: u32,
    /// Data centre that holds the replica.
    pub data_centre: DataCentreKey,
    /// Taken out by operators.
    pub out: bool,
    /// Service that this is a replica of.
    pub service: ServiceKey,
    /// Largest number of requests that run at once, over the whole fleet.
    pub slots: u32,
}

/// Load that a replica bears in cold start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ColdBound {
    /// Starts allowed in any one second, at least 1.
    pub requests_per_s: u32,
    /// Requests that may run at once, from 1 to the replica's slots.
    pub slots: u32,
}
