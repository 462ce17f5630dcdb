use wigeonhall_types::DataCentreKey;
use wigeonhall_types::NodeKey;
use wigeonhall_types::ReplicaKey;

/// Load and faults of a measured run.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Faults, ordered by the virtual time at which they occur, in microseconds.
    pub faults: Vec<(u64, Fault)>,
    /// Offered load as a share of the capacity of the busiest service.
    pub load: f64,
    /// Name printed in the tables.
    pub name: &'static str,
}

/// A fault or an operator's change that affects a target, an entry node or a data centre.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Operators take a data centre out of service.
    DataCentreOut(DataCentreKey),
    /// Operators return a data centre to service.
    DataCentreIn(DataCentreKey),
    /// A target crashes and is not restarted.
    TargetLost(ReplicaKey),
    /// An entry node crashes and loses its state.
    NodeLost(NodeKey),
    /// A new process replaces a lost entry node.
    NodeReplaced(NodeKey),
    /// A target crashes and restarts cold after one second.
    TargetRestart(ReplicaKey),
    /// Multiplies the service times of a target by this factor from now on.
    TargetSlow(ReplicaKey, f64),
    /// Rolls out the next index version, which replaces the oldest one. Each target changes
    /// at a random time within one second, and the version splits the key space differently.
    VersionRoll,
}
