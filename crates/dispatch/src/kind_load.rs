/// Time constant of the recent rate.
const RECENT_S: f64 = 10.0;

/// Time constant of the usual rate; a burst that lasts longer becomes the usual load.
const USUAL_S: f64 = 120.0;

/// Requests within [`RECENT_S`] that are no sign of a burst: a node may see few of a kind.
const SMALL_NUMBER: f64 = 1.0;

/// Time without a request after which a kind is forgotten.
const FORGOTTEN_S: f64 = 4.0 * USUAL_S;

/// Recent and usual rate of one kind of request, as seen by this node.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KindLoad {
    /// Time of the last request.
    last_us: u64,
    recent_per_s: f64,
    usual_per_s: f64,
}

impl KindLoad {
    pub(crate) fn record(&mut self, now_us: u64) {
        let (recent_per_s, usual_per_s) = self.rates(now_us);
        *self = Self {
            last_us: now_us,
            recent_per_s: recent_per_s + 1.0 / RECENT_S,
            usual_per_s: usual_per_s + 1.0 / USUAL_S,
        };
    }

    /// Returns the share of the recent load that is usual; 1 unless it has risen.
    pub(crate) fn usual_share(&self, now_us: u64) -> f64 {
        let (recent_per_s, usual_per_s) = self.rates(now_us);
        let small_per_s = SMALL_NUMBER / RECENT_S;
        ((usual_per_s + small_per_s) / (recent_per_s + small_per_s)).min(1.0)
    }

    pub(crate) fn has_ended(&self, now_us: u64) -> bool {
        self.silent_s(now_us) > FORGOTTEN_S
    }

    fn silent_s(&self, now_us: u64) -> f64 {
        now_us.saturating_sub(self.last_us) as f64 / 1e6
    }

    fn rates(&self, now_us: u64) -> (f64, f64) {
        let silent_s = self.silent_s(now_us);
        (
            self.recent_per_s * (-silent_s / RECENT_S).exp(),
            self.usual_per_s * (-silent_s / USUAL_S).exp(),
        )
    }
}
