use std::net::SocketAddr;
use std::sync::Arc;

use crate::Finding;
use crate::SettingsError;
use crate::nearest_name;
use crate::reader::Reader;
use crate::reader::field;
use crate::reader::item_line;
use crate::yaml::Entry;
use crate::yaml::Yaml;
use crate::yaml::YamlItem;

const KEYS: [&str; 10] = [
    "caller_address",
    "data_centre",
    "log_level",
    "name",
    "node_address",
    "object_api_address",
    "region",
    "seeds",
    "timeouts",
    "vm_list_address",
];

const LOG_LEVELS: [(&str, LogLevel); 6] = [
    ("debug", LogLevel::Debug),
    ("error", LogLevel::Error),
    ("info", LogLevel::Info),
    ("off", LogLevel::Off),
    ("trace", LogLevel::Trace),
    ("warn", LogLevel::Warn),
];

/// One hour; the maximum of each timeout.
const MAX_TIMEOUT_MS: u64 = 3_600_000;

/// Settings that a node reads at start, before it contacts the object API or other nodes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeSettings {
    /// Address on which the node serves HTTP to callers and operators.
    pub caller_address: SocketAddr,
    /// Name of the data centre.
    pub data_centre: Arc<str>,
    /// Lowest level that is logged.
    pub log_level: LogLevel,
    /// Name of the VM, as in the deployment.
    pub name: Arc<str>,
    /// Address on which other nodes connect to the node.
    pub node_address: SocketAddr,
    /// Address of the platform's object API, which stores the configuration.
    pub object_api_address: SocketAddr,
    /// Name of the region.
    pub region: Arc<str>,
    /// Nodes to contact before a configuration is known.
    pub seeds: Vec<SeedNode>,
    /// Timeouts of network operations and of the shutdown.
    pub timeouts: Timeouts,
    /// Address of the platform's VM list, which also shows planned removals of VMs.
    pub vm_list_address: SocketAddr,
}

/// A node to contact before a configuration is known.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SeedNode {
    /// Address on which other nodes connect to it.
    pub address: SocketAddr,
    /// Name of the VM.
    pub name: Arc<str>,
}

/// Lowest level that is logged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogLevel {
    /// Details for developers.
    Debug,
    /// Failures that need action by an operator.
    Error,
    /// Changes of state.
    Info,
    /// Disables logging.
    Off,
    /// Every step.
    Trace,
    /// Failures that the node handles itself.
    Warn,
}

impl LogLevel {
    /// Returns the name of the level in logging libraries.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Debug => "debug",
            Self::Error => "error",
            Self::Info => "info",
            Self::Off => "off",
            Self::Trace => "trace",
            Self::Warn => "warn",
        }
    }
}

/// Timeouts, in milliseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timeouts {
    /// For a message to another node. Less than a third of the 3 s lease, without which a
    /// node starts no requests, so that the lease survives two lost messages.
    pub node_call_ms: u64,
    /// For a connection to another node.
    pub node_connect_ms: u64,
    /// For a read or write of the object API. Two tries fit into the 3 s within which an
    /// accepted configuration must take effect.
    pub object_api_ms: u64,
    /// For a pending watch request to the object API.
    pub object_api_watch_ms: u64,
    /// For queries in flight to end after SIGTERM. Must exceed the deadlines of callers;
    /// otherwise a planned shutdown interrupts their requests.
    pub shutdown_ms: u64,
    /// For a connection to a target.
    pub target_connect_ms: u64,
    /// For the reply to a probe of a target.
    pub target_probe_ms: u64,
    /// For a read of the VM list.
    pub vm_list_ms: u64,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            node_call_ms: 800,
            node_connect_ms: 250,
            object_api_ms: 1_000,
            object_api_watch_ms: 20_000,
            shutdown_ms: 30_000,
            target_connect_ms: 250,
            target_probe_ms: 500,
            vm_list_ms: 1_000,
        }
    }
}

