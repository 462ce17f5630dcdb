/// Time for which a replica whose entry has gone is still used: an entry may lapse in an
/// outage of the store that nobody has noticed yet.
const LINGER_US: u64 = 1_200_000;

/// The same after an outage of the store; entries that lapsed in it are back about two
/// seconds after its end.
const LINGER_AFTER_OUTAGE_US: u64 = 2_300_000;

/// What a node knows of the outages of the store. Times are in microseconds.
#[derive(Debug, Default)]
#[expect(clippy::struct_field_names, reason = "fields carry their unit")]
pub struct StoreHealth {
    /// When the newest look that was answered was sent.
    answered_us: Option<u64>,
    /// Since when nobody knows whether the store answers.
    doubted_us: Option<u64>,
    /// When the newest outage ended.
    outage_ended_us: Option<u64>,
}

impl StoreHealth {
    /// Records that the store may be away.
    pub const fn doubt(&mut self, now_us: u64) {
        self.doubted_us = Some(now_us);
    }

    /// Records an answer to a look that was sent at `asked_us`.
    pub fn answered(&mut self, asked_us: u64) {
        self.answered_us = self.answered_us.max(Some(asked_us));
    }

    /// When the newest look that was answered was sent.
    #[must_use]
    pub const fn answered_us(&self) -> Option<u64> {
        self.answered_us
    }

    /// Whether no look was answered since the store came into doubt.
    #[must_use]
    pub fn in_doubt(&self) -> bool {
        self.doubted_us.is_some() && self.answered_us < self.doubted_us
    }

    /// Records the end of an outage that began at `began_us`; returns whether this end is
    /// news.
    pub fn outage_ended(&mut self, now_us: u64, began_us: u64) -> bool {
        let news = self
            .outage_ended_us
            .is_none_or(|ended_us| ended_us <= began_us);
        if news {
            self.outage_ended_us = Some(now_us);
        }
        news
    }

    /// Whether an outage ended so lately that entries of replicas may still be missing: those
    /// that lapsed, and those of replicas that started meanwhile.
    #[must_use]
    pub fn is_settling(&self, now_us: u64) -> bool {
        self.outage_ended_us
            .is_some_and(|ended_us| now_us < ended_us + LINGER_AFTER_OUTAGE_US)
    }

    /// How long a replica without an entry is still used.
    ///
    /// An outage counts for all collections, also for one of which no call failed.
    #[must_use]
    pub fn removal_delay_us(&self, now_us: u64) -> u64 {
        if self.in_doubt() || self.is_settling(now_us) {
            LINGER_AFTER_OUTAGE_US
        } else {
            LINGER_US
        }
    }
}
