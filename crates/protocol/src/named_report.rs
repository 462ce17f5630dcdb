use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use wigeonhall_types::ReplicaReport;

/// Report on a replica, with its name.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct NamedReport {
    /// Name of the replica.
    pub replica: Arc<str>,
    /// Report of the owner.
    pub report: ReplicaReport,
}
