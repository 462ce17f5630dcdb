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

/// A message between nodes; one way, answers are messages too.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum GossipMessage {
    /// Asks a peer for the generation it knows; sent during start-up only.
    AskConfig {
        /// First-hand state of the sender.
        sender: MemberUpdate,
    },
    /// A configuration, with its parts by name.
    Config(ConfigManifest),
    /// Answers `AskConfig`.
    ConfigKnown {
        /// Newest generation, `None` while the sender itself is not sure.
        generation: Option<u64>,
    },
    /// The sender stops acknowledging the table `epoch` of its data centre.
    Consent {
        /// Epoch of the table that may be replaced.
        epoch: u64,
        /// Number of the request.
        sequence: u64,
    },
    /// Asks a member of the table `epoch` to agree to its replacement.
    ConsentAsk {
        /// Epoch of the table to replace.
        epoch: u64,
        /// Number of the request.
        sequence: u64,
    },
    /// What the sender knows; the receiver pulls what is new to it.
    Digest {
        /// True if this answers a digest; it is not answered again.
        answer: bool,
        /// The digest.
        digest: Digest,
        /// Member updates; the first is first-hand of the sender.
        updates: Vec<MemberUpdate>,
    },
    /// Takes work away from a data centre or VM while the store is down.
    Evacuate(EvacuationOverride),
    /// The newest generation whose parts the sender has.
    Generation(u64),
    /// Answers `LeaseAsk`.
    LeaseAnswer {
        /// Whether the sender knows no newer table and will not consent to one
        /// for the next `LEASE_MS`.
        acknowledged: bool,
        /// Epoch of the table.
        epoch: u64,
        /// Whether that proof came from the store, directly or through others.
        from_store: bool,
        /// Time since the table was proved the newest, in microseconds.
        proof_age_us: Option<u64>,
        /// Number of the request.
        sequence: u64,
    },
    /// Asks a node of the same data centre to confirm a table.
    LeaseAsk {
        /// Whether an acknowledgement is wanted if there is no proof.
        acknowledge: bool,
        /// Epoch of the table.
        epoch: u64,
        /// Number of the request.
        sequence: u64,
    },
    /// Tells a node that asked lately that a newer proof can be asked for. It
    /// carries no proof: nobody knows how long it was under way.
    LeaseHint,
    /// Overrides that ended with a configuration.
    OverridesEnded {
        /// Ids of the overrides.
        change_ids: Vec<Arc<str>>,
        /// A receiver with this generation or a newer one in force drops them.
        generation: u64,
    },
    /// Those of the parts asked for that the sender has, as many as a message takes.
    Parts(Vec<Arc<str>>),
    /// Probes the receiver.
    Ping {
        /// Number of the probe.
        sequence: u64,
        /// Member updates; the first is first-hand of the sender.
        updates: Vec<MemberUpdate>,
    },
    /// Answers a probe.
    PingAnswer {
        /// Number of the probe.
        sequence: u64,
        /// Member updates; the first is first-hand of the probed member.
        updates: Vec<MemberUpdate>,
    },
    /// Asks the receiver to probe another member.
    PingRequest {
        /// Number of the probe.
        sequence: u64,
        /// Name of the member.
        target: Arc<str>,
        /// Member updates; the first is first-hand of the sender.
        updates: Vec<MemberUpdate>,
    },
    /// Asks for a record.
    Pull(PullItem),
    /// An ownership table.
    Table(TableRecord),
    /// Member updates; the first is first-hand of the sender.
    Updates(Vec<MemberUpdate>),
}

/// A record that one node asks another for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PullItem {
    /// The newest configuration.
    Config,
    /// The override with this id.
    Override(Arc<str>),
    /// Parts of a text.
    Parts(Vec<PartHash>),
    /// The table of the data centre with this name.
    Table(Arc<str>),
}

/// Takes a data centre or VM out without the store; it never brings one back.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct EvacuationOverride {
    /// Who asked for it.
    pub author: Arc<str>,
    /// Random id; the override ends when a configuration contains this id.
    pub change_id: Arc<str>,
    /// Name of the data centre, if one is taken out.
    pub data_centre: Option<Arc<str>>,
    /// Name of the VM, if one is taken out.
    pub vm: Option<Arc<str>>,
}

/// An ownership table by names, as stored at `owners/<data centre>`.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableRecord {
    /// Name of the data centre.
    pub data_centre: Arc<str>,
    /// Grows by one with each accepted write; part of the stored value.
    pub epoch: u64,
    /// Names of the nodes that may own replicas, sorted.
    pub members: Vec<Arc<str>>,
    /// Replica to owner, by name.
    pub owners: BTreeMap<Arc<str>, Arc<str>>,
    /// Random id of the write; tells whose update took effect. Text in JSON, whose
    /// numbers are exact only up to 2^53.
    #[serde_as(as = "DisplayFromStr")]
    pub write_id: u64,
}
