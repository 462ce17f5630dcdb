use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use wigeonhall_fleet::ConfigManifest;
use wigeonhall_fleet::PartHash;
use wigeonhall_fleet::cut;

/// Object that holds the accepted configuration.
pub const CURRENT_PATH: &str = "config/current";
/// Prefix of the copies of accepted configurations; the generation follows.
pub const HISTORY_PREFIX: &str = "config/history/";
/// Largest sum of the new parts that are stored with the list. A node that watches the
/// list then needs no second answer of the store to put a small change in force.
pub const NEW_PARTS_BYTES: usize = 65_536;

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
    /// The parts that the generation before does not name, if they have no more than
    /// [`NEW_PARTS_BYTES`] together; they are stored as objects too.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    new_parts: Vec<Arc<str>>,
    /// The parts whose concatenation is the deployment in YAML.
    #[serde(default)]
    parts: Vec<PartHash>,
    /// Length of the text.
    #[serde(default)]
    size_bytes: usize,
    /// The text in the old form, in which it was not cut into parts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    text: Option<Arc<str>>,
}

impl StoredConfig {
    /// The value for a text, of which the generation before lacks `new_parts`.
    #[must_use]
    pub fn new(
        author: Arc<str>,
        change_id: Arc<str>,
        contains: Vec<Arc<str>>,
        parts: &[Arc<str>],
        new_parts: Vec<Arc<str>>,
    ) -> Self {
        let new_bytes = new_parts.iter().map(|it| it.len()).sum::<usize>();
        Self {
            author,
            change_id,
            contains,
            new_parts: if new_bytes <= NEW_PARTS_BYTES {
                new_parts
            } else {
                Vec::new()
            },
            parts: parts.iter().map(|it| PartHash::of(it)).collect(),
            size_bytes: parts.iter().map(|it| it.len()).sum(),
            text: None,
        }
    }

    /// Whether the text is not cut into parts.
    #[must_use]
    pub const fn has_unsplit_text(&self) -> bool {
        self.text.is_some()
    }

    /// Length of the text in bytes.
    #[must_use]
    pub fn text_bytes(&self) -> usize {
        self.text.as_ref().map_or(self.size_bytes, |it| it.len())
    }

    /// The list of a value that was read at this version, and the parts that came with
    /// it; all of them if the value has the old form.
    #[must_use]
    pub fn into_list(self, generation: u64) -> (ConfigManifest, Vec<Arc<str>>) {
        let (hashes, parts) = if let Some(text) = &self.text {
            let parts = cut(text);
            (parts.iter().map(|it| PartHash::of(it)).collect(), parts)
        } else {
            (self.parts, self.new_parts)
        };
        let list = ConfigManifest {
            author: self.author,
            change_id: self.change_id,
            contains: self.contains,
            generation,
            parts: hashes,
        };
        (list, parts)
    }
}
