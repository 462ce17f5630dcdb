use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use wigeonhall_fleet::PartHash;

/// Time for which a part is kept that neither the accepted configuration nor the
/// history names.
pub const PART_RETENTION_HOURS: u64 = 24;
/// Time within which a change is accepted after its first part was written. A part may
/// be deleted [`PART_RETENTION_HOURS`] after that; the rest is for the difference between
/// clocks.
pub const APPLY_TIMEOUT_HOURS: u64 = 1;
/// Prefix of the parts of texts; the hash follows.
pub const PARTS_PREFIX: &str = "config/parts/";

/// Value of `config/parts/<hash>`, as JSON.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredPart {
    /// The part; it never changes.
    pub text: Arc<str>,
    /// When nothing was found that names it, in ms since the Unix epoch; it may be
    /// deleted [`PART_RETENTION_HOURS`] later, at the version that says so.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unused_since_ms: Option<u64>,
}

impl StoredPart {
    /// A part that is used.
    #[must_use]
    pub const fn new(text: Arc<str>) -> Self {
        Self {
            text,
            unused_since_ms: None,
        }
    }

    /// Hash of the part at a path; `None` if it is not the path of a part.
    #[must_use]
    pub fn hash_from_path(path: &str) -> Option<PartHash> {
        path.strip_prefix(PARTS_PREFIX)?.parse().ok()
    }

    /// Path of a part.
    #[must_use]
    pub fn path(hash: PartHash) -> String {
        format!("{PARTS_PREFIX}{hash}")
    }

    /// Reads a part; `None` if the value is not the part with this hash.
    #[must_use]
    pub fn read(hash: PartHash, value: &str) -> Option<Self> {
        let part: Self = serde_json::from_str(value).ok()?;
        (PartHash::of(&part.text) == hash).then_some(part)
    }
}
