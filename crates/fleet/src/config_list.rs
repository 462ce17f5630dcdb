use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::ConfigRecord;
use crate::PartHash;

/// One accepted generation, with its parts by name.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigManifest {
    /// Who applied it.
    pub author: Arc<str>,
    /// Random id of the change; tells whose update took effect.
    pub change_id: Arc<str>,
    /// Change ids of the evacuation overrides that this text contains.
    pub contains: Vec<Arc<str>>,
    /// Version of the object; larger is newer.
    pub generation: u64,
    /// The parts whose concatenation is the text.
    pub parts: Vec<PartHash>,
}

impl ConfigManifest {
    /// The record of this generation; `None` if `parts` lacks one of its parts.
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
