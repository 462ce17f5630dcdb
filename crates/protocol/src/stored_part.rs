use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use wigeonhall_fleet::PartHash;

/// Time for which a part is kept once neither the current configuration nor a copy in
/// `config/history/` uses it.
pub const PART_RETENTION_HOURS: u64 = 24;
/// Time within which the store must accept a new configuration after its first part was
/// written. A part may be deleted [`PART_RETENTION_HOURS`] after that write at the earliest; the
/// difference allows for clocks that disagree.
pub const APPLY_TIMEOUT_HOURS: u64 = 1;
/// Path prefix of the parts; the hash follows.
pub const PARTS_PREFIX: &str = "config/parts/";

/// A part: a section of the deployment's text, stored under its hash. This is the value of
/// `config/parts/<hash>`, as JSON.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredPart {
    /// Text of the part; it never changes.
    pub text: Arc<str>,
    /// Time at which the part was found to be in no configuration, in milliseconds since
    /// the Unix epoch; `None` while the part is used. The part may be deleted
    /// [`PART_RETENTION_HOURS`] later, provided that the object still has the version that states
    /// this time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unused_since_ms: Option<u64>,
}

impl StoredPart {
    /// Creates a part that is in use.
    #[must_use]
    pub const fn new(text: Arc<str>) -> Self {
        Self {
            text,
            unused_since_ms: None,
        }
    }

    /// Returns the hash of the part at `path`; `None` if it is not the path of a part.
    #[must_use]
    pub fn hash_from_path(path: &str) -> Option<PartHash> {
        path.strip_prefix(PARTS_PREFIX)?.parse().ok()
    }

    /// Returns the path of the part with this hash.
    #[must_use]
    pub fn path(hash: PartHash) -> String {
        format!("{PARTS_PREFIX}{hash}")
    }

    /// Parses the value of a stored part; `None` if it is not the part with this hash.
    #[must_use]
    pub fn read(hash: PartHash, value: &str) -> Option<Self> {
        let part: Self = serde_json::from_str(value).ok()?;
        (PartHash::of(&part.text) == hash).then_some(part)
    }
}
