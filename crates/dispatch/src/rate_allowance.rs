use fastrand::Rng;

/// Length of the windows in which a node sends its requests to a replica that limits their rate.
///
/// What is not sent in its window is not made up for later: nodes do not know what the others send,
/// and after a calm all of them could make up for it at once.
const WINDOW_US: u64 = 2_000_000;

/// Part of a replica's limit that all nodes together use; the rest is for nodes that are not known
/// yet.
const USED_FRACTION: f64 = 0.95;

/// Offset between the windows of siblings, in windows: the golden ratio spreads any number of them.
const SIBLING_OFFSET: f64 = 0.618;

/// Lowest limit; a node that sends nothing would never learn that a replica has lifted its limit.
const LIMIT_MIN_PER_S: f64 = 0.2;

/// The requests that this node may send to one replica while the replica limits their rate.
///
/// The node's share of the limit is granted as whole requests, so that a share of less than one
/// request in a window is granted in some windows only.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateAllowance {
    /// Offset of this node's windows, which spreads the windows of all nodes.
    offset_us: u64,
    /// Fraction of a request by which the grants are shifted, which spreads the grants of all nodes.
    carried: f64,
    /// Requests sent in `window`.
    sent: u32,
    /// Number of the window of the newest request.
    window: u64,
}

impl RateAllowance {
    /// Creates the allowance for the replica of a service with this number; a node uses the same
    /// `seed` for all replicas.
    ///
    /// The windows of a node begin at the same time for the first replicas of all services, so that
    /// a request to many services finds all of them, and at other times for their siblings.
    pub(crate) fn new(seed: u64, number: usize) -> Self {
        let mut rng = Rng::with_seed(seed);
        let fraction = rng.f64() + number as f64 * SIBLING_OFFSET;
        Self {
            carried: rng.f64(),
            offset_us: (fraction.fract() * WINDOW_US as f64) as u64,
            sent: 0,
            window: 0,
        }
    }

    /// Returns whether a request may be sent now, given the limit of the replica and this node's
    /// share of it, from 0 to 1.
    pub(crate) fn allows(&self, now_us: u64, limit_per_s: f64, share: f64) -> bool {
        let window = self.window_at(now_us);
        let sent = if window == self.window { self.sent } else { 0 };
        sent < self.granted(window, limit_per_s, share)
    }

    /// Records that a request is sent now.
    pub(crate) const fn record_request(&mut self, now_us: u64) {
        let window = self.window_at(now_us);
        if window != self.window {
            self.window = window;
            self.sent = 0;
        }
        self.sent = self.sent.saturating_add(1);
    }

    /// Returns the start of the next window.
    pub(crate) const fn next_window_us(&self, now_us: u64) -> u64 {
        (self.window_at(now_us) + 1) * WINDOW_US - self.offset_us
    }

    const fn window_at(&self, now_us: u64) -> u64 {
        (now_us + self.offset_us) / WINDOW_US
    }

    /// Number of requests in a window: those that the share adds up to by its end, less those that
    /// it had added up to before.
    fn granted(&self, window: u64, limit_per_s: f64, share: f64) -> u32 {
        let per_s = limit_per_s.max(LIMIT_MIN_PER_S) * USED_FRACTION * share;
        let per_window = per_s * WINDOW_US as f64 / 1e6;
        let until = |window: u64| (window as f64 * per_window + self.carried).floor();
        (until(window + 1) - until(window)) as u32
    }
}
