use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use wigeonhall_types::ReplicaReport;

/// Report of one replica.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct NamedReport {
    /// Name of the replica.
    pub replica: Arc<str>,
    /// What its owner knows.
    pub report: ReplicaReport,
}
