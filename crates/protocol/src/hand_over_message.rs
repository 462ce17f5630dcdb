use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use wigeonhall_types::HandOverState;

/// Hands over the limits of a replica to its new owner.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HandOverMessage {
    /// Epoch of the ownership table that names the receiver as owner.
    pub epoch: u64,
    /// Name of the replica.
    pub replica: Arc<str>,
    /// State of the replica at the previous owner.
    pub state: HandOverState,
}
