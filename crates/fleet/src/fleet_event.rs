use std::sync::Arc;

use crate::ConfigManifest;
use crate::EvacuationOverride;
use crate::GossipMessage;
use crate::PartHash;
use crate::TableRecord;
use wigeonhall_types::DataCentreKey;
use wigeonhall_types::Deployment;
use wigeonhall_types::HandOverState;
use wigeonhall_types::NodeKey;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::VmStatus;

/// Input of the [`Fleet`](crate::Fleet).
#[derive(Clone, Debug)]
pub enum FleetEvent {
    /// A configuration read or watch ended.
    ConfigRead {
        /// The accepted generation, `None` if there is none.
        list: Option<ConfigManifest>,
        /// Parts of it that came with it.
        parts: Vec<Arc<str>>,
    },
    /// The store did not answer a configuration read or watch in time.
    ConfigReadFailed,
    /// The text of `AdoptConfig` was resolved; overrides are not applied yet.
    Deployment(Arc<Deployment>),
    /// An operator asks for an evacuation without the store.
    Evacuate(EvacuationOverride),
    /// A message from another node.
    Gossip {
        /// Sender.
        from: NodeKey,
        /// The message.
        message: GossipMessage,
    },
    /// An old owner handed a replica over.
    HandOver {
        /// Epoch of the table that names this node as new owner.
        epoch: u64,
        /// The replica.
        replica: ReplicaKey,
        /// What the old owner knows.
        state: HandOverState,
    },
    /// A read of a part ended: the part, `None` if the store does not hold it.
    PartRead(PartHash, Option<Arc<str>>),
    /// The store did not answer a read of a part in time.
    PartReadFailed(PartHash),
    /// The process was asked to stop; its queries have ended.
    Stop,
    /// A table read ended: the record, `None` if there is none.
    TableRead {
        /// Data centre of the table.
        data_centre: DataCentreKey,
        /// Local time at which the read was sent; the record was the newest then
        /// or later.
        sent_us: u64,
        /// The record.
        table: Option<TableRecord>,
    },
    /// A table write ended. A write whose reply was lost is reported as failed;
    /// the fleet then reads the table back.
    TableWritten {
        /// Data centre of the table.
        data_centre: DataCentreKey,
        /// `expected_epoch` plus one, or `None` if the write failed or its outcome is not known.
        epoch: Option<u64>,
    },
    /// The store did not answer a table read in time.
    TableReadFailed(DataCentreKey),
    /// The time of `next_wake_us` came.
    Tick,
    /// The platform's list of VMs.
    VmList(Vec<VmStatus>),
}
