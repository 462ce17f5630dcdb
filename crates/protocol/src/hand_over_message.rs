use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use wigeonhall_types::HandOverState;

/// Message in which the previous owner of a replica, the one node that sent all requests to it,
/// hands the replica over to the new owner.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HandOverMessage {
    /// Epoch (version) of the ownership table that names the receiver as owner.
    pub epoch: u64,
    /// Name of the replica.
    pub replica: Arc<str>,
    /// State of the replica at the previous owner.
    pub state: HandOverState,
}
