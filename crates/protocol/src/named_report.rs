use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use wigeonhall_types::ReplicaReport;

/// Report on the load and state of a replica, with its name.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct NamedReport {
    /// Name of the replica.
    pub replica: Arc<str>,
    /// Report of the owner, the one node through which all requests to the replica go.
    pub report: ReplicaReport,
}
