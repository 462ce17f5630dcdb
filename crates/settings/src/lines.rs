use std::collections::BTreeMap;
use std::fmt::Display;
use std::fmt::Formatter;
use std::net::SocketAddr;
use std::sync::Arc;

/// Where the entries of a deployment text stand, for findings.
#[derive(Debug, Default)]
pub(crate) struct Lines {
    /// Line, address and user of every address, also of entries with mistakes; empty
    /// unless `every_entry`.
    pub(crate) addresses: Vec<(u64, SocketAddr, AddressUser)>,
    /// Name as given in `depends_on` and its line, by class.
    pub(crate) depends_on: BTreeMap<Arc<str>, Vec<(Arc<str>, u64)>>,
    pub(crate) classes: BTreeMap<Arc<str>, u64>,
    pub(crate) data_centres: BTreeMap<Arc<str>, u64>,
    /// Whether the lines of replicas and VMs are kept. They are most of the entries, and
    /// only findings that reject the text need them.
    pub(crate) every_entry: bool,
    /// Line and data centre of every replica and VM, also of those with mistakes; empty
    /// unless `every_entry`.
    pub(crate) places: Vec<(u64, Arc<str>)>,
    /// All replicas in the order of the text; empty unless `every_entry`.
    pub(crate) replicas: Vec<ReplicaLine>,
    pub(crate) services: BTreeMap<Arc<str>, u64>,
}

/// Where a replica stands.
#[derive(Debug)]
pub(crate) struct ReplicaLine {
    pub(crate) at: u64,
    pub(crate) name: Arc<str>,
    pub(crate) service: Arc<str>,
    /// Whether the entry has no mistakes.
    pub(crate) valid: bool,
}

/// The user of an address; formatted only for a finding.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct AddressUser {
    kind: &'static str,
    name: Arc<str>,
}

impl AddressUser {
    pub(crate) fn new(kind: &'static str, name: &Arc<str>) -> Self {
        let name = name.clone();
        Self { kind, name }
    }
}

impl Display for AddressUser {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} `{}`", self.kind, self.name)
    }
}

/// The line of `name`, or 0.
pub(crate) fn line_of(lines: &BTreeMap<Arc<str>, u64>, name: &str) -> u64 {
    lines.get(name).copied().unwrap_or_default()
}
