/// What a response says about the rate that its replica accepts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RateLimit {
    /// The replica names no limit.
    None,
    /// The replica accepts this many requests per second from all nodes together.
    PerSecond(f64),
    /// There is no response, or its limit cannot be read.
    #[default]
    Unknown,
}

/// Share by which a limit must differ from the one that was reported last to be reported again;
/// replicas name another one in nearly every response.
const REPORTED_DIFFERENCE: f64 = 0.25;

/// Time after which a limit that was not named again may have ended.
const OUTDATED_US: u64 = 2_000_000;

/// The limit that a replica names, and what this node sent since then.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RateLimitState {
    /// Time of the newest response that named a limit.
    named_us: u64,
    /// Requests per second from all nodes together; `None` while the replica names no limit.
    pub(crate) per_s: Option<f64>,
    /// Limit that was reported last.
    reported_per_s: Option<f64>,
    /// Requests that this node sent since the replica first named a limit; kept after its end.
    pub(crate) requests: u32,
}

impl RateLimitState {
    /// Applies the response to a request that was sent at `sent_us`; returns whether the limit
    /// begins, ends or changes much.
    ///
    /// A limit ends with a response to a request that was sent after the newest one that named it:
    /// responses may arrive out of order.
    pub(crate) fn apply(&mut self, now_us: u64, sent_us: u64, limit: RateLimit) -> bool {
        let per_s = match limit {
            RateLimit::Unknown => return false,
            RateLimit::None if sent_us < self.named_us => return false,
            RateLimit::None => None,
            RateLimit::PerSecond(per_s) => {
                self.named_us = now_us;
                Some(per_s)
            }
        };
        if self.per_s.is_none() && per_s.is_some() {
            self.requests = 0;
        }
        self.per_s = per_s;
        let changed = self.differs_from_reported();
        if changed {
            self.reported_per_s = per_s;
        }
        changed
    }

    fn differs_from_reported(&self) -> bool {
        match (self.per_s, self.reported_per_s) {
            (Some(per_s), Some(reported_per_s)) => {
                (per_s - reported_per_s).abs() > reported_per_s * REPORTED_DIFFERENCE
            }
            (per_s, reported_per_s) => per_s.is_some() != reported_per_s.is_some(),
        }
    }

    /// Whether the replica may have lifted its limit meanwhile: it has not named it for some time.
    pub(crate) const fn is_outdated(&self, now_us: u64) -> bool {
        self.per_s.is_some() && now_us > self.named_us + OUTDATED_US
    }

    /// Records a request to the replica.
    pub(crate) const fn record_request(&mut self) {
        self.requests = self.requests.saturating_add(1);
    }
}
