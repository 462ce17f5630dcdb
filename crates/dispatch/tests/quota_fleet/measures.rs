use crate::quota_fleet::Fleet;
use crate::quota_fleet::Outcome;

/// What the requests of a run show.
impl Fleet {
    /// Returns the most requests of a tenant that were admitted in a window from `from_us` on,
    /// beyond its quota, and the number that the bound allows beyond it.
    pub fn excess(&self, tenant: usize, from_us: u64) -> (f64, f64) {
        let admitted = self.outcomes.iter().filter(|it| it.tenant == tenant);
        let mut times: Vec<u64> = admitted
            .filter(|it| it.admitted && it.at_us >= from_us)
            .map(|it| it.at_us)
            .collect();
        times.sort_unstable();
        let window_us = self.bounds.window_us;
        let mut first = 0;
        let mut most = 0;
        for (index, at_us) in times.iter().enumerate() {
            while times[first] + window_us < *at_us {
                first += 1;
            }
            most = most.max(index + 1 - first);
        }
        let spec = &self.specs[tenant];
        let quota = spec.rate_per_s * self.bounds.window_s() + spec.burst;
        let tolerance = self.bounds.tolerance(spec.rate_per_s, spec.burst);
        (most as f64 - quota, tolerance)
    }

    /// Returns the share of the requests within the quotas that were refused.
    pub fn refused_share(&self) -> f64 {
        let owed: Vec<&Outcome> = self.outcomes.iter().filter(|it| it.owed).collect();
        let refused = owed.iter().filter(|it| !it.admitted).count();
        refused as f64 / owed.len().max(1) as f64
    }

    /// Returns the mean time in milliseconds that requests waited for their admission.
    pub fn mean_wait_ms(&self) -> f64 {
        let waits = self.outcomes.iter().map(|it| it.at_us - it.sent_us);
        waits.sum::<u64>() as f64 / 1e3 / self.outcomes.len().max(1) as f64
    }

    /// Returns the requests of a tenant from a time on that were admitted, and those that a central
    /// bucket would have admitted.
    pub fn admitted_and_owed(&self, tenant: usize, from_us: u64) -> (usize, usize) {
        let of_tenant = |it: &&Outcome| it.tenant == tenant && it.sent_us >= from_us;
        let outcomes = || self.outcomes.iter().filter(of_tenant);
        let admitted = outcomes().filter(|it| it.admitted).count();
        (admitted, outcomes().filter(|it| it.owed).count())
    }

    /// Returns the mean of the demand of a tenant that the nodes know of.
    pub fn stated_demand(&self, tenant: usize) -> f64 {
        let name = &self.specs[tenant].name;
        let nodes = self.nodes.iter();
        let stated = nodes.filter_map(|node| node.view.demand_per_s(self.now_us, name));
        let stated: Vec<f64> = stated.collect();
        stated.iter().sum::<f64>() / stated.len() as f64
    }
}
