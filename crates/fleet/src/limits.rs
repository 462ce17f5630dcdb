//! Periods, bounds and fan-outs of the fleet core. Times in microseconds.

use crate::LEASE_MS;

/// Longest time from asking for consent to sending the write that uses it.
///
/// Together with [`WRITE_EFFECT_US`] it stays below [`LEASE_US`]: a member that
/// consented and then restarted is still in quarantine when the write lands.
pub(crate) const CONSENT_US: u64 = 900_000;
/// Time between two requests for the same consent.
pub(crate) const CONSENT_RETRY_US: u64 = 200_000;
/// Wait before a changed table is proposed, so that quick changes share a write.
pub(crate) const COALESCE_US: u64 = 300_000;
/// Silence of all peers after which a node reads the store itself.
pub(crate) const CUT_OFF_US: u64 = 3_000_000;
/// Time between two probes of a member that is believed dead.
pub(crate) const DEAD_PROBE_US: u64 = 2_000_000;
/// Time between two digest exchanges.
pub(crate) const DIGEST_US: u64 = 1_000_000;
/// Wait before the first table of a data centre, so that its nodes have met.
pub(crate) const FIRST_TABLE_US: u64 = 1_500_000;
/// Members asked through for an indirect probe.
pub(crate) const INDIRECT_PROBES: usize = 3;
/// Children of a node in the tree that lease confirmations follow.
pub(crate) const LEASE_FAN_OUT: usize = 8;
/// Time after which a read of a table is not expected to be answered any more.
pub(crate) const READ_TIMEOUT_US: u64 = 10_000_000;
/// Time between two steps of lease renewal.
pub(crate) const LEASE_STEP_US: u64 = 500_000;
/// Validity of a lease, from the moment its proof was asked for.
pub(crate) const LEASE_US: u64 = LEASE_MS * 1000;
/// Largest number of ids of ended overrides that are remembered.
pub(crate) const ENDED_MAX: usize = 1024;
/// Largest number of hand-overs kept for a table that is not known yet.
pub(crate) const EARLY_HAND_OVERS_MAX: usize = 4096;
/// Hashes in one request for parts.
pub(crate) const PARTS_ASKED: usize = 64;
/// Bytes of the parts in one message, about 16 parts of the mean length; the list of
/// the largest text has as many.
pub(crate) const PARTS_BYTES: usize = 65_536;
/// Reads of parts that one node has outstanding at the store.
pub(crate) const PART_READS: usize = 32;
/// Nodes of the whole fleet that are expected to read a part that no peer has told
/// from the store; `PART_READS` each in a [`PULL_RETRY_US`] are about 850 reads a
/// second.
pub(crate) const PART_READERS: u64 = 4;
/// Requests to peers without a new part, after which the store is read.
pub(crate) const SILENT_ASKS: u32 = 3;
/// Requests without a new part after which twice as many nodes read the store.
pub(crate) const SILENT_ASKS_DOUBLE: u32 = 4;
/// Time within which a probe is answered, before indirect probes start.
pub(crate) const PROBE_ANSWER_US: u64 = 300_000;
/// Time between two probes.
pub(crate) const PROBE_US: u64 = 1_000_000;
/// Time between two requests for the same record.
pub(crate) const PULL_RETRY_US: u64 = 150_000;
/// Time between two readings of tables that no peer knows.
pub(crate) const MISSING_TABLE_US: u64 = 5_000_000;
/// Neighbours of a push beyond the logarithm of the member count.
pub(crate) const PUSH_EXTRA: usize = 3;
/// Peers remembered as holders of a wanted record.
pub(crate) const PULL_SOURCES: usize = 4;
/// Time after a start in which a node neither consents nor acknowledges.
pub(crate) const QUARANTINE_US: u64 = TAKE_OVER_US;
/// Delay of a proposer for each live member that ranks before it.
pub(crate) const RANK_DELAY_US: u64 = 1_000_000;
/// Age of the proof above which a node looks beyond its parent.
pub(crate) const STALE_US: u64 = 1_500_000;
/// Time between two store reads of a node that is not the reader of its data centre.
pub(crate) const STALE_READ_US: u64 = 2_000_000;
/// Peers asked in one step of start-up.
pub(crate) const START_ASKS: usize = 16;
/// Time between two steps of start-up.
pub(crate) const START_STEP_US: u64 = 300_000;
/// Longest time that a stop waits for tables without this node.
pub(crate) const STOP_US: u64 = 5_000_000;
/// Time between two store calls after a failed one.
pub(crate) const STORE_RETRY_US: u64 = 1_000_000;
/// Time that a suspected member has to refute.
pub(crate) const SUSPICION_US: u64 = 3_000_000;
/// Wait of a new owner without a hand-over: the lease and 10% for clock rates.
pub(crate) const TAKE_OVER_US: u64 = LEASE_US + LEASE_US / 10;
/// Member updates in one message.
pub(crate) const UPDATES_MAX: usize = 8;
/// Time between two readings of the VM list by the reader of a data centre.
pub(crate) const VM_LIST_US: u64 = 2_000_000;
/// Time after which a reading of the VM list is not answered any more.
pub(crate) const VM_LIST_TIMEOUT_US: u64 = 5_000_000;
/// Time between two readings of the VM list by any other node.
pub(crate) const VM_LIST_SLOW_US: u64 = 60_000_000;
/// Time after which an unanswered watch is asked for again.
pub(crate) const WATCH_US: u64 = 120_000_000;
/// Longest time from sending a store write to its effect that safety allows for.
pub(crate) const WRITE_EFFECT_US: u64 = 2_000_000;

const _: () = assert!(CONSENT_US + WRITE_EFFECT_US < LEASE_US);
