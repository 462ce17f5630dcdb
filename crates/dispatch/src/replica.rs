use std::sync::Arc;

use crate::Registration;
use crate::ServiceKey;
use crate::health::Health;
use crate::notice::Standing;

/// A replica as one node knows it.
#[derive(Debug)]
pub struct Replica {
    /// Start of the last request while the replica was cold.
    pub(crate) cold_start_us: Option<u64>,
    /// What was seen of its behaviour.
    pub(crate) health: Health,
    /// Requests of this node that it has not answered.
    pub(crate) in_flight: u32,
    /// What it says of itself.
    pub registration: Registration,
    /// Time at which it is dropped, once its entry has gone.
    pub(crate) removed_at_us: Option<u64>,
    /// Its service.
    pub service: ServiceKey,
    /// What it asked of the node in its answers.
    pub(crate) standing: Standing,
    /// Whether operators took its data centre out.
    pub(crate) taken_out: bool,
    /// Time at which it is warm.
    pub(crate) warm_at_us: u64,
}

impl Replica {
    /// Its id.
    #[must_use]
    pub const fn id(&self) -> &Arc<str> {
        &self.registration.id
    }
}
