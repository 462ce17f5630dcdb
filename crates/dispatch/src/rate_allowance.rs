/// The requests that this node may send to one replica of which all nodes together may send only
/// some.
///
/// The node's share of the rate is granted as whole requests in windows, so that a share of less
/// than one request in a window is granted in some windows only. What is not sent in its window is
/// not made up for later: nodes do not know what the others send, and after a calm all of them could
/// make up for it at once.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateAllowance {
    /// Fraction of a request by which the grants are shifted, which spreads the grants of all nodes.
    carried: f64,
    /// Offset of this node's windows, which spreads the windows of all nodes.
    offset_us: u64,
    /// Requests sent in `window`.
    sent: u32,
    /// Number of the window of the newest request.
    window: u64,
    window_us: u64,
}

impl RateAllowance {
    /// Creates an allowance with windows of this length. `offset` shifts the windows, in windows, and
    /// `carried`, from 0 to 1, the grants.
    pub(crate) fn new(window_us: u64, offset: f64, carried: f64) -> Self {
        Self {
            carried,
            offset_us: (offset.fract() * window_us as f64) as u64,
            sent: 0,
            window: 0,
            window_us,
        }
    }

    /// Returns whether a request may be sent now, given this node's share of the rate.
    pub(crate) fn allows(&self, now_us: u64, own_per_s: f64) -> bool {
        let window = self.window_at(now_us);
        let sent = if window == self.window { self.sent } else { 0 };
        sent < self.granted(window, own_per_s)
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
        (self.window_at(now_us) + 1) * self.window_us - self.offset_us
    }

    const fn window_at(&self, now_us: u64) -> u64 {
        (now_us + self.offset_us) / self.window_us
    }

    /// Number of requests in a window: those that the rate adds up to by its end, less those that
    /// it had added up to before.
    fn granted(&self, window: u64, own_per_s: f64) -> u32 {
        let per_window = own_per_s * self.window_us as f64 / 1e6;
        let until = |window: u64| (window as f64 * per_window + self.carried).floor();
        (until(window + 1) - until(window)) as u32
    }
}
