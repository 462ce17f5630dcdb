use std::net::SocketAddr;

use crate::DataCentreKey;
use crate::ServiceKey;

/// One replica of a shard service, with the limits that the deployment sets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Replica {
    /// HTTP address of the target.
    pub address: SocketAddr,
    /// Largest load of the replica at the beginning of a cold start.
    pub cold: ColdBound,
    /// Time that the target takes to accept a new connection, in microseconds.
    pub connect_us: u64,
    /// Largest number of open connections, from all nodes together.
    pub connections: u32,
    /// Data centre of the replica.
    pub data_centre: DataCentreKey,
    /// Whether operators took the replica out of service.
    pub out: bool,
    /// Shard service that the replica belongs to.
    pub service: ServiceKey,
    /// Largest number of requests that run at once, from all nodes together.
    pub slots: u32,
}

/// Cold bound of a replica: the largest load that it can bear when it has just started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ColdBound {
    /// Largest number of starts in any one second, at least 1.
    pub requests_per_s: u32,
    /// Largest number of requests that run at once, from 1 to the slots of the replica.
    pub slots: u32,
}
