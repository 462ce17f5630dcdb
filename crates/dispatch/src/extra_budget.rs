use wigeonhall_query::ExtraSubRequestBudget;

/// First requests per extra sub-request until the operators' ratio is known.
const DEFAULT_REQUESTS_PER_EXTRA: u32 = 7;

/// Fraction of the operators' allowance that all nodes together use. The rest is for legs (a
/// request's shares for one service each) that were assigned to a node that did not return them:
/// the assigning node sends these itself without charging the budget.
const USED_FRACTION: f64 = 0.85;

/// Maximum burst of extra sub-requests that a node may send to one service from earned credit.
const EARNED_BURST_MAX: u32 = 4;

/// Minimum burst with which a hedge is possible: one extra sub-request, and one reserved
/// for a retry.
const EARNED_BURST_MIN: u32 = 2;

/// Fraction of a node's slack that may be used at once; the rest accrues over the window.
const IMMEDIATE_FRACTION: f64 = 0.25;

/// Extra sub-requests, that is hedges and retries, that operators allow for each service from
/// all nodes together.
#[derive(Clone, Copy, Debug)]
pub struct ExtraAllowance {
    /// Extra sub-requests per first request.
    pub ratio: f64,
    /// Extra sub-requests allowed in each window in addition to the ratio.
    pub slack: f64,
    /// Length of the window for the slack.
    pub window_ms: u64,
}

impl Default for ExtraAllowance {
    fn default() -> Self {
        Self {
            ratio: 1.0 / (f64::from(DEFAULT_REQUESTS_PER_EXTRA) * USED_FRACTION),
            slack: 0.0,
            window_ms: 10_000,
        }
    }
}

/// Budget of one node for hedges and retries to one service.
///
/// First requests earn credit by the ratio. In addition, each node that sends to the service gets
/// an equal portion of the slack, less its burst of earned credit: [`IMMEDIATE_FRACTION`] of the
/// remainder is available at once, and the rest accrues over the window.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExtraBudget {
    earned: ExtraSubRequestBudget,
    slack: f64,
    slack_max: f64,
    slack_per_us: f64,
    updated_us: u64,
}

impl ExtraBudget {
    pub(crate) fn new(allowance: ExtraAllowance) -> Self {
        Self {
            earned: ExtraSubRequestBudget::new(
                requests_per_extra(allowance.ratio),
                EARNED_BURST_MAX,
            ),
            slack: 0.0,
            slack_max: 0.0,
            slack_per_us: 0.0,
            updated_us: 0,
        }
    }

    /// Sets how many nodes send to the service.
    ///
    /// The slack also bounds each node's burst of earned credit, because all nodes may send a
    /// burst at the same time.
    pub(crate) fn set_senders(&mut self, allowance: ExtraAllowance, senders: usize) {
        let node_slack = allowance.slack * USED_FRACTION / senders.max(1) as f64;
        let burst = (node_slack as u32).clamp(EARNED_BURST_MIN, EARNED_BURST_MAX);
        self.earned = self.earned.with_burst(burst);
        let remainder = (node_slack - f64::from(burst)).max(0.0);
        self.slack_max = remainder * IMMEDIATE_FRACTION;
        self.slack = self.slack.min(self.slack_max);
        let window_us = allowance.window_ms.max(1) as f64 * 1_000.0;
        self.slack_per_us = remainder * (1.0 - IMMEDIATE_FRACTION) / window_us;
    }

    /// Earns credit for a first request.
    pub(crate) fn earn(&mut self) {
        self.earned.earn();
    }

    /// Charges an extra sub-request if earned credit for `reserve` more remains, or from the
    /// slack; returns false if the budget does not allow it.
    pub(crate) fn try_charge(&mut self, now_us: u64, reserve: u32) -> bool {
        self.refill(now_us);
        if self.earned.try_charge_above_reserve(reserve) {
            return true;
        }
        let in_budget = self.slack >= 1.0;
        if in_budget {
            self.slack -= 1.0;
        }
        in_budget
    }

    fn refill(&mut self, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.updated_us) as f64;
        self.slack = (self.slack + elapsed_us * self.slack_per_us).min(self.slack_max);
        self.updated_us = self.updated_us.max(now_us);
    }
}

/// Returns the number of first requests per extra sub-request, given that operators allow `ratio`
/// extra sub-requests per first request.
fn requests_per_extra(ratio: f64) -> u32 {
    let used_ratio = (ratio * USED_FRACTION).max(1e-3);
    used_ratio.recip().ceil() as u32
}
