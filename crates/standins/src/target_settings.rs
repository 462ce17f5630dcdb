use std::net::SocketAddr;
use std::sync::Arc;

use wigeonhall_types::ColdBound;
use wigeonhall_types::Deployment;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::KeyRange;
use wigeonhall_types::NameCatalog;
use wigeonhall_types::ServedVersion;

/// Settings of a stand-in target.
#[derive(Clone, Debug)]
pub struct TargetSettings {
    /// Loopback address; port 0 selects a free port.
    pub address: SocketAddr,
    /// Cold start after each start and restart; `None` for a target that is always warm.
    pub cold: Option<ColdSettings>,
    /// Delay from accepting a connection until its first request is handled.
    pub connect_us: u64,
    /// Maximum number of open connections; further ones are closed without reading
    /// from them.
    pub connections: u32,
    /// Mean of the random, exponentially distributed part of the service time.
    pub jitter_us: u64,
    /// Name of the replica.
    pub name: Arc<str>,
    /// Distance between two consecutive keys that have a row.
    pub row_spacing: u64,
    /// Seed of the random service times and instance ids.
    pub seed: u64,
    /// Fixed part of the service time.
    pub service_us: u64,
    /// Maximum number of concurrently running requests; further ones are shed.
    pub slots: u32,
    /// Served versions in ascending order.
    pub versions: Vec<ServedVersion>,
}

/// Cold start of a target. Its load limits are `bound` at first, and double each time a
/// number of requests equal to the current limit has completed, until they reach the slots.
#[derive(Clone, Copy, Debug)]
pub struct ColdSettings {
    /// Initial load limits.
    pub bound: ColdBound,
    /// Effect of load above the limits.
    pub on_violation: ColdViolation,
}

/// Effect of load above the limits of a cold start.
#[derive(Clone, Copy, Debug)]
pub enum ColdViolation {
    /// Only counts the violation.
    Count,
    /// Restarts the target, which closes all its connections.
    Restart,
    /// Multiplies the service times by this factor until the target is warm.
    Slow(f64),
}

impl Default for TargetSettings {
    fn default() -> Self {
        Self {
            address: ([127, 0, 0, 1], 0).into(),
            cold: None,
            connect_us: 0,
            connections: 3,
            jitter_us: 0,
            name: "target".into(),
            row_spacing: 1 << 24,
            seed: 1,
            service_us: 0,
            slots: 2,
            versions: vec![ServedVersion {
                ranges: vec![KeyRange::WHOLE],
                version: IndexVersion(1),
            }],
        }
    }
}

impl TargetSettings {
    /// Returns the settings of all targets of a deployment. The shard services of
    /// each query class divide the key space evenly, in order; a service of several classes
    /// holds the range that the first of them assigns to it.
    #[must_use]
    pub fn of_deployment(deployment: &Deployment, catalog: &NameCatalog) -> Vec<Self> {
        let mut all = Vec::new();
        for (&key, replica) in &deployment.replicas {
            let range = deployment.classes.values().find_map(|class| {
                let services = &class.depends_on;
                let index = services.iter().position(|&it| it == replica.service)?;
                Some(partition_range(index as u64, services.len() as u64))
            });
            all.push(Self {
                address: replica.address,
                cold: Some(ColdSettings {
                    bound: replica.cold,
                    on_violation: ColdViolation::Count,
                }),
                connect_us: replica.connect_us,
                connections: replica.connections,
                name: catalog.replica_name(key),
                seed: u64::from(key.0) + 1,
                slots: replica.slots,
                versions: vec![ServedVersion {
                    ranges: vec![range.unwrap_or(KeyRange::WHOLE)],
                    version: IndexVersion(1),
                }],
                ..Self::default()
            });
        }
        all
    }
}

fn partition_range(index: u64, count: u64) -> KeyRange {
    let end = KeyRange::WHOLE.end;
    KeyRange {
        start: end * index / count,
        end: end * (index + 1) / count,
    }
}