impl Timeouts {
    /// Returns every timeout with its settings key.
    fn fields(&mut self) -> [(&'static str, &mut u64); 8] {
        [
            ("node_call_ms", &mut self.node_call_ms),
            ("node_connect_ms", &mut self.node_connect_ms),
            ("object_api_ms", &mut self.object_api_ms),
            ("object_api_watch_ms", &mut self.object_api_watch_ms),
            ("shutdown_ms", &mut self.shutdown_ms),
            ("target_connect_ms", &mut self.target_connect_ms),
            ("target_probe_ms", &mut self.target_probe_ms),
            ("vm_list_ms", &mut self.vm_list_ms),
        ]
    }
}

/// Returns all findings about the settings of a node, ordered by line.
#[must_use]
pub fn check_node(text: &str) -> Vec<Finding> {
    read_text(text).1
}

/// Parses the settings of a node.
///
/// # Errors
///
/// [`SettingsError::Rejected`] with all findings if one of them is an error.
pub fn parse_node(text: &str) -> Result<NodeSettings, SettingsError> {
    match read_text(text) {
        (Some(settings), findings) if !findings.iter().any(Finding::is_error) => Ok(settings),
        (_, findings) => Err(SettingsError::Rejected(findings)),
    }
}

fn read_text(text: &str) -> (Option<NodeSettings>, Vec<Finding>) {
    let item = match Yaml::parse(text) {
        Ok(item) => item,
        Err(finding) => return (None, vec![finding]),
    };
    let mut reader = Reader::default();
    let settings = read_settings(&item, &mut reader);
    if let Some(settings) = &settings {
        check_addresses(settings, &mut reader);
    }
    (settings, reader.into_findings())
}

fn read_settings(item: &YamlItem, reader: &mut Reader) -> Option<NodeSettings> {
    let what = "the text";
    let entries = reader.mapping(item, what);
    reader.report_unknown_keys(entries, &KEYS, what);
    let caller_address = reader.address_field(entries, "caller_address", 1, what);
    let data_centre = read_name(entries, "data_centre", reader);
    let log_level = read_log_level(entries, reader);
    let own_name = read_name(entries, "name", reader);
    let node_address = reader.address_field(entries, "node_address", 1, what);
    let object_api_address = reader.address_field(entries, "object_api_address", 1, what);
    let region = read_name(entries, "region", reader);
    let seeds = read_seeds(entries, reader);
    let timeouts = read_timeouts(entries, reader);
    let vm_list_address = reader.address_field(entries, "vm_list_address", 1, what);
    Some(NodeSettings {
        caller_address: caller_address?,
        data_centre: data_centre?,
        log_level: log_level?,
        name: own_name?,
        node_address: node_address?,
        object_api_address: object_api_address?,
        region: region?,
        seeds,
        timeouts,
        vm_list_address: vm_list_address?,
    })
}

fn read_name(entries: &[Entry], key: &str, reader: &mut Reader) -> Option<Arc<str>> {
    let item = reader.required_field(entries, key, 1, "the text")?;
    reader.name_value(item, key)
}

fn read_log_level(entries: &[Entry], reader: &mut Reader) -> Option<LogLevel> {
    let Some(item) = field(entries, "log_level") else {
        return Some(LogLevel::Info);
    };
    // `off` parses as text, because only `true` and `false` are booleans.
    let text = reader.text(item, "log_level")?;
    let found = LOG_LEVELS.iter().find(|(name, _)| *name == &**text);
    if found.is_none() {
        let names = LOG_LEVELS.map(|(name, _)| name);
        let fix = nearest_name(text, names).map_or_else(
            || format!("write one of: {}", names.join(", ")),
            |nearest| format!("did you mean `{nearest}`?"),
        );
        reader.error(item_line(item), format!("`log_level` is `{text}`"), fix);
    }
    found.map(|(_, level)| *level)
}

fn read_seeds(entries: &[Entry], reader: &mut Reader) -> Vec<SeedNode> {
    let Some(item) = field(entries, "seeds") else {
        reader.warning(
            1,
            "there are no `seeds`".into(),
            "name some other nodes, or this node cannot start while the object API is down",
        );
        return Vec::new();
    };
    let mut seeds = Vec::new();
    for (name, item) in reader.mapping(item, "`seeds`") {
        let line = name.position.line.into();
        let name = name.value.clone();
        reader.check_name(&name, line, "a seed node");
        let address = reader
            .text(item, &name)
            .and_then(|text| reader.parse_address(text, item_line(item), &name));
        if let Some(address) = address {
            seeds.push(SeedNode { address, name });
        }
    }
    seeds
}

fn read_timeouts(entries: &[Entry], reader: &mut Reader) -> Timeouts {
    let mut timeouts = Timeouts::default();
    let Some(item) = field(entries, "timeouts") else {
        return timeouts;
    };
    let given = reader.mapping(item, "`timeouts`");
    let keys = timeouts.fields().map(|(key, _)| key);
    reader.report_unknown_keys(given, &keys, "`timeouts`");
    for (key, value) in timeouts.fields() {
        if let Some(ms) = reader.optional_whole_number(given, key, 1..=MAX_TIMEOUT_MS) {
            *value = ms;
        }
    }
    timeouts
}

fn check_addresses(settings: &NodeSettings, reader: &mut Reader) {
    if settings.caller_address == settings.node_address {
        reader.error(
            1,
            format!(
                "`caller_address` and `node_address` are both {}",
                settings.node_address
            ),
            "give each its own port",
        );
    }
    let is_mismatched =
        |seed: &&SeedNode| (seed.name == settings.name) != (seed.address == settings.node_address);
    for seed in settings.seeds.iter().filter(is_mismatched) {
        reader.error(
            1,
            format!(
                "seed node `{}` at {} has the name or the address of this node, but not both",
                seed.name, seed.address
            ),
            "correct the seed node or the settings of this node",
        );
    }
}
