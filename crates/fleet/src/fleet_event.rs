//! Events that [`Fleet::handle`](crate::Fleet::handle) takes.

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

/// Input of [`Fleet::handle`](crate::Fleet::handle).
#[derive(Clone, Debug)]
pub enum FleetEvent {
    /// A read or a watch of the configuration completed.
    ConfigRead {
        /// Manifest of the accepted generation; `None` if the store holds none.
        manifest: Option<ConfigManifest>,
        /// Parts that the store delivered together with the manifest.
        parts: Vec<Arc<str>>,
    },
    /// A read or a watch of the configuration failed or timed out.
    ConfigReadFailed,
    /// The text of an `AdoptConfig` action was parsed. Evacuation overrides, operators' requests
    /// to take a VM or a data centre out of service without the store, are not applied yet.
    Deployment(Arc<Deployment>),
    /// An operator requests an evacuation while the store is unavailable.
    Evacuate(EvacuationOverride),
    /// A message from another node arrived.
    Gossip {
        /// Node that sent the message.
        from: NodeKey,
        /// Received message.
        message: GossipMessage,
    },
    /// The previous owner handed a replica over to this node.
    HandOver {
        /// Epoch (version) of the ownership table that names this node as the new owner.
        epoch: u64,
        /// Replica handed over.
        replica: ReplicaKey,
        /// State that the previous owner kept for the replica.
        state: HandOverState,
    },
    /// A read of a part completed; the text is `None` if the store does not hold the part.
    PartRead(PartHash, Option<Arc<str>>),
    /// A read of a part failed or timed out.
    PartReadFailed(PartHash),
    /// The process is shutting down and its queries have ended.
    Stop,
    /// A read of an ownership table completed.
    TableRead {
        /// Data centre whose table it is.
        data_centre: DataCentreKey,
        /// Local time at which the read was sent. The record was the newest at that time or
        /// later.
        sent_us: u64,
        /// Stored record; `None` if there is none.
        table: Option<TableRecord>,
    },
    /// A table write completed. A write whose reply was lost is reported as failed, and the
    /// table is then read back to find out whether it took effect.
    TableWritten {
        /// Data centre whose table it is.
        data_centre: DataCentreKey,
        /// `expected_epoch` plus one; `None` if the write failed or its outcome is unknown.
        epoch: Option<u64>,
    },
    /// A read of an ownership table failed or timed out.
    TableReadFailed(DataCentreKey),
    /// The time returned by [`Fleet::next_wake_us`](crate::Fleet::next_wake_us) was
    /// reached.
    Tick,
    /// A read of the platform's VM list completed.
    VmList(Vec<VmStatus>),
}
