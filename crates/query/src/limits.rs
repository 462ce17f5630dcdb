//! Bounds and delays of the query core, with the reason for each figure.

/// Shortest time between two `AskReports` to one owner.
pub const ASK_INTERVAL_MIN_US: u64 = 20_000;

/// `AskReports` for refresh in one second. Binds only above the current sizes; it keeps
/// the control traffic of a node at the design size of 5,600 nodes below 10 KB/s.
pub const REFRESH_ASKS_PER_S: u32 = 32;

/// First time for which a replica is put back after a shed request or an error.
pub const BACKOFF_INITIAL_US: u64 = 5_000;

/// Longest time for which a replica is put back.
pub const BACKOFF_MAX_US: u64 = 1_000_000;

/// Time for which the store keeps claims; the design states 24 h.
pub const CLAIM_RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;

/// Lead of a caller's clock that is tolerated.
pub const MAX_CLOCK_LEAD_MS: u64 = 5 * 60 * 1_000;

/// Replicas of a part that are asked for a slot without delay. After these refusals as
/// busy the part waits at the replica with the shortest expected time.
pub const MAX_BUSY_REFUSALS: u32 = 2;

/// Tries of one sub-request that placed no load on a target and draw on no budget.
pub const MAX_FREE_RETRIES: u32 = 5;

/// Hedge delay of a service without observed latencies is this many expected times.
pub const HEDGE_DELAY_FACTOR: u64 = 3;

/// Shortest hedge delay; below it a hedge costs more than the hop it saves.
pub const HEDGE_DELAY_MIN_US: u64 = 1_000;

/// Replicas that refuse a part as overloaded before further tries draw on the budget.
pub const MAX_FREE_OVERLOADED_REFUSALS: u32 = 2;

/// Sends of one part of a request, over all reasons.
pub const MAX_SENDS_PER_PART: u32 = 8;

/// Waits of one part for a replica that is put back or that names a later time.
pub const MAX_WAITS_PER_PART: u32 = 8;

/// Time between a report and the second look at the requests that wait for reports.
/// The reports of one owner arrive as separate events; one look serves them all.
pub const RECHECK_DELAY_US: u64 = 500;

/// Added to the expected time of a replica in another data centre: 1 ms each way.
pub const REMOTE_ROUND_TRIP_US: u64 = 2_000;

/// Age at which a report is refreshed.
pub const REPORT_REFRESH_US: u64 = 1_000_000;

/// Time for which a request waits for reports, and after which an owner that was
/// asked and did not answer is no longer waited for.
pub const REPORT_TIMEOUT_US: u64 = 50_000;

/// Time in which a request that owners are too busy for is refused.
pub const REFUSAL_TARGET_US: u64 = 5_000;

/// Age up to which a report tells the wait at a replica well enough for a try whose
/// refusal would come after `REFUSAL_US`.
pub const FRESH_REPORT_MAX_AGE_US: u64 = 5_000;

/// Share of the longest wait, in percent, above which a replica counts as full: the next
/// try then waits where it goes, as the refusal of a third try would come too late.
pub const FULL_WAIT_PERCENT: u64 = 40;

/// Restarts of one read at a newer version.
pub const MAX_RESTARTS: u32 = 3;

/// Retry-after time of a refusal without a better estimate.
pub const RETRY_AFTER_DEFAULT_MS: u64 = 100;

/// Longest retry-after time.
pub const RETRY_AFTER_MAX_MS: u64 = 10_000;

/// Expected times that differ by less than this count as equal in routing.
pub const RANK_TIME_STEP_US: u64 = 250;

/// Wait for a slot above which another replica is asked. It is what the way to an owner
/// in another data centre and back takes, so a shorter wait is not worth a move.
pub const START_WITHIN_BASE_US: u64 = 2_000;

/// Time for which an answered write waits for a late reply that settles its claim.
pub const CLAIM_SETTLE_TIMEOUT_US: u64 = 60_000_000;

/// Conditional updates that one write attempts to take over a released claim.
pub const MAX_CLAIM_TAKEOVERS: u32 = 3;
