/// Tokens that accumulate at a rate up to a burst; each request takes one.
///
/// Requests that are reported after they were admitted may take more tokens than there are. Later
/// requests wait until that debt is paid; it is bounded, so that old reports do not block a tenant.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    burst: f64,
    debt_max: f64,
    rate_per_s: f64,
    /// Between `-debt_max` and `burst`.
    tokens: f64,
    updated_us: u64,
}

impl TokenBucket {
    /// Creates a bucket with a number of tokens. A burst below 1 counts as 1, as no request would
    /// ever be admitted otherwise.
    #[must_use]
    pub fn new(now_us: u64, rate_per_s: f64, burst: f64, tokens: f64) -> Self {
        let burst = burst.max(1.0);
        Self {
            burst,
            debt_max: f64::INFINITY,
            rate_per_s,
            tokens: tokens.min(burst),
            updated_us: now_us,
        }
    }

    /// Bounds the debt that late reports can cause.
    #[must_use]
    pub const fn with_debt_max(mut self, debt_max: f64) -> Self {
        self.debt_max = debt_max;
        self
    }

    /// Changes the limits; tokens beyond the new burst are lost.
    pub fn set_limits(&mut self, now_us: u64, rate_per_s: f64, burst: f64) {
        self.refill(now_us);
        self.burst = burst.max(1.0);
        self.rate_per_s = rate_per_s;
        self.tokens = self.tokens.min(self.burst);
    }

    /// Returns the tokens, which are negative while there is a debt.
    pub fn tokens(&mut self, now_us: u64) -> f64 {
        self.refill(now_us);
        self.tokens
    }

    /// Returns the largest number of tokens.
    #[must_use]
    pub const fn burst(&self) -> f64 {
        self.burst
    }

    /// Takes a token, if there is one.
    pub fn take(&mut self, now_us: u64) -> bool {
        self.refill(now_us);
        let admitted = self.tokens >= 1.0;
        if admitted {
            self.tokens -= 1.0;
        }
        admitted
    }

    /// Takes tokens for requests that were admitted elsewhere; a negative count gives tokens back.
    pub fn charge(&mut self, now_us: u64, count: f64) {
        self.refill(now_us);
        self.tokens = (self.tokens - count).clamp(-self.debt_max, self.burst);
    }

    /// Returns the time until there is a token; `u64::MAX` if there never will be.
    pub fn wait_us(&mut self, now_us: u64) -> u64 {
        self.refill(now_us);
        let lacking = (1.0 - self.tokens).max(0.0);
        if lacking == 0.0 {
            0
        } else if self.rate_per_s <= 0.0 {
            u64::MAX
        } else {
            (lacking / self.rate_per_s * 1e6).ceil() as u64
        }
    }

    fn refill(&mut self, now_us: u64) {
        let elapsed_s = now_us.saturating_sub(self.updated_us) as f64 / 1e6;
        self.tokens = (self.tokens + elapsed_s * self.rate_per_s).min(self.burst);
        self.updated_us = self.updated_us.max(now_us);
    }
}
