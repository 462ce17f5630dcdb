use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// One entry of the platform's list of VMs, which may be out of date.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmStatus {
    /// Name of the VM.
    pub name: Arc<str>,
    /// State of the VM.
    pub state: VmState,
}

/// State of a VM that the platform reports. A VM that is not listed no longer exists.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM will be removed soon.
    Leaving,
    /// The VM runs.
    Live,
}
