use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A message between nodes; one way, answers are messages too.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum GossipMessage {
    /// Takes work away from a data centre or VM while the store is down.
    Evacuate(EvacuationOverride),
    /// An ownership table.
    Table(TableRecord),
}

/// Takes a data centre or VM out without the store; it never brings one back.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct EvacuationOverride {
    /// Who asked for it.
    pub author: Arc<str>,
    /// Random id; the override ends when a configuration contains this id.
    pub change_id: Arc<str>,
    /// Name of the data centre, if one is taken out.
    pub data_centre: Option<Arc<str>>,
    /// Name of the VM, if one is taken out.
    pub vm: Option<Arc<str>>,
}

/// An ownership table by names, as stored at `owners/<data centre>`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableRecord {
    /// Name of the data centre.
    pub data_centre: Arc<str>,
    /// Version of the object; larger is newer. Not part of the stored value.
    pub epoch: u64,
    /// Names of the nodes that may own replicas, sorted.
    pub members: Vec<Arc<str>>,
    /// Replica to owner, by name.
    pub owners: BTreeMap<Arc<str>, Arc<str>>,
    /// Random id of the write; tells whose update took effect.
    pub write_id: u64,
}
