use crate::RolloutBounds;
use crate::exposure_credit::SHARE_USED_FRACTION;

/// Part of the exposure slack that the coordinator spends; the rest is for requests that no report
/// counts yet, and for those of nodes that ended.
const SLACK_USED_FRACTION: f64 = 0.8;

/// Largest share of the requests that the coordinator has sent to the target version in addition to
/// the share of each node; the earlier version needs evidence as well.
const COORDINATOR_SHARE_MAX: f64 = 0.6;

/// Shortest time over which the slack that is left is spent.
const SPENDING_MIN_MS: u64 = 1_000;

/// Requests of all nodes to a service since the request of its rollout.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RequestCounts {
    /// Requests to replicas of any version.
    pub all: u64,
    /// Requests to replicas of the target version.
    pub to_target: u64,
}

/// Returns the probability with which nodes send a request to the target version in addition to
/// their own share, so that the slack is spent evenly until the decision, `left_ms` from now.
pub(crate) fn coordinator_share(
    bounds: RolloutBounds,
    counts: RequestCounts,
    elapsed_ms: u64,
    left_ms: u64,
) -> f64 {
    let left_ms = left_ms.max(SPENDING_MIN_MS) as f64;
    let expected = counts.all as f64 * left_ms / elapsed_ms.max(1) as f64;
    let share = bounds.exposure_share * SHARE_USED_FRACTION;
    let allowed =
        share * (counts.all as f64 + expected) + bounds.exposure_slack * SLACK_USED_FRACTION;
    let rest = allowed - counts.to_target as f64;
    (rest / expected.max(1.0) - share).clamp(0.0, COORDINATOR_SHARE_MAX)
}
