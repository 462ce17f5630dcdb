/// Cost of an extra sub-request by default, in the credit that one sub-request earns: 5%.
const COST: u32 = 20;

/// Extra sub-requests that may go out in a row by default.
const BURST: u32 = 5;

/// Budget of a service for hedges and retries together.
#[derive(Clone, Copy, Debug)]
pub struct ExtraSendBudget {
    /// Extra sub-requests that may go out in a row.
    burst: u32,
    /// Credit that an extra sub-request costs.
    cost: u32,
    /// At most `burst * cost`.
    credit: u32,
}

impl Default for ExtraSendBudget {
    fn default() -> Self {
        Self::new(COST, BURST)
    }
}

impl ExtraSendBudget {
    /// A full budget of `burst` extra sub-requests, each paid by `cost` first ones.
    #[must_use]
    pub const fn new(cost: u32, burst: u32) -> Self {
        Self {
            burst,
            cost,
            credit: burst * cost,
        }
    }

    /// The same budget with another number of extra sub-requests in a row.
    #[must_use]
    pub const fn with_burst(mut self, burst: u32) -> Self {
        self.burst = burst;
        if self.credit > burst * self.cost {
            self.credit = burst * self.cost;
        }
        self
    }

    /// Earns the credit of one first sub-request.
    pub fn earn(&mut self) {
        self.credit = (self.credit + 1).min(self.burst * self.cost);
    }

    /// Returns what an extra sub-request paid that placed no load on a target.
    pub fn refund(&mut self) {
        self.credit = (self.credit + self.cost).min(self.burst * self.cost);
    }

    /// Pays for an extra sub-request, if the credit allows it.
    pub fn take(&mut self) -> bool {
        self.try_spend_above(0)
    }

    /// Pays for an extra sub-request, if credit for `reserve` further ones is left then.
    pub fn try_spend_above(&mut self, reserve: u32) -> bool {
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
