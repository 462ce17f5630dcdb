use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use wigeonhall_fleet::ConfigRecord;

/// Object that holds the accepted configuration.
pub const CURRENT_PATH: &str = "config/current";
/// Prefix of the copies of accepted configurations; the generation follows.
pub const HISTORY_PREFIX: &str = "config/history/";

/// Value of `config/current` and `config/history/<generation>`, as JSON.
///
/// The generation is the version of `config/current` and not part of the value,
/// because the writer does not know it before the write.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredConfig {
    /// Who applied it.
    pub author: Arc<str>,
    /// Random id of the change.
    pub change_id: Arc<str>,
    /// Change ids of the evacuation overrides that this text contains.
    pub contains: Vec<Arc<str>>,
    /// The deployment in YAML.
    pub text: Arc<str>,
}

impl StoredConfig {
    /// The record of a value that was read at this version.
    #[must_use]
    pub fn into_record(self, generation: u64) -> ConfigRecord {
        ConfigRecord {
            author: self.author,
            change_id: self.change_id,
            contains: self.contains,
            generation,
            text: self.text,
        }
    }
}
