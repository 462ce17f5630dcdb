use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// One accepted generation of the operators' text, as stored at `config/current`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigRecord {
    /// Who applied it.
    pub author: Arc<str>,
    /// Random id of the change; tells whose update took effect.
    pub change_id: Arc<str>,
    /// Change ids of the evacuation overrides that this text contains.
    pub contains: Vec<Arc<str>>,
    /// Version of the object; larger is newer. Not part of the stored value.
    pub generation: u64,
    /// The deployment in YAML.
    pub text: Arc<str>,
}
