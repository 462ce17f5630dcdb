use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use wigeonhall_fleet::ConfigManifest;
use wigeonhall_fleet::PartHash;
use wigeonhall_fleet::split_text;

/// Path of the object with the current configuration, the latest that the store accepted.
pub const CURRENT_PATH: &str = "config/current";
/// Path prefix of the copies of all configurations that the store accepted; the generation
/// follows.
pub const HISTORY_PREFIX: &str = "config/history/";
/// Largest total size, in bytes, of the new parts that are stored in the same object as the
/// list of parts. A node that watches this object can then apply a small change without
/// another read from the store.
pub const MAX_INLINE_PARTS_BYTES: usize = 65_536;

/// Value of `config/current` and `config/history/<generation>`, as JSON.
///
/// The generation is the store's version of the object `config/current`. It is not part of the
/// value, because the writer does not know it before the write.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredConfig {
    /// Who applied the change.
    pub author: Arc<str>,
    /// Random id of the change.
    pub change_id: Arc<str>,
    /// Change ids of the evacuations that operators ordered directly on nodes, without the store,
    /// and that this configuration includes; nodes then end these overrides.
    pub contains: Vec<Arc<str>>,
    /// Parts that the previous generation does not contain, if their total size is at most
    /// [`MAX_INLINE_PARTS_BYTES`]. They are also stored as objects of their own.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    new_parts: Vec<Arc<str>>,
    /// Hashes of the parts whose concatenation is the deployment in YAML.
    #[serde(default)]
    parts: Vec<PartHash>,
    /// Length of the deployment's text in bytes.
    #[serde(default)]
    size_bytes: usize,
    /// Whole text of the deployment, in the format without parts; the other format has none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    text: Option<Arc<str>>,
}

impl StoredConfig {
    /// Creates the value for a text that consists of `parts`. The previous generation does not
    /// contain `new_parts`.
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
            new_parts: if new_bytes <= MAX_INLINE_PARTS_BYTES {
                new_parts
            } else {
                Vec::new()
            },
            parts: parts.iter().map(|it| PartHash::of(it)).collect(),
            size_bytes: parts.iter().map(|it| it.len()).sum(),
            text: None,
        }
    }

    /// Returns whether the value has the format without parts.
    #[must_use]
    pub const fn has_unsplit_text(&self) -> bool {
        self.text.is_some()
    }

    /// Returns the length of the text in bytes.
    #[must_use]
    pub fn text_bytes(&self) -> usize {
        self.text.as_ref().map_or(self.size_bytes, |it| it.len())
    }

    /// Returns the manifest, which lists the hashes of all parts, and the parts that the value
    /// itself contains. A value in the format without parts contains the whole text, which is
    /// split here.
    #[must_use]
    pub fn into_manifest(self, generation: u64) -> (ConfigManifest, Vec<Arc<str>>) {
        let (hashes, parts) = if let Some(text) = &self.text {
            let parts = split_text(text);
            (parts.iter().map(|it| PartHash::of(it)).collect(), parts)
        } else {
            (self.parts, self.new_parts)
        };
        let manifest = ConfigManifest {
            author: self.author,
            change_id: self.change_id,
            contains: self.contains,
            generation,
            parts: hashes,
        };
        (manifest, parts)
    }
}
