use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use wigeonhall_types::ClassKind;
use wigeonhall_types::ColdBound;
use wigeonhall_types::ServiceLevel;

/// Content of the operators' text by names, with defaults filled in.
///
/// Two texts that differ only in layout and comments have equal content. Every
/// name in a value is a key of the map it points to.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DeploymentText {
    /// Query classes.
    pub classes: BTreeMap<Arc<str>, ClassText>,
    /// Data centres.
    pub data_centres: BTreeMap<Arc<str>, DataCentreText>,
    /// Replicas of all services; their names are unique over the text.
    pub replicas: BTreeMap<Arc<str>, ReplicaText>,
    /// Shard services.
    pub services: BTreeSet<Arc<str>>,
    /// Entry VMs.
    pub vms: BTreeMap<Arc<str>, VmText>,
}

/// A service with `depends_on`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClassText {
    /// Deadline of a query that names none, in milliseconds.
    pub deadline_ms: u64,
    /// Names of shard services.
    pub depends_on: BTreeSet<Arc<str>>,
    /// Whether requests are idempotent.
    pub kind: ClassKind,
    /// Service-level target.
    pub level: ServiceLevel,
    /// Largest share of a replica's slots while others wait, in percent.
    pub slot_share_percent: u32,
    /// Weight among the classes that wait for the same replica.
    pub weight: u32,
}

/// A data centre.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DataCentreText {
    /// Taken out of service.
    pub out: bool,
    /// Name of its region.
    pub region: Arc<str>,
}

/// A replica of a shard service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaText {
    /// HTTP address.
    pub address: SocketAddr,
    /// Load that it bears in cold start.
    pub cold: ColdBound,
    /// Time to accept a new connection, in microseconds.
    pub connect_us: u64,
    /// Largest number of open connections over the fleet.
    pub connections: u32,
    /// Name of its data centre.
    pub data_centre: Arc<str>,
    /// Taken out of service.
    pub out: bool,
    /// Name of its service.
    pub service: Arc<str>,
    /// Largest number of requests that run at once over the fleet.
    pub slots: u32,
}

/// An entry VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmText {
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Name of its data centre.
    pub data_centre: Arc<str>,
    /// Address for other nodes.
    pub node_address: SocketAddr,
    /// Taken out of service.
    pub out: bool,
}
