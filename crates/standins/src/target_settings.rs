use std::net::SocketAddr;
use std::sync::Arc;

use wigeonhall_types::Catalog;
use wigeonhall_types::ColdBound;
use wigeonhall_types::Deployment;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::KeyRange;
use wigeonhall_types::ServedVersion;

/// How a target is made.
#[derive(Clone, Debug)]
pub struct TargetSettings {
    /// Loopback address; port 0 stands for any free port.
    pub address: SocketAddr,
    /// Cold start after each start; `None` for a target that is always warm.
    pub cold: Option<ColdSettings>,
    /// Time from the arrival of a connection to the start of its first request.
    pub connect_us: u64,
    /// Largest number of open connections; more are closed unread.
    pub connections: u32,
    /// Mean of the exponential part of the service time.
    pub jitter_us: u64,
    /// Name of the replica.
    pub name: Arc<str>,
    /// Distance between the keys that have a row.
    pub row_spacing: u64,
    /// Seed of the service times.
    pub seed: u64,
    /// Fixed part of the service time.
    pub service_us: u64,
    /// Requests that run at once; more are shed.
    pub slots: u32,
    /// Versions served, by rising version.
    pub versions: Vec<ServedVersion>,
}

/// Cold start of a target. The load it bears starts at the bound and doubles
/// after each full round of completed requests until it reaches the slots.
#[derive(Clone, Copy, Debug)]
pub struct ColdSettings {
    /// Load borne at first.
    pub bound: ColdBound,
    /// What more load does.
    pub on_violation: ColdViolation,
}

/// What a target does when it gets more load in cold start than it bears.
#[derive(Clone, Copy, Debug)]
pub enum ColdViolation {
    /// Counts it only.
    Count,
    /// Breaks all connections and starts again.
    FallOver,
    /// Multiplies the service times by this until the target is warm.
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
    /// Settings of the targets of a deployment. The services of each class divide
    /// the key space evenly, in order; a service of several classes has the part
    /// that the first of them gives it.
    #[must_use]
    pub fn of_deployment(deployment: &Deployment, catalog: &Catalog) -> Vec<Self> {
        let mut all = Vec::new();
        for (&key, replica) in &deployment.replicas {
            let range = deployment.classes.values().find_map(|class| {
                let services = &class.depends_on;
                let index = services.iter().position(|&it| it == replica.service)?;
                Some(part(index as u64, services.len() as u64))
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

fn part(index: u64, count: u64) -> KeyRange {
    let end = KeyRange::WHOLE.end;
    KeyRange {
        start: end * index / count,
        end: end * (index + 1) / count,
    }
}
