use wigeonhall_types::DataCentreKey;
use wigeonhall_types::NodeKey;
use wigeonhall_types::ReplicaKey;

/// What happens to targets and data centres during a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Faults by rising time, in microseconds of virtual time.
    pub faults: Vec<(u64, Fault)>,
    /// Offered load as a share of the capacity of the busiest service.
    pub load: f64,
    /// Name in the tables.
    pub name: &'static str,
}

/// One thing that happens to targets or data centres.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Operators take a data centre out.
    DataCentreOut(DataCentreKey),
    /// Operators bring a data centre back.
    DataCentreIn(DataCentreKey),
    /// A target ends and does not come back.
    Lost(ReplicaKey),
    /// An entry node ends with all it holds.
    NodeLost(NodeKey),
    /// A new process takes the place of a lost entry node.
    NodeReplaced(NodeKey),
    /// A target ends and comes back cold after a second.
    Restart(ReplicaKey),
    /// A target takes this factor of its time from now on.
    Slow(ReplicaKey, f64),
    /// The next index version replaces the oldest one, target by target over a
    /// second; shards are split differently in it.
    VersionRoll,
}
