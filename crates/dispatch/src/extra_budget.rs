use wigeonhall_query::ExtraSendBudget;

use crate::ExtraReason;

/// First requests that pay for one extra one before the operators' share is known.
const EXTRA_COST: u32 = 7;

/// Part of what operators allow that the nodes use together: legs that are taken back from
/// another node are sent once more without payment.
const USED_PART: f64 = 0.85;

/// Extra requests that a node may send in a row to one service by its share.
const EXTRA_BURST: u32 = 4;

/// Extra requests in a row without which no hedge is sent: one, and one kept for a retry.
const EXTRA_BURST_MIN: u32 = 2;

/// Part of a node's slack that may be used at once.
const AT_ONCE_PART: f64 = 0.25;

/// Extra requests for which a hedge leaves credit.
const RETRIES_RESERVED: u32 = 1;

/// Extra requests that operators allow for each service, over all nodes.
#[derive(Clone, Copy, Debug)]
pub struct ExtraAllowance {
    /// Extra requests for each first one.
    pub share: f64,
    /// Extra requests besides, in each window.
    pub slack: f64,
    /// Length of the window.
    pub window_ms: u64,
}

impl Default for ExtraAllowance {
    fn default() -> Self {
        Self {
            share: 1.0 / (f64::from(EXTRA_COST) * USED_PART),
            slack: 0.0,
            window_ms: 10_000,
        }
    }
}

/// Budget of one node for hedges and retries to one service.
///
/// A share is earned by first requests. Besides, each node that sends to the service has an
/// equal part of the slack: a quarter of it at once, and the rest over a window.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExtraBudget {
    share: ExtraSendBudget,
    slack: f64,
    slack_max: f64,
    slack_per_us: f64,
    updated_us: u64,
}

impl ExtraBudget {
    pub(crate) fn new(allowance: ExtraAllowance) -> Self {
        Self {
            share: ExtraSendBudget::new(cost(allowance.share), EXTRA_BURST),
            slack: 0.0,
            slack_max: 0.0,
            slack_per_us: 0.0,
            updated_us: 0,
        }
    }

    /// Sets how many nodes send to the service.
    ///
    /// What each may send in a row is bounded by the slack, too: all of them may do so at once.
    pub(crate) fn set_senders(&mut self, allowance: ExtraAllowance, senders: usize) {
        let part = allowance.slack * USED_PART / senders.max(1) as f64;
        let burst = (part as u32).clamp(EXTRA_BURST_MIN, EXTRA_BURST);
        self.share = self.share.with_burst(burst);
        let rest = (part - f64::from(burst)).max(0.0);
        self.slack_max = rest * AT_ONCE_PART;
        self.slack = self.slack.min(self.slack_max);
        let window_us = allowance.window_ms.max(1) as f64 * 1_000.0;
        self.slack_per_us = rest * (1.0 - AT_ONCE_PART) / window_us;
    }

    /// Counts a first request.
    pub(crate) fn earn(&mut self) {
        self.share.earn();
    }

    /// Pays for an extra request, if the budget allows it. A hedge leaves credit for a retry:
    /// its first send may still bring the answer.
    pub(crate) fn take(&mut self, now_us: u64, reason: ExtraReason) -> bool {
        self.refill(now_us);
        let reserve = match reason {
            ExtraReason::Hedge => RETRIES_RESERVED,
            ExtraReason::Retry => 0,
        };
        if self.share.try_spend_above(reserve) {
            return true;
        }
        let pays = self.slack >= 1.0;
        if pays {
            self.slack -= 1.0;
        }
        pays
    }

    fn refill(&mut self, now_us: u64) {
        let passed_us = now_us.saturating_sub(self.updated_us) as f64;
        self.slack = (self.slack + passed_us * self.slack_per_us).min(self.slack_max);
        self.updated_us = self.updated_us.max(now_us);
    }
}

/// First requests that pay for one extra one, where operators allow `share` extra ones for
/// each.
fn cost(share: f64) -> u32 {
    let used_share = (share * USED_PART).max(1e-3);
    used_share.recip().ceil() as u32
}
