use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Where the entries of a deployment text stand, for findings.
#[derive(Debug, Default)]
pub(crate) struct Lines {
    /// Line, address and user of every address, also of entries with mistakes.
    pub(crate) addresses: Vec<(u64, SocketAddr, String)>,
    /// Name as given in `depends_on` and its line, by class.
    pub(crate) depends_on: BTreeMap<Arc<str>, Vec<(Arc<str>, u64)>>,
    pub(crate) classes: BTreeMap<Arc<str>, u64>,
    pub(crate) data_centres: BTreeMap<Arc<str>, u64>,
    /// Line and data centre of every replica and VM, also of those with mistakes.
    pub(crate) places: Vec<(u64, Arc<str>)>,
    pub(crate) replicas: BTreeMap<Arc<str>, u64>,
    pub(crate) services: BTreeMap<Arc<str>, u64>,
    pub(crate) vms: BTreeMap<Arc<str>, u64>,
}

/// The line of `name`, or 0.
pub(crate) fn line_of(lines: &BTreeMap<Arc<str>, u64>, name: &str) -> u64 {
    lines.get(name).copied().unwrap_or_default()
}
