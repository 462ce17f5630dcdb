use std::ops::AddAssign;

/// What callers and replicas saw of a simulated load.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EntryResult {
    /// Bytes of responses that nodes received from replicas.
    pub bytes: u64,
    /// Those of them that came from another data centre.
    pub cross_bytes: u64,
    /// Sub-requests beyond the first of each leg.
    pub extra_sends: u64,
    /// Sub-requests in total.
    pub sends: u64,
    /// Results of each route.
    pub routes: Vec<RouteResult>,
    /// Largest number of requests in a window to a replica that limits their rate, as a share of
    /// what it accepts.
    pub worst_limit_use: f64,
    /// Largest number of extra sub-requests to one service in a window of the budget, as a share
    /// of what the operators allow.
    pub worst_budget_use: f64,
}

/// What the callers of one route got.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RouteResult {
    /// Benefit that the callers got: the square of the share of the parts in an answer, less if
    /// late.
    pub benefit: f64,
    /// Requests that failed after all retries of their callers.
    pub failed: u64,
    /// Answers within the target latency, whole or in part.
    pub in_time: u64,
    /// Answers after the target latency.
    pub late: u64,
    /// Parts left out of answers.
    pub missing_parts: u64,
    /// Requests of callers.
    pub offered: u64,
    /// Refusals because more requests arrived than could be answered in time.
    pub overload_refusals: u64,
    /// Refusals for any reason, of which a caller retries the first.
    pub refusals: u64,
    /// Benefit of a whole answer in time to every request.
    pub owed: f64,
}

impl EntryResult {
    /// Returns the share of the benefit owed that callers got, over all routes.
    #[must_use]
    pub fn benefit_share(&self) -> f64 {
        let benefit: f64 = self.routes.iter().map(|route| route.benefit).sum();
        let owed: f64 = self.routes.iter().map(|route| route.owed).sum();
        benefit / owed.max(1.0)
    }

    /// Returns the share of the bytes that came from another data centre.
    #[must_use]
    pub fn cross_share(&self) -> f64 {
        self.cross_bytes as f64 / self.bytes.max(1) as f64
    }

    /// Returns the sum over all routes.
    #[must_use]
    pub fn total(&self) -> RouteResult {
        let mut total = RouteResult::default();
        for route in &self.routes {
            total += *route;
        }
        total
    }
}

impl AddAssign for RouteResult {
    fn add_assign(&mut self, other: Self) {
        self.benefit += other.benefit;
        self.failed += other.failed;
        self.in_time += other.in_time;
        self.late += other.late;
        self.missing_parts += other.missing_parts;
        self.offered += other.offered;
        self.refusals += other.refusals;
        self.overload_refusals += other.overload_refusals;
        self.owed += other.owed;
    }
}
