//! Limits and delays of the query core, which decides without I/O how a request is served.
//!
//! An owner is the one node through which all requests to a replica go; it describes the replica
//! in reports. A leg is the share of a read that one shard service answers. A claim is a stored
//! record that gives one attempt the right to run a write.

/// Shortest interval between two `AskReports` actions for one owner.
pub const ASK_INTERVAL_MIN_US: u64 = 20_000;

/// Most `AskReports` that a node sends per second to refresh old reports. With 5,600 nodes, this
/// keeps the control traffic of a node below 10 KB/s.
pub const REFRESHES_PER_S: u32 = 32;

/// First backoff of a replica after a shed request or an error.
pub const BACKOFF_INITIAL_US: u64 = 5_000;

/// Longest backoff of a replica.
pub const BACKOFF_MAX_US: u64 = 1_000_000;

/// Time for which the store keeps claims: 24 h.
pub const CLAIM_RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;

/// Largest tolerated lead of a caller's clock: 5 minutes.
pub const MAX_CLOCK_LEAD_MS: u64 = 5 * 60 * 1_000;

/// Number of `Busy` refusals after which a leg stops moving between replicas and waits for a
/// slot at the replica with the shortest expected time.
pub const BUSY_REFUSALS_BEFORE_WAIT: u32 = 2;

/// Most retries and hedges of one leg or write that are not charged to the budget.
pub const MAX_FREE_RETRIES: u32 = 5;

/// Hedge delay of a service without observed latencies, as a multiple of the expected time.
pub const HEDGE_DELAY_FACTOR: u64 = 3;

/// Shortest hedge delay; with a shorter one a hedge costs more than the network hop that it
/// saves.
pub const HEDGE_DELAY_MIN_US: u64 = 1_000;

/// Number of `Overloaded` refusals from which on retries of a leg are charged to the budget.
pub const OVERLOADED_REFUSALS_BEFORE_CHARGE: u32 = 2;

/// Most sub-requests for one leg of a read or for one write, including hedges and retries.
pub const MAX_SUB_REQUESTS_PER_LEG: u32 = 8;

/// Most waits of one leg or write for a replica in backoff.
pub const MAX_WAITS_PER_LEG: u32 = 8;

/// Delay between a report and the recheck of requests that wait for reports. The reports of
/// one owner arrive as separate events; the delay lets one recheck cover all of them.
pub const RECHECK_DELAY_US: u64 = 500;

/// Network round trip added to the expected time of a replica in another data centre: 1 ms
/// each way.
pub const REMOTE_ROUND_TRIP_US: u64 = 2_000;

/// Age at which a report is refreshed.
pub const REPORT_REFRESH_AGE_US: u64 = 1_000_000;

/// Time for which a request waits for reports. An owner that has sent nothing for this time
/// after `AskReports` counts as unresponsive.
pub const REPORT_TIMEOUT_US: u64 = 50_000;

/// Time after arrival within which a request should be refused if its replicas are at their
/// limit.
pub const REFUSAL_TARGET_US: u64 = 5_000;

/// Largest report age at which the reported wait is trusted for a retry whose refusal would
/// arrive later than `REFUSAL_TARGET_US`.
pub const FRESH_REPORT_MAX_AGE_US: u64 = 5_000;

/// Share of the class's longest wait, in percent, above which a replica counts as at its
/// limit. After a refusal by such a replica, the next sub-request waits for a slot wherever it is
/// sent: if it were refused too, a third one could not be refused within `REFUSAL_TARGET_US`.
pub const AT_LIMIT_PERCENT: u64 = 40;

/// Most restarts of one read at a newer version.
pub const MAX_RESTARTS: u32 = 3;

/// Retry-after time of refusals that have no better estimate.
pub const RETRY_AFTER_DEFAULT_MS: u64 = 100;

/// Longest retry-after time.
pub const RETRY_AFTER_MAX_MS: u64 = 10_000;

/// Granularity of the expected times by which replicas are ranked; times in the same step
/// count as equal.
pub const RANK_TIME_STEP_US: u64 = 250;

/// Shortest limit that a sub-request sets for its wait for a slot. It equals the round trip to
/// an owner in another data centre, so moving to another replica would not save a shorter
/// wait.
pub const START_WITHIN_BASE_US: u64 = 2_000;

/// Time for which an answered write waits for a late outcome, which is then stored in its claim
/// and settles it.
pub const CLAIM_SETTLE_TIMEOUT_US: u64 = 60_000_000;

/// Most conditional updates that one write sends to take over a claim that another attempt
/// released because it did not run.
pub const MAX_CLAIM_TAKEOVERS: u32 = 3;
