use crate::Fault;
use wigeonhall_query::CoverageDemand;
use wigeonhall_types::ClassKey;
use wigeonhall_types::DataCentreKey;
use wigeonhall_types::KeyRange;
use wigeonhall_types::NodeKey;
use wigeonhall_types::ReplicaKey;

/// A step of the script of a session: a request, an operator's change or a fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// The target cancels its requests by itself and replies so.
    AbortRequests(ReplicaKey),
    /// Two operators submit changes that are based on the same generation.
    Conflict(DeploymentChange, DeploymentChange),
    /// An operator changes the deployment.
    Deploy(DeploymentChange),
    /// A target starts to drain: it refuses new requests and completes running ones.
    Drain(ReplicaKey),
    /// A fault or operator's change that measured runs have as well.
    Fault(Fault),
    /// The node gets no lease for this time, in microseconds.
    WithholdLeases(NodeKey, u64),
    /// Messages between nodes are lost, late or duplicated for this time, in microseconds.
    MessageFaults(MessageFaults, u64),
    /// The store executes the next call of a node, but the reply is lost.
    LoseStoreReply,
    /// The reply of the target to the next request that it completes is lost.
    LoseTargetReply(ReplicaKey),
    /// A new ownership table names another owner of a replica.
    MoveReplica {
        /// Whether the hand-over from the previous owner is delivered.
        handed_over: bool,
        /// The replica.
        replica: ReplicaKey,
        /// New owner; must be a node of the replica's data centre.
        to: NodeKey,
    },
    /// The target ignores cancellations, and runs requests until this time after their
    /// deadline, in microseconds; 0 ends the fault.
    Overrun(ReplicaKey, u64),
    /// The node handles no events for this time, in microseconds, and then all postponed ones.
    PauseNode(NodeKey, u64),
    /// A caller sends a read.
    Read {
        /// Query class.
        class: ClassKey,
        /// Time until the deadline, in microseconds.
        deadline_us: u64,
        /// Coverage that the caller requires.
        demand: CoverageDemand,
        /// Entry node.
        node: NodeKey,
        /// Range of keys to read.
        range: KeyRange,
    },
    /// A target crashes and restarts cold at once.
    RestartTarget(ReplicaKey),
    /// A node crashes and is not replaced.
    StopNode(NodeKey),
    /// Sets the availability of the store from now on.
    Store(StoreMode),
    /// A caller sends a write.
    Write {
        /// Query class.
        class: ClassKey,
        /// Time until the deadline, in microseconds.
        deadline_us: u64,
        /// Whether this is the caller's first attempt at the request.
        first: bool,
        /// Key to write.
        key: u64,
        /// Entry node.
        node: NodeKey,
        /// Request id, rendered as `request-<number>`.
        request: u32,
    },
}

/// An operator's change of the deployment: `true` takes the item out of service, `false` returns
/// it to service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DeploymentChange {
    /// Changes a data centre.
    DataCentre(DataCentreKey, bool),
    /// Changes a replica.
    Replica(ReplicaKey, bool),
}

/// Faults of messages between nodes, each as a percentage of the messages.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MessageFaults {
    /// Messages that are delivered twice.
    pub duplicated: u8,
    /// Messages that are delivered late, so that later ones can overtake them.
    pub late: u8,
    /// Messages that are not delivered.
    pub lost: u8,
}

/// Availability of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreMode {
    /// Replies to no calls.
    Down,
    /// Executes each call after this extra delay, in microseconds.
    Slow(u64),
    /// Executes each call without extra delay.
    #[default]
    Up,
}
