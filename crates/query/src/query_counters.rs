//! Counters of the coordinator's decisions.

use serde::Serialize;

/// Counters of decisions since the start of the process.
///
/// An owner is the one node through which all requests to a replica go. A leg is the share of a
/// read that one shard service answers. A claim is a stored record that gives one attempt the right
/// to run a write.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct QueryCounters {
    /// `AskReports` actions, which ask an owner for reports: to refresh old ones, or because a
    /// read or write waits for the owner's reports.
    pub asks: u64,
    /// Refreshes of reports postponed because the limit per second was reached.
    pub asks_put_off: u64,
    /// Hedges and retries that were not sent because the budget of the service was used up.
    pub budget_refusals: u64,
    /// Sub-requests that moved to another replica because no slot was expected to become free
    /// soon.
    pub busy: u64,
    /// Requests whose caller disconnected before the answer.
    pub callers_gone: u64,
    /// Sub-requests cancelled because their result was no longer needed.
    pub cancels: u64,
    /// Claims of another attempt found when a write tried to create or take over its claim.
    pub claim_conflicts: u64,
    /// Claims set to `Ran` or `Released` because of an outcome that arrived after the answer.
    pub claims_settled_late: u64,
    /// Released claims taken over by a conditional update.
    pub claims_taken_over: u64,
    /// Claim actions that may or may not have taken effect.
    pub claims_unknown: u64,
    /// Requests answered because their deadline passed.
    pub deadlines: u64,
    /// Requests dropped because their id belongs to an open request.
    pub duplicate_requests: u64,
    /// Requests that failed: a sub-request may have run, but its result is unknown.
    pub failed: u64,
    /// Writes refused because their issue time lies too far in the future.
    pub future_writes: u64,
    /// Sub-requests sent to a second replica because the first was overdue.
    pub hedges: u64,
    /// Hedges not charged to the budget because the owner of the first sub-request was
    /// unresponsive.
    pub hedges_free: u64,
    /// Hedges that an owner refused without placing load on a target.
    pub hedges_refused: u64,
    /// Hedges whose reply arrived before that of the first sub-request.
    pub hedges_won: u64,
    /// Replies dropped because their sub-request is no longer open: late or repeated.
    pub late_replies: u64,
    /// Replies dropped because this process run never assigned their attempt id.
    pub misdirected_replies: u64,
    /// Nodes reported as lost.
    pub nodes_lost: u64,
    /// Sub-requests that failed because their owner was lost.
    pub owner_lost: u64,
    /// Number of times that an owner was found unresponsive while sub-requests were open at
    /// it.
    pub owners_silent: u64,
    /// Answers with part of the range.
    pub partial: u64,
    /// Number of times that a replica was put into backoff after a refusal or an error.
    pub put_back: u64,
    /// Requests refused because owners refused their sub-requests.
    pub refused_by_owner: u64,
    /// Writes refused because another attempt holds their claim.
    pub refused_claim_open: u64,
    /// Writes refused because their request id is older than claims are kept.
    pub refused_claim_too_old: u64,
    /// Requests refused because no known replica holds the keys.
    pub refused_no_replica: u64,
    /// Requests refused because the node has no deployment, or no ownership table, which names the
    /// owner of each replica.
    pub refused_not_ready: u64,
    /// Writes refused because the object store returned no usable result for their claim.
    pub refused_store_down: u64,
    /// Requests refused because their expected time exceeds the deadline, or because they
    /// would wait too long for a slot.
    pub refused_too_late: u64,
    /// Requests refused because their class is unknown or of another kind.
    pub refused_unknown_class: u64,
    /// Reads refused because their pinned version, the index version that all of the read runs at,
    /// is gone and no newer one covers the range.
    pub refused_version_gone: u64,
    /// Replies that did not cover all keys of the sub-request.
    pub replies_short: u64,
    /// Replies dropped because their version is not the pinned one.
    pub replies_wrong_version: u64,
    /// Reads and writes received.
    pub requests: u64,
    /// Restarts of a read as a whole at a newer version.
    pub restarts: u64,
    /// Restarts that were needed but not possible.
    pub restarts_refused: u64,
    /// Retries charged to the budget.
    pub retries_budget: u64,
    /// Retries not charged to the budget, after a refusal that placed no load on a target or
    /// the loss of an owner.
    pub retries_free: u64,
    /// Sub-requests routed to the node's own data centre.
    pub routed_local: u64,
    /// Sub-requests routed to another data centre, because its replica is expected to reply
    /// earlier or no replica of the own data centre can be used.
    pub routed_remote: u64,
    /// Rows dropped because they lie outside the ranges of their reply, outside the unread
    /// ranges of the leg, or are repeated.
    pub rows_dropped: u64,
    /// Reports and ownership tables dropped because a newer one is known.
    pub stale_facts: u64,
    /// Sub-requests that ended without a known outcome.
    pub subs_failed: u64,
    /// First sub-requests of a leg or write, which add credit to the budgets.
    pub subs_first: u64,
    /// Sub-requests that the owner refused.
    pub subs_refused: u64,
    /// Sub-requests refused because the replica no longer serves the pinned version.
    pub subs_version_gone: u64,
    /// Waits of a write or of a leg of a read for a replica in backoff.
    pub waits_backed_off: u64,
    /// Waits of requests for the reports of owners.
    pub waits_reports: u64,
    /// Answers with the whole range, and successful writes.
    pub whole: u64,
}
