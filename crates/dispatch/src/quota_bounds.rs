/// What the platform tolerates of a tenant's requests beyond its quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Share of the quota of a window by which a tenant may exceed it.
    pub overage: f64,
    /// Requests of a window by which a tenant may exceed its quota in addition to the share.
    pub slack: f64,
    /// Window in which requests are counted.
    pub window_us: u64,
}

impl Default for QuotaBounds {
    /// Bounds for settings that state none.
    fn default() -> Self {
        Self {
            overage: 0.1,
            slack: 20.0,
            window_us: 5_000_000,
        }
    }
}

impl QuotaBounds {
    /// Returns the length of the window in seconds.
    #[must_use]
    pub fn window_s(&self) -> f64 {
        self.window_us as f64 / 1e6
    }

    /// Returns the number of requests by which a tenant may exceed its quota in a window.
    #[must_use]
    pub fn tolerance(&self, rate_per_s: f64, burst: f64) -> f64 {
        (rate_per_s * self.window_s() + burst) * self.overage + self.slack
    }
}
