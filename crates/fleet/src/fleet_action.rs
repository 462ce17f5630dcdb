//! Actions that [`Fleet::handle`](crate::Fleet::handle) asks its user to perform.

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

/// Output of [`Fleet::handle`](crate::Fleet::handle).
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FleetAction {
    /// Parse the configuration text and pass the result back as `FleetEvent::Deployment`.
    AdoptConfig(ConfigRecord),
    /// The deployment in force changed. Evacuation overrides (operators' requests to take a VM
    /// or a data centre out of service without the store) are applied to it.
    Deployment(Arc<Deployment>),
    /// This node now owns the replica and may use it under its lease.
    Grant {
        /// Epoch (version) of the ownership table that names this node as owner.
        epoch: u64,
        /// Replica whose ownership changed.
        replica: ReplicaKey,
        /// State from the previous owner; `None` if it handed over none.
        state: Option<HandOverState>,
    },
    /// The lease was extended: requests to owned replicas may start until this local time.
    LeaseUntil(u64),
    /// A node died, restarted or is missing from the VM list.
    NodeLost(NodeKey),
    /// The readiness changed; `None` means that this node may serve callers.
    ReadinessChanged(Option<NotReadyReason>),
    /// A newer ownership table is in force.
    Owners(Arc<OwnershipTable>),
    /// Read `config/current` from the store; followed by `ConfigRead` or
    /// `ConfigReadFailed`.
    ReadConfig,
    /// Read a part from the store; followed by `PartRead` or `PartReadFailed`.
    ReadPart(PartHash),
    /// Read `owners/<data centre>` from the store; followed by `TableRead` or
    /// `TableReadFailed`.
    ReadTable(DataCentreKey),
    /// Read the platform's VM list; followed by `VmList`, or by no event if the read fails.
    ReadVmList,
    /// This node no longer owns the replica.
    Revoke {
        /// Epoch of this node's newest ownership table.
        epoch: u64,
        /// Replica whose ownership changed.
        replica: ReplicaKey,
        /// New owner, to which the state is handed over; `None` if there is no hand-over.
        successor: Option<NodeKey>,
    },
    /// Send a message to another node; delivery is not guaranteed.
    Send {
        /// Message to send.
        message: GossipMessage,
        /// Node to send it to.
        to: NodeKey,
    },
    /// The shutdown is complete: every grant is revoked and the process may exit.
    Stopped,
    /// Watch `config/current` for a generation after this one; followed by `ConfigRead` or
    /// `ConfigReadFailed`.
    WatchConfig(u64),
    /// Write `owners/<data centre>` if the stored epoch is still `expected_epoch`; 0 means
    /// that the object must not exist. Followed by `TableWritten`.
    WriteTable {
        /// Data centre whose table it is.
        data_centre: DataCentreKey,
        /// Epoch of the table to replace.
        expected_epoch: u64,
        /// Table to store.
        table: TableRecord,
    },
}

/// Why a node is not ready to serve callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotReadyReason {
    /// Neither the store nor a majority of the known nodes has reported the newest
    /// configuration.
    ConfigurationUnknown,
    /// The node is shutting down, its VM is leaving, or the configuration or an evacuation
    /// override takes its VM or data centre out of service.
    Leaving,
}
