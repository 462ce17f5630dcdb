use serde::Serialize;

/// Counters of decisions, since the start of the process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct FleetCounters {
    /// Table replacements that this node consented to.
    pub consents_given: u64,
    /// Members declared dead.
    pub deaths: u64,
    /// Proofs of the newest table by a majority of its members.
    pub majority_proofs: u64,
    /// Messages sent to other nodes.
    pub messages_sent: u64,
    /// Proofs of the newest table by another node.
    pub peer_proofs: u64,
    /// Suspicions against this node that it refuted.
    pub refutations: u64,
    /// Reads of the store, of the VM list too.
    pub store_reads: u64,
    /// Watches of the store that were started.
    pub store_watches: u64,
    /// Writes of the store.
    pub store_writes: u64,
    /// Members suspected by this node's own probes.
    pub suspicions: u64,
    /// Table writes of unknown outcome that a read found in effect.
    pub writes_found: u64,
    /// Table writes that were lost to another writer or an outage.
    pub writes_lost: u64,
}
