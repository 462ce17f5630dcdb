use crate::Fault;
use wigeonhall_query::CoverageDemand;
use wigeonhall_types::ClassKey;
use wigeonhall_types::DataCentreKey;
use wigeonhall_types::KeyRange;
use wigeonhall_types::NodeKey;
use wigeonhall_types::ReplicaKey;

/// One thing that happens in a session, at a time that its author states.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// The target stops what it runs and says so, without being asked.
    Abort(ReplicaKey),
    /// Two operators submit changes that both rest on the generation in force.
    Conflict(Edit, Edit),
    /// An operator changes the deployment.
    Deploy(Edit),
    /// A target starts to drain; it refuses new requests and finishes running ones.
    Drain(ReplicaKey),
    /// Something happens to targets or data centres.
    Fault(Fault),
    /// No lease reaches the node for this time, in microseconds.
    WithholdLeases(NodeKey, u64),
    /// Messages between nodes are lost, late or doubled for this time, in microseconds.
    MessageFaults(MessageFaults, u64),
    /// The store takes the next call of a node, but the reply is lost.
    LoseStoreReply,
    /// The target runs its next request to the end, but the reply is lost.
    LoseTargetReply(ReplicaKey),
    /// A new ownership table names another owner.
    Move {
        /// The hand-over of the old owner is not lost.
        handed_over: bool,
        /// The replica.
        replica: ReplicaKey,
        /// New owner, a node of the replica's data centre.
        to: NodeKey,
    },
    /// The target heeds no deadline and no cancellation, but ends work this long after its
    /// deadline, in microseconds; 0 ends the fault.
    Overrun(ReplicaKey, u64),
    /// The node handles nothing for this time, in microseconds, and then everything late.
    Pause(NodeKey, u64),
    /// A caller reads.
    Read {
        /// Class.
        class: ClassKey,
        /// Time until the deadline, in microseconds.
        deadline_us: u64,
        /// Coverage that the caller insists on.
        demand: CoverageDemand,
        /// Entry node.
        node: NodeKey,
        /// Keys.
        range: KeyRange,
    },
    /// A target ends and a new process takes its place at once, cold.
    Reset(ReplicaKey),
    /// A node ends and does not come back.
    Stop(NodeKey),
    /// The store answers like this from now on.
    Store(StoreMode),
    /// A caller writes.
    Write {
        /// Class.
        class: ClassKey,
        /// Time until the deadline, in microseconds.
        deadline_us: u64,
        /// The caller never sent the request before.
        first: bool,
        /// Key.
        key: u64,
        /// Entry node.
        node: NodeKey,
        /// Request id, rendered as `request-<number>`.
        request: u32,
    },
}

/// A change of the deployment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Edit {
    /// Takes a data centre out, or brings it back.
    DataCentre(DataCentreKey, bool),
    /// Takes a replica out, or brings it back.
    Replica(ReplicaKey, bool),
}

/// Faults of the messages between nodes, each in percent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MessageFaults {
    /// Messages that arrive twice.
    pub doubled: u8,
    /// Messages that are late, so that later ones overtake them.
    pub late: u8,
    /// Messages that never arrive.
    pub lost: u8,
}

/// How the store answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreMode {
    /// Takes no call.
    Down,
    /// Takes each call this much later, in microseconds.
    Slow(u64),
    /// Takes each call at once.
    #[default]
    Up,
}
