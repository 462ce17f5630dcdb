use std::collections::BTreeMap;
use std::fmt::Display;
use std::fmt::Formatter;
use std::net::SocketAddr;
use std::sync::Arc;

/// Line numbers of the entries of a deployment text, for findings.
#[derive(Debug, Default)]
pub(crate) struct LineIndex {
    /// Line, address and use of every address, including those of invalid entries. Empty
    /// unless `record_entries` is set.
    pub(crate) addresses: Vec<(u64, SocketAddr, AddressUse)>,
    /// Names in `depends_on` and their lines, by class.
    pub(crate) depends_on: BTreeMap<Arc<str>, Vec<(Arc<str>, u64)>>,
    pub(crate) classes: BTreeMap<Arc<str>, u64>,
    pub(crate) data_centres: BTreeMap<Arc<str>, u64>,
    /// Whether to record the lines of replicas and VMs. These make up most of the entries,
    /// and only findings that reject the text need them.
    pub(crate) record_entries: bool,
    /// Line and data centre of every replica and VM, including invalid ones. Empty unless
    /// `record_entries` is set.
    pub(crate) data_centre_uses: Vec<(u64, Arc<str>)>,
    /// All replicas in the order of the text. Empty unless `record_entries` is set.
    pub(crate) replicas: Vec<ReplicaLine>,
    pub(crate) services: BTreeMap<Arc<str>, u64>,
}

/// Line of a replica.
#[derive(Debug)]
pub(crate) struct ReplicaLine {
    pub(crate) line: u64,
    pub(crate) name: Arc<str>,
    pub(crate) service: Arc<str>,
    /// Whether the entry has no errors.
    pub(crate) valid: bool,
}

/// What an address is used for. Formatted only when a finding is reported.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct AddressUse {
    /// What the address belongs to, such as `caller address of VM`.
    kind: &'static str,
    name: Arc<str>,
}

impl AddressUse {
    pub(crate) fn new(kind: &'static str, name: &Arc<str>) -> Self {
        let name = name.clone();
        Self { kind, name }
    }
}

impl Display for AddressUse {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} `{}`", self.kind, self.name)
    }
}

/// Returns the line of `name`, or 0 if it has none.
pub(crate) fn line_of(lines: &BTreeMap<Arc<str>, u64>, name: &str) -> u64 {
    lines.get(name).copied().unwrap_or_default()
}
