//! Credit budget that bounds the number of hedges and retries.

/// Default cost of an extra sub-request in credits. Each first sub-request adds one credit,
/// so extra sub-requests are bounded to 5% of the first ones.
const DEFAULT_COST: u32 = 20;

/// Default number of extra sub-requests that may be sent in a row.
const DEFAULT_BURST: u32 = 5;

/// Budget of a service for extra sub-requests, that is hedges and retries together.
#[derive(Clone, Copy, Debug)]
pub struct ExtraSubRequestBudget {
    /// Number of extra sub-requests that may be sent in a row.
    burst: u32,
    /// Credits that an extra sub-request costs.
    cost: u32,
    /// Available credits; at most `burst * cost`.
    credit: u32,
}

impl Default for ExtraSubRequestBudget {
    fn default() -> Self {
        Self::new(DEFAULT_COST, DEFAULT_BURST)
    }
}

impl ExtraSubRequestBudget {
    /// Creates a full budget of `burst` extra sub-requests, each of which costs `cost`
    /// credits. Each first sub-request adds one credit.
    #[must_use]
    pub const fn new(cost: u32, burst: u32) -> Self {
        Self {
            burst,
            cost,
            credit: burst * cost,
        }
    }

    /// Returns the budget with a different burst; credit above the new limit is lost.
    #[must_use]
    pub const fn with_burst(mut self, burst: u32) -> Self {
        self.burst = burst;
        if self.credit > burst * self.cost {
            self.credit = burst * self.cost;
        }
        self
    }

    /// Adds the credit of one first sub-request.
    pub fn earn(&mut self) {
        self.credit = (self.credit + 1).min(self.burst * self.cost);
    }

    /// Refunds an extra sub-request that placed no load on a target.
    pub fn refund(&mut self) {
        self.credit = (self.credit + self.cost).min(self.burst * self.cost);
    }

    /// Charges an extra sub-request; returns `false` if the credit is too low.
    pub fn try_charge(&mut self) -> bool {
        self.try_charge_above_reserve(0)
    }

    /// Charges an extra sub-request if credit for `reserve` further ones remains afterwards;
    /// otherwise returns `false`.
    pub fn try_charge_above_reserve(&mut self, reserve: u32) -> bool {
        if self.credit < self.cost * (1 + reserve) {
            return false;
        }
        let Some(rest) = self.credit.checked_sub(self.cost) else {
            return false;
        };
        self.credit = rest;
        true
    }
}
