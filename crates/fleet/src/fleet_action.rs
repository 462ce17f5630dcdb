use std::sync::Arc;

use crate::ConfigRecord;
use crate::GossipMessage;
use crate::PartHash;
use crate::TableRecord;
use wigeonhall_types::DataCentreKey;
use wigeonhall_types::Deployment;
use wigeonhall_types::HandOverState;
use wigeonhall_types::NodeKey;
use wigeonhall_types::OwnershipTable;
use wigeonhall_types::ReplicaKey;

/// Output of the [`Fleet`](crate::Fleet).
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FleetAction {
    /// Resolve the text and answer with `FleetEvent::Deployment`.
    AdoptConfig(ConfigRecord),
    /// This deployment is in force, with evacuation overrides applied.
    Deployment(Arc<Deployment>),
    /// This node owns the replica from now on.
    Grant {
        /// Epoch of the table that says so.
        epoch: u64,
        /// The replica.
        replica: ReplicaKey,
        /// What the old owner handed over.
        state: Option<HandOverState>,
    },
    /// Work on owned replicas may start until this local time.
    LeaseUntil(u64),
    /// A node is dead or gone.
    NodeLost(NodeKey),
    /// Whether this node may serve callers; `None` means that it may.
    NotReady(Option<NotReadyReason>),
    /// An ownership table is in force.
    Owners(Arc<OwnershipTable>),
    /// Read `config/current` now.
    ReadConfig,
    /// Read a part from the store now; answered by `PartRead` or `PartReadFailed`.
    ReadPart(PartHash),
    /// Read `owners/<data centre>` now.
    ReadTable(DataCentreKey),
    /// Read the platform's list of VMs now.
    ReadVmList,
    /// This node no longer owns the replica.
    Revoke {
        /// Epoch of the table that says so.
        epoch: u64,
        /// The replica.
        replica: ReplicaKey,
        /// New owner, if there is one to hand over to.
        successor: Option<NodeKey>,
    },
    /// Send a message to another node; it may be lost.
    Send {
        /// The message.
        message: GossipMessage,
        /// Receiver.
        to: NodeKey,
    },
    /// Everything is handed over; the process may exit.
    Stopped,
    /// Wait for a version of `config/current` after this generation; answered by
    /// `ConfigRead` or `ConfigReadFailed`.
    WatchConfig(u64),
    /// Write `owners/<data centre>` if the epoch of the stored table is still
    /// `expected_epoch`; 0 means that the object must not exist.
    WriteTable {
        /// Data centre of the table.
        data_centre: DataCentreKey,
        /// Version of the object that is replaced.
        expected_epoch: u64,
        /// New value.
        table: TableRecord,
    },
}

/// Why a node does not serve callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotReadyReason {
    /// Neither the store nor enough peers told the newest configuration.
    ConfigurationUnknown,
    /// The node, its VM or its data centre is leaving or was taken out.
    Leaving,
}
