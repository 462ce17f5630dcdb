//! Digests, which nodes exchange to find out which records they lack.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Versions of all records that a node has.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Digest {
    /// Newest configuration generation of which the node has all parts; 0 if there is none.
    pub generation: u64,
    /// Change ids of the active evacuation overrides: requests to take a VM or a data centre out
    /// of service without the store.
    pub overrides: BTreeSet<Arc<str>>,
    /// Version of each ownership table, by name of the data centre.
    pub tables: BTreeMap<Arc<str>, TableVersion>,
}

/// Epoch of an ownership table and the age of the proof that it is the newest.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableVersion {
    /// Time since the table was proved to be the newest, in microseconds; `None` without a
    /// proof.
    pub age_us: Option<u64>,
    /// Epoch of the table; a larger epoch is newer.
    pub epoch: u64,
}
