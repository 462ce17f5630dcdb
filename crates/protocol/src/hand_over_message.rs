use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use wigeonhall_types::HandOverState;

/// Message in which the previous owner of a replica hands the replica over to the new one.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HandOverMessage {
    /// Epoch of the ownership table that names the receiver as owner.
    pub epoch: u64,
    /// Name of the replica.
    pub replica: Arc<str>,
    /// State of the replica at the previous owner.
    pub state: HandOverState,
}
