use serde::Deserialize;
use serde::Serialize;

use crate::ServedVersion;

/// What an old owner tells the new owner of a replica.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HandOverState {
    /// Requests that may run at once; below the slots while the replica ramps.
    pub allowance: u32,
    /// Identity of the target process last seen.
    pub instance: Option<u64>,
    /// Requests of the old owner that still run; they count against the slots.
    pub running: u32,
    /// Time after which none of them runs any more, in microseconds from now.
    pub running_for_us: u64,
    /// Versions last seen.
    pub served: Vec<ServedVersion>,
    /// Typical time that the target takes for a request, in microseconds.
    pub service_us: u64,
}
