use serde::Serialize;

/// Counters of decisions, since the start of the process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct QueryCounters {
    /// `AskReports` sent, for refresh or because a request met an owner without reports.
    pub asks: u64,
    /// Refreshes put off because the second's allowance of asks was used up.
    pub asks_put_off: u64,
    /// Hedges and retries that were wanted but not paid for by the service's budget.
    pub budget_refusals: u64,
    /// First tries that moved on because no slot was free soon.
    pub busy: u64,
    /// Requests whose caller went away before the answer.
    pub callers_gone: u64,
    /// Sub-requests cancelled because their result was no longer wanted.
    pub cancels: u64,
    /// Claims found settled or open when a write tried to create its own.
    pub claim_conflicts: u64,
    /// Claims set to `Ran` or `Released` by an outcome that came after the answer.
    pub claims_settled_late: u64,
    /// Released claims taken over by a conditional update.
    pub claims_taken_over: u64,
    /// Claim results without an effect that is known.
    pub claims_unknown: u64,
    /// Requests answered because their deadline passed.
    pub deadlines: u64,
    /// Requests with the id of an open request; dropped.
    pub duplicate_requests: u64,
    /// Requests that ended as failed: a sub-request may have run, but has no answer.
    pub failed: u64,
    /// Writes whose issue time lies too far in the future.
    pub future_writes: u64,
    /// Sub-requests sent to a second replica because the first was late.
    pub hedges: u64,
    /// Hedges that drew on no budget, as the first sub-request's owner was silent.
    pub hedges_free: u64,
    /// Hedges that the owner refused without load on a target.
    pub hedges_refused: u64,
    /// Hedges whose reply came before that of the first sub-request.
    pub hedges_won: u64,
    /// Replies with an unknown attempt id of this boot: late or repeated; dropped.
    pub late_replies: u64,
    /// Replies with an attempt id that this boot never drew; dropped.
    pub misdirected_replies: u64,
    /// Nodes reported as lost.
    pub nodes_lost: u64,
    /// Sub-requests ended by the loss of their owner.
    pub owner_lost: u64,
    /// Times that an owner was found silent while sub-requests were open at it.
    pub owners_silent: u64,
    /// Answers with a part of the range.
    pub partial: u64,
    /// Times that a replica was put back after a shed request or an error.
    pub put_back: u64,
    /// Requests refused because owners refused a sub-request.
    pub refused_by_owner: u64,
    /// Writes refused because another attempt holds their claim.
    pub refused_claim_open: u64,
    /// Writes refused because their request id is older than claims are kept.
    pub refused_claim_too_old: u64,
    /// Requests refused because no replica is known that holds the keys.
    pub refused_no_replica: u64,
    /// Requests refused because the node knows no deployment or no owners.
    pub refused_not_ready: u64,
    /// Writes refused because the store gave no result for their claim.
    pub refused_store_down: u64,
    /// Requests refused because their expected time exceeds the deadline.
    pub refused_too_late: u64,
    /// Requests refused because their class is not known or of another kind.
    pub refused_unknown_class: u64,
    /// Reads refused because their version is gone and no newer one serves.
    pub refused_version_gone: u64,
    /// Replies whose ranges left keys of the sub-request open.
    pub replies_short: u64,
    /// Replies of another version than the pinned one; not merged.
    pub replies_wrong_version: u64,
    /// Reads and writes received.
    pub requests: u64,
    /// Whole restarts at a newer version.
    pub restarts: u64,
    /// Restarts that were wanted but not possible.
    pub restarts_refused: u64,
    /// Second tries paid for by the budget.
    pub retries_budget: u64,
    /// Second tries after a refusal that placed no load on a target.
    pub retries_free: u64,
    /// Sub-requests routed to the node's own data centre.
    pub routed_local: u64,
    /// Sub-requests routed to another data centre, where they are expected to end
    /// earlier or where alone the keys are held.
    pub routed_remote: u64,
    /// Rows outside the ranges that their reply speaks for, outside the gaps of the
    /// read, or repeated; dropped.
    pub rows_dropped: u64,
    /// Reports or ownership tables older than what is known; dropped.
    pub stale_facts: u64,
    /// Sub-requests that ended without a known outcome.
    pub subs_failed: u64,
    /// First sub-requests of a part; the base of the budgets.
    pub subs_first: u64,
    /// Sub-requests that the owner refused.
    pub subs_refused: u64,
    /// Sub-requests refused because the pinned version is gone.
    pub subs_version_gone: u64,
    /// Requests or parts of them that waited for a replica that was put back.
    pub waits_backed_off: u64,
    /// Requests that waited for the reports of an owner.
    pub waits_reports: u64,
    /// Answers with the whole range, and writes done.
    pub whole: u64,
}
