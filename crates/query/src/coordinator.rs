use crate::QueryAction;
use crate::QueryCounters;
use crate::QueryEvent;
use wigeonhall_types::DataCentreKey;
use wigeonhall_types::NodeKey;

/// Fixed facts about the node that a coordinator runs on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CoordinatorConfig {
    /// Random id of this run of the process; part of every attempt id.
    pub boot: u64,
    /// Data centre of the node.
    pub data_centre: DataCentreKey,
    /// The node itself.
    pub node: NodeKey,
}

/// Decides what happens to each caller's request.
#[derive(Debug)]
pub struct Coordinator {
    config: CoordinatorConfig,
    counters: QueryCounters,
}

impl Coordinator {
    /// A coordinator that draws its choices from `seed`.
    #[must_use]
    pub fn new(config: CoordinatorConfig, _seed: u64) -> Self {
        Self {
            config,
            counters: QueryCounters::default(),
        }
    }

    /// Counters of decisions.
    #[must_use]
    pub const fn counters(&self) -> &QueryCounters {
        &self.counters
    }

    /// Takes one event and pushes what follows from it.
    pub fn handle(&mut self, _now_us: u64, _event: QueryEvent, _actions: &mut Vec<QueryAction>) {
        let _ = self.config;
    }

    /// Local time at which the next `Tick` is due.
    #[must_use]
    pub const fn next_wake_us(&self) -> Option<u64> {
        None
    }

    /// Number of requests not answered yet.
    #[must_use]
    pub const fn open_requests(&self) -> usize {
        0
    }
}
