use serde::Deserialize;
use serde::Serialize;

use crate::IndexVersion;
use crate::KeyRange;

/// An index version that a replica serves and the keys it holds in it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServedVersion {
    /// Key ranges held at this version, sorted, not overlapping.
    pub ranges: Vec<KeyRange>,
    /// The version.
    pub version: IndexVersion,
}
