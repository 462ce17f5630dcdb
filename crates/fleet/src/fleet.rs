use crate::FleetAction;
use crate::FleetCounters;
use crate::FleetEvent;
use std::sync::Arc;
use wigeonhall_types::Catalog;
use wigeonhall_types::DataCentreKey;
use wigeonhall_types::NodeKey;

/// Fixed facts about the node that a fleet core runs on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FleetConfig {
    /// Random id of this run of the process.
    pub boot: u64,
    /// Data centre of the node.
    pub data_centre: DataCentreKey,
    /// The node itself.
    pub node: NodeKey,
    /// Nodes to ask before any configuration is known.
    pub seeds: Vec<NodeKey>,
    /// Region of the node.
    pub region: Arc<str>,
}

/// Keeps the configuration, the members and the ownership of one node.
#[derive(Debug)]
pub struct Fleet {
    config: FleetConfig,
    counters: FleetCounters,
}

impl Fleet {
    /// A fleet core that draws its choices from `seed`.
    #[must_use]
    pub fn new(config: FleetConfig, _seed: u64) -> Self {
        Self {
            config,
            counters: FleetCounters::default(),
        }
    }

    /// Counters of decisions.
    #[must_use]
    pub const fn counters(&self) -> &FleetCounters {
        &self.counters
    }

    /// Takes one event and pushes what follows from it.
    ///
    /// Names in messages are resolved through `catalog`.
    pub fn handle(
        &mut self,
        _now_us: u64,
        _event: FleetEvent,
        _catalog: &mut Catalog,
        _actions: &mut Vec<FleetAction>,
    ) {
        let _ = &self.config;
    }

    /// Local time at which the next `Tick` is due.
    #[must_use]
    pub const fn next_wake_us(&self) -> Option<u64> {
        None
    }
}
