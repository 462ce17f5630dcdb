//! Counters that a node reports about the decisions of its [`Fleet`](crate::Fleet).

use serde::Serialize;

/// Counters of decisions since the start of the process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct FleetCounters {
    /// Replacements of the ownership table that this node consented to.
    pub consents_given: u64,
    /// Members declared dead.
    pub deaths: u64,
    /// Proofs that this data centre's table is the newest, obtained by acknowledgements of a
    /// majority of its members.
    pub majority_proofs: u64,
    /// Messages sent to other nodes.
    pub messages_sent: u64,
    /// Proofs that this data centre's table is the newest, obtained from a peer.
    pub peer_proofs: u64,
    /// Wrong updates about this node that it refuted.
    pub refutations: u64,
    /// Reads of the store and of the VM list.
    pub store_reads: u64,
    /// Store watches started.
    pub store_watches: u64,
    /// Store writes started.
    pub store_writes: u64,
    /// Members suspected of being down after this node's own probes.
    pub suspicions: u64,
    /// Table writes of unknown outcome that a later read showed to have taken effect.
    pub writes_found: u64,
    /// Table writes that did not take effect because of another writer or an outage, as a later
    /// read showed.
    pub writes_lost: u64,
}
