/// Cost of an extra sub-request, in the credit that one sub-request earns: 5%.
const COST: u32 = 20;

/// Extra sub-requests that may go out in a row.
const BURST: u32 = 5;

/// Budget of a service for hedges and retries together.
#[derive(Clone, Copy, Debug)]
pub struct HedgeBudget {
    /// At most `BURST * COST`.
    credit: u32,
}

impl Default for HedgeBudget {
    fn default() -> Self {
        Self {
            credit: BURST * COST,
        }
    }
}

impl HedgeBudget {
    /// Earns the credit of one first sub-request.
    pub fn earn(&mut self) {
        self.credit = (self.credit + 1).min(BURST * COST);
    }

    /// Returns what an extra sub-request paid that placed no load on a target.
    pub fn refund(&mut self) {
        self.credit = (self.credit + COST).min(BURST * COST);
    }

    /// Pays for an extra sub-request, if the credit allows it.
    pub fn take(&mut self) -> bool {
        let Some(rest) = self.credit.checked_sub(COST) else {
            return false;
        };
        self.credit = rest;
        true
    }
}
