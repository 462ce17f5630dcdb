use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// One entry of the platform's list of VMs. The list lags.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmStatus {
    /// Name of the VM.
    pub name: Arc<str>,
    /// What the platform says of it.
    pub state: VmState,
}

/// What the platform says of a VM; a VM that is not listed is gone.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// Leaves soon.
    Leaving,
    /// Runs.
    Live,
}
