use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use wigeonhall_types::ClassKind;
use wigeonhall_types::ColdBound;
use wigeonhall_types::ServiceLevel;

/// Parsed deployment text, by name and with defaults filled in.
///
/// Texts that differ only in layout and comments are equal once parsed. Every name that a
/// value refers to is a key of the corresponding map.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DeploymentText {
    /// Query classes.
    pub classes: BTreeMap<Arc<str>, ClassText>,
    /// Data centres.
    pub data_centres: BTreeMap<Arc<str>, DataCentreText>,
    /// Replicas of all services; replica names are unique within the text.
    pub replicas: BTreeMap<Arc<str>, ReplicaText>,
    /// Shard services.
    pub services: BTreeSet<Arc<str>>,
    /// Entry VMs.
    pub vms: BTreeMap<Arc<str>, VmText>,
}

/// A query class: an entry of `services` that has `depends_on`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClassText {
    /// Deadline of queries that state none, in milliseconds.
    pub deadline_ms: u64,
    /// Names of the shard services that serve a query of this class.
    pub depends_on: BTreeSet<Arc<str>>,
    /// Whether requests are idempotent.
    pub kind: ClassKind,
    /// Service-level objective.
    pub level: ServiceLevel,
    /// Maximum share of a replica's slots while other classes wait for it, in percent.
    pub slot_share_percent: u32,
    /// Scheduling weight among the classes that wait for the same replica.
    pub weight: u32,
}

/// A data centre.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DataCentreText {
    /// Whether it is out of service.
    pub out: bool,
    /// Name of the region.
    pub region: Arc<str>,
}

/// A replica of a shard service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaText {
    /// HTTP address.
    pub address: SocketAddr,
    /// Maximum load during a cold start.
    pub cold: ColdBound,
    /// Time that the replica takes to accept a new connection, in microseconds.
    pub connect_us: u64,
    /// Maximum number of open connections from all nodes together.
    pub connections: u32,
    /// Name of the data centre.
    pub data_centre: Arc<str>,
    /// Whether it is out of service.
    pub out: bool,
    /// Name of the shard service.
    pub service: Arc<str>,
    /// Maximum number of requests in flight from all nodes together.
    pub slots: u32,
}

/// An entry VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmText {
    /// Address on which callers connect.
    pub caller_address: SocketAddr,
    /// Name of the data centre.
    pub data_centre: Arc<str>,
    /// Address on which other nodes connect.
    pub node_address: SocketAddr,
    /// Whether it is out of service.
    pub out: bool,
}
