use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Versions that a node knows.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Digest {
    /// Newest known configuration, 0 if none is known.
    pub generation: u64,
    /// Ids of the evacuation overrides in effect.
    pub overrides: BTreeSet<Arc<str>>,
    /// Tables by name of the data centre.
    pub tables: BTreeMap<Arc<str>, TableVersion>,
}

/// Version of an ownership table and its freshness.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableVersion {
    /// Time since the table was proved the newest, in microseconds.
    pub age_us: Option<u64>,
    /// Version of the object.
    pub epoch: u64,
}
