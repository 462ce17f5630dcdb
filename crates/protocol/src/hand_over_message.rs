use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use wigeonhall_types::HandOverState;

/// Hands the limits of a replica to its new owner.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HandOverMessage {
    /// Epoch of the table that names the receiver as owner.
    pub epoch: u64,
    /// Name of the replica.
    pub replica: Arc<str>,
    /// What the old owner knows.
    pub state: HandOverState,
}
