//! Intervals, timeouts, bounds and fan-outs of the fleet logic. Times are in microseconds. The
//! docs of the crate explain the terms.

use crate::LEASE_MS;

/// Longest time from requesting consent to sending the write that relies on it.
///
/// The sum with [`WRITE_EFFECT_MAX_US`] stays below [`LEASE_US`], so a member that consented
/// and then restarted is still in quarantine when the write takes effect.
pub(crate) const CONSENT_ROUND_MAX_US: u64 = 900_000;
/// Time between two consent requests to the same member.
pub(crate) const CONSENT_RETRY_INTERVAL_US: u64 = 200_000;
/// Delay before a changed table is proposed, so that changes in quick succession share a
/// write.
pub(crate) const COALESCE_DELAY_US: u64 = 300_000;
/// Time without a message from any peer after which a node reads the store itself.
pub(crate) const ISOLATION_TIMEOUT_US: u64 = 3_000_000;
/// Time between two probes of members that were declared dead.
pub(crate) const DEAD_PROBE_INTERVAL_US: u64 = 2_000_000;
/// Time between two digest exchanges.
pub(crate) const DIGEST_INTERVAL_US: u64 = 1_000_000;
/// Delay before the first table of a data centre, in which its nodes discover each other.
pub(crate) const FIRST_TABLE_DELAY_US: u64 = 1_500_000;
/// Number of members that are asked to probe a target indirectly.
pub(crate) const INDIRECT_PROBES: usize = 3;
/// Number of children of a node in the tree along which proofs for leases spread.
pub(crate) const LEASE_FAN_OUT: usize = 8;
/// Timeout of a read of a table or a part.
pub(crate) const READ_TIMEOUT_US: u64 = 10_000_000;
/// Time between two attempts to renew the lease.
pub(crate) const LEASE_RENEW_INTERVAL_US: u64 = 500_000;
/// Validity of a lease, counted from the time its proof was requested.
pub(crate) const LEASE_US: u64 = LEASE_MS * 1000;
/// Largest number of ended overrides whose ids are remembered.
pub(crate) const ENDED_OVERRIDES_MAX: usize = 1024;
/// Largest number of hand-overs kept for tables that have not arrived yet.
pub(crate) const EARLY_HAND_OVERS_MAX: usize = 4096;
/// Largest number of hashes in one request for parts.
pub(crate) const PARTS_PER_REQUEST_MAX: usize = 64;
/// Largest sum of the part lengths in one message, in bytes: about 16 parts of the mean
/// length. The manifest of the largest text has about as many bytes.
pub(crate) const PARTS_MESSAGE_BYTES: usize = 65_536;
/// Largest number of outstanding store reads of parts on one node.
pub(crate) const PART_READS_MAX: usize = 32;
/// Expected number of nodes in the whole fleet that read the store for a part that no peer
/// has sent. If each makes `PART_READS_MAX` reads per [`PULL_RETRY_INTERVAL_US`], that is
/// about 850 reads a second.
pub(crate) const PART_READERS: u64 = 4;
/// Number of requests to peers without a new part after which some nodes read the store.
pub(crate) const STORE_READ_AFTER_REQUESTS: u32 = 3;
/// Number of further requests without a new part after which the number of nodes that read the
/// store doubles.
pub(crate) const READERS_DOUBLE_AFTER_REQUESTS: u32 = 4;
/// Timeout of a direct probe, after which indirect probes start.
pub(crate) const PROBE_TIMEOUT_US: u64 = 300_000;
/// Time between two probes that a node sends on its round through its peers.
pub(crate) const PROBE_INTERVAL_US: u64 = 1_000_000;
/// Time between two requests for the same record.
pub(crate) const PULL_RETRY_INTERVAL_US: u64 = 150_000;
/// Time between two store reads of tables that no peer has announced.
pub(crate) const MISSING_TABLE_INTERVAL_US: u64 = 5_000_000;
/// Number of random peers to push to, in addition to the logarithm of the member count.
pub(crate) const PUSH_PEERS_EXTRA: usize = 3;
/// Largest number of peers remembered as sources of a record.
pub(crate) const PULL_SOURCES_MAX: usize = 4;
/// Time after a start in which a node neither consents to replacements nor acknowledges
/// tables.
pub(crate) const QUARANTINE_US: u64 = TAKE_OVER_DELAY_US;
/// Delay before a node proposes a table, for each live member that ranks before it.
pub(crate) const PROPOSAL_RANK_DELAY_US: u64 = 1_000_000;
/// Age of a proof above which a node asks more peers than its parent in the tree, and may
/// read the store.
pub(crate) const STALE_PROOF_US: u64 = 1_500_000;
/// Time between two table reads by a node that does not rank first in its data centre.
pub(crate) const LOWER_RANK_READ_INTERVAL_US: u64 = 2_000_000;
/// Number of peers contacted in one attempt during start-up.
pub(crate) const START_UP_REQUESTS: usize = 16;
/// Time between two attempts during start-up.
pub(crate) const START_UP_RETRY_INTERVAL_US: u64 = 300_000;
/// Longest time that a shutdown waits for a table without this node.
pub(crate) const STOP_TIMEOUT_US: u64 = 5_000_000;
/// Time before a failed store call is retried, and between two table reads by the
/// first-ranked node.
pub(crate) const STORE_RETRY_INTERVAL_US: u64 = 1_000_000;
/// Time that a member suspected of being down has to refute the suspicion.
pub(crate) const SUSPICION_TIMEOUT_US: u64 = 3_000_000;
/// Time that a new owner without a hand-over waits: the previous owner's lease and 10% for
/// differing clock rates.
pub(crate) const TAKE_OVER_DELAY_US: u64 = LEASE_US + LEASE_US / 10;
/// Largest number of queued member updates in one message.
pub(crate) const UPDATES_MAX: usize = 8;
/// Time between two reads of the VM list by the first-ranked node of a data centre; the
/// second-ranked one waits three times as long.
pub(crate) const VM_LIST_INTERVAL_US: u64 = 2_000_000;
/// Timeout of a read of the VM list.
pub(crate) const VM_LIST_TIMEOUT_US: u64 = 5_000_000;
/// Time between two reads of the VM list by nodes behind the first two ranks.
pub(crate) const VM_LIST_SLOW_INTERVAL_US: u64 = 60_000_000;
/// Time after which an unanswered watch is replaced by a new one.
pub(crate) const WATCH_TIMEOUT_US: u64 = 120_000_000;
/// Longest time from sending a store write to its effect. Ownership stays exclusive only if
/// no write takes effect later.
pub(crate) const WRITE_EFFECT_MAX_US: u64 = 2_000_000;

const _: () = assert!(CONSENT_ROUND_MAX_US + WRITE_EFFECT_MAX_US < LEASE_US);
