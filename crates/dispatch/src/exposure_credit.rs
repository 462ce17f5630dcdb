use crate::RolloutBounds;

/// Part of the exposure share that nodes use; the rest is for requests that are counted as sent but
/// never reach a replica.
pub(crate) const SHARE_USED_FRACTION: f64 = 0.8;

/// Largest credit; a node without a replica of the target version must not save up a burst.
const CREDIT_MAX: f64 = 2.0;

/// Requests that one node may send to the target version of a rollout by its share alone.
///
/// Each node sends whole requests, of which it earns fractions. As the credit starts at a random
/// fraction, the expected number of requests is what was earned, over any number of nodes and
/// without a message between them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExposureCredit {
    /// Requests that may be sent now, with a fraction.
    credit: f64,
    /// Requests earned per request to the service.
    share: f64,
}

impl ExposureCredit {
    /// Creates the credit of a node; `start` is a random fraction.
    pub(crate) fn new(bounds: RolloutBounds, start: f64) -> Self {
        Self {
            credit: start,
            share: bounds.exposure_share * SHARE_USED_FRACTION,
        }
    }

    /// Credits a request to the service, of any version.
    pub(crate) const fn earn(&mut self) {
        self.credit = (self.credit + self.share).min(CREDIT_MAX);
    }

    /// Whether a request may be sent to the target version.
    pub(crate) const fn allows(&self) -> bool {
        self.credit >= 1.0
    }

    /// Charges a request that is sent to the target version; one that the coordinator allowed in
    /// addition leaves the fraction as it is.
    pub(crate) const fn charge(&mut self) {
        if self.allows() {
            self.credit -= 1.0;
        }
    }
}
