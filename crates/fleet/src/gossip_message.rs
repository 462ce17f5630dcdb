//! Messages between nodes and the records that they carry.
//!
//! The ownership table of a data centre assigns each replica to its owner, the one node through
//! which all requests to it go; the version of the table is the epoch. A proof is evidence that a
//! table was the newest at a certain time. An owner with a recent proof holds a lease, the right
//! to start requests.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DisplayFromStr;
use serde_with::serde_as;

use crate::ConfigManifest;
use crate::Digest;
use crate::MemberUpdate;
use crate::PartHash;

/// A one-way message between nodes; a reply is a message of its own.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum GossipMessage {
    /// Asks a peer which generation of the configuration it has; sent during start-up only.
    AskConfig {
        /// Update of the sender about itself.
        sender: MemberUpdate,
    },
    /// Manifest of a configuration, without the text of its parts.
    Config(ConfigManifest),
    /// Reply to `AskConfig`.
    ConfigKnown {
        /// Newest generation of the sender; `None` while the sender itself has not
        /// confirmed one.
        generation: Option<u64>,
    },
    /// The sender consents to the replacement of the table `epoch` of its data centre and
    /// no longer acknowledges that table.
    Consent {
        /// Epoch of the table that may be replaced.
        epoch: u64,
        /// Sequence number of the request.
        sequence: u64,
    },
    /// Asks a member of the table `epoch` to consent to its replacement.
    ConsentAsk {
        /// Epoch of the table to replace.
        epoch: u64,
        /// Sequence number of the request.
        sequence: u64,
    },
    /// Versions of the records that the sender has; the receiver pulls what it lacks.
    Digest {
        /// Whether this is the reply to a digest, which gets no reply itself.
        answer: bool,
        /// Versions of the sender's records.
        digest: Digest,
        /// Member updates; the first is the sender's about itself.
        updates: Vec<MemberUpdate>,
    },
    /// Evacuates a data centre or VM while the store is unavailable.
    Evacuate(EvacuationOverride),
    /// Newest generation whose parts the sender has.
    Generation(u64),
    /// Reply to `LeaseAsk`.
    LeaseAnswer {
        /// Whether the sender has no newer table and will not consent to one for the length of a
        /// lease.
        acknowledged: bool,
        /// Epoch of the table.
        epoch: u64,
        /// Whether the sender's proof came from the store, directly or through peers.
        from_store: bool,
        /// Time since the table was proved to be the newest, in microseconds; `None` if the
        /// sender has no proof younger than the length of a lease.
        proof_age_us: Option<u64>,
        /// Sequence number of the request.
        sequence: u64,
    },
    /// Requests a proof that a table is the newest from a node of the same data centre.
    LeaseAsk {
        /// Whether the sender also requests an acknowledgement of the table.
        acknowledge: bool,
        /// Epoch of the table.
        epoch: u64,
        /// Sequence number of the request.
        sequence: u64,
    },
    /// Notifies a peer, which requested a proof lately, that it can request a newer one. The
    /// message carries no proof, because its time in transit is unknown.
    LeaseHint,
    /// Overrides that a configuration contained and thereby ended.
    OverridesEnded {
        /// Change ids of the overrides.
        change_ids: Vec<Arc<str>>,
        /// Generation that ended them; a receiver with this or a newer one in force drops
        /// the overrides.
        generation: u64,
    },
    /// Requested parts that the sender has, as many as fit in a message.
    Parts(Vec<Arc<str>>),
    /// Probes the receiver.
    Ping {
        /// Sequence number of the probe.
        sequence: u64,
        /// Member updates; the first is the sender's about itself.
        updates: Vec<MemberUpdate>,
    },
    /// Reply to a probe.
    PingAnswer {
        /// Sequence number of the probe.
        sequence: u64,
        /// Member updates; the first is the probed member's about itself.
        updates: Vec<MemberUpdate>,
    },
    /// Asks the receiver to probe another member on the sender's behalf.
    PingRequest {
        /// Sequence number of the probe.
        sequence: u64,
        /// Name of the member to probe.
        target: Arc<str>,
        /// Member updates; the first is the sender's about itself.
        updates: Vec<MemberUpdate>,
    },
    /// Requests a record.
    Pull(PullItem),
    /// An ownership table.
    Table(TableRecord),
    /// Member updates; the first is the sender's about itself.
    Updates(Vec<MemberUpdate>),
}

/// Record that a node requests from another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PullItem {
    /// Manifest of the newest configuration.
    Config,
    /// Evacuation override with this change id.
    Override(Arc<str>),
    /// Parts of the configuration text, by hash.
    Parts(Vec<PartHash>),
    /// Ownership table of the data centre with this name.
    Table(Arc<str>),
}

/// Operator's request, independent of the store, to take a data centre or a VM out of
/// service. An override never returns one to service.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct EvacuationOverride {
    /// Operator who requested the evacuation.
    pub author: Arc<str>,
    /// Random id; the override ends when a configuration in force contains this id.
    pub change_id: Arc<str>,
    /// Name of the data centre to take out, if any.
    pub data_centre: Option<Arc<str>>,
    /// Name of the VM to take out, if any.
    pub vm: Option<Arc<str>>,
}

/// Ownership table with names in place of keys, as stored at `owners/<data centre>`.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableRecord {
    /// Name of the data centre.
    pub data_centre: Arc<str>,
    /// Version of the table; grows by one with each accepted write. Stored in the value itself.
    pub epoch: u64,
    /// Names of the nodes that may own replicas, sorted.
    pub members: Vec<Arc<str>>,
    /// Name of each replica's owner, by name of the replica.
    pub owners: BTreeMap<Arc<str>, Arc<str>>,
    /// Random id of the write; shows whose update took effect. A text in JSON, whose
    /// numbers are exact only up to 2^53.
    #[serde_as(as = "DisplayFromStr")]
    pub write_id: u64,
}
