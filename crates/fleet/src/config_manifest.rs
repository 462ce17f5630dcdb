//! Manifest of a configuration: its metadata and the hashes of its parts.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::ConfigRecord;
use crate::PartHash;

/// Manifest of one accepted generation, which lists its parts by hash.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigManifest {
    /// Operator who applied the configuration.
    pub author: Arc<str>,
    /// Random id of the change; shows whose update took effect.
    pub change_id: Arc<str>,
    /// Change ids of the evacuation overrides (requests to take a VM or a data centre out of
    /// service without the store) that this configuration contains and so ends.
    pub contains: Vec<Arc<str>>,
    /// Version of the configuration; a larger generation is newer.
    pub generation: u64,
    /// Hashes of the parts whose concatenation is the text.
    pub parts: Vec<PartHash>,
}

impl ConfigManifest {
    /// Returns the full record of this generation; `None` if `parts` lacks any of its
    /// parts.
    #[must_use]
    pub fn record(&self, parts: &BTreeMap<PartHash, Arc<str>>) -> Option<ConfigRecord> {
        let texts = self.parts.iter().map(|it| parts.get(it).cloned());
        Some(ConfigRecord {
            author: Arc::clone(&self.author),
            change_id: Arc::clone(&self.change_id),
            contains: self.contains.clone(),
            generation: self.generation,
            parts: texts.collect::<Option<_>>()?,
        })
    }
}
