use serde::Deserialize;
use serde::Serialize;

use crate::IndexVersion;
use crate::KeyRange;

/// An index version that a replica serves, with the keys that it holds at this version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServedVersion {
    /// Key ranges held at this version, sorted, not overlapping.
    pub ranges: Vec<KeyRange>,
    /// Version of the index.
    pub version: IndexVersion,
}
