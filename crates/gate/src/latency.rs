use crate::time::SECOND_US;

/// A reply counts as slow above this multiple of the typical time.
const JUMP_FACTOR: u64 = 8;

/// Replies below this time never count as slow; scheduling noise alone reaches
/// several hundred microseconds.
const JUMP_FLOOR_US: u64 = 1_000;

/// Slow replies in a row that make a jump. Three keeps a lone straggler, or a
/// straggler on each of 2 slots, from being taken for a restart.
const JUMP_REPLIES: u32 = 3;

/// Replies needed before a reply can be called slow.
const JUMP_SAMPLES: u32 = 8;

/// Assumed typical time before the first reply: the users' replicas answer in
/// a few milliseconds.
const INITIAL_US: u64 = 5_000;

/// Estimate of a replica's service time from its replies.
///
/// Slow replies are kept out of the estimate until they make a jump.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Latency {
    /// Smoothed mean distance from the typical time.
    deviation_us: u64,
    /// Time of the newest sample.
    observed_us: u64,
    samples: u32,
    /// Slow replies since the last reply that was not slow.
    slow: u32,
    /// Smoothed mean.
    typical_us: u64,
}

impl Latency {
    /// Continues from the typical time that a previous owner observed.
    pub(crate) const fn handed_over(now_us: u64, typical_us: u64) -> Self {
        Self {
            deviation_us: typical_us / 2,
            observed_us: now_us,
            samples: if typical_us == 0 { 0 } else { JUMP_SAMPLES },
            slow: 0,
            typical_us,
        }
    }

    /// Takes the service time of a reply; returns whether it completes a jump.
    pub(crate) const fn observe(&mut self, now_us: u64, elapsed_us: u64) -> bool {
        if self.is_slow(elapsed_us) {
            return self.count_slow(now_us, elapsed_us);
        }
        self.learn(now_us, elapsed_us);
        false
    }

    const fn learn(&mut self, now_us: u64, elapsed_us: u64) {
        self.slow = 0;
        self.observed_us = now_us;
        if self.samples == 0 {
            self.typical_us = elapsed_us;
            self.deviation_us = elapsed_us / 2;
        } else {
            let distance_us = self.typical_us.abs_diff(elapsed_us);
            self.deviation_us = (self.deviation_us * 3 + distance_us) / 4;
            self.typical_us = (self.typical_us * 7 + elapsed_us) / 8;
        }
        self.samples = self.samples.saturating_add(1);
    }

    /// Takes the time after which a request ended without a reply, a lower
    /// bound of its service time; returns whether it completes a jump.
    ///
    /// The requests of a slow replica are mostly cancelled, because their hedges
    /// win. Without them, only its fastest replies would count. The request would
    /// have run on; as a sample it counts with a typical time more, as if service
    /// times had no memory. With the bare bound the estimate of a replica that is
    /// 10 times slower settles at half its service time.
    pub(crate) const fn observe_unfinished(&mut self, now_us: u64, elapsed_us: u64) -> bool {
        if elapsed_us <= self.typical_us {
            return false;
        }
        if self.is_slow(elapsed_us) {
            return self.count_slow(now_us, elapsed_us);
        }
        self.learn(now_us, elapsed_us + self.typical_us);
        false
    }

    /// Keeps the typical time, but asks for new samples before a reply counts as
    /// slow again.
    pub(crate) const fn restart(&mut self) {
        if self.samples > 1 {
            self.samples = 1;
        }
        self.slow = 0;
    }

    /// Typical service time, or the assumed one before the first reply.
    pub(crate) const fn typical_us(&self) -> u64 {
        if self.samples == 0 {
            INITIAL_US
        } else {
            self.typical_us
        }
    }

    /// Typical service time, or zero before the first reply.
    pub(crate) const fn handed_over_us(&self) -> u64 {
        self.typical_us
    }

    /// Time that must remain for a new sub-request: typical plus twice the
    /// deviation. Zero before the first reply.
    pub(crate) const fn admission_us(&self, now_us: u64) -> u64 {
        self.aged(now_us, self.typical_us + 2 * self.deviation_us)
    }

    /// Time that must remain for a sub-request that already waits. Without the
    /// margin, so that noise in the estimate does not refuse admitted work.
    pub(crate) const fn retention_us(&self, now_us: u64) -> u64 {
        self.aged(now_us, self.typical_us)
    }

    /// Halves `time_us` for each second without a sample. Otherwise an estimate
    /// above every caller's deadline would refuse the work that can correct it.
    const fn aged(&self, now_us: u64, time_us: u64) -> u64 {
        let age_s = now_us.saturating_sub(self.observed_us) / SECOND_US;
        if age_s > 63 { 0 } else { time_us >> age_s }
    }

    const fn is_slow(&self, elapsed_us: u64) -> bool {
        self.samples >= JUMP_SAMPLES
            && elapsed_us > JUMP_FLOOR_US
            && elapsed_us > self.typical_us.saturating_mul(JUMP_FACTOR)
    }

    const fn count_slow(&mut self, now_us: u64, elapsed_us: u64) -> bool {
        self.slow += 1;
        if self.slow < JUMP_REPLIES {
            return false;
        }
        *self = Self {
            deviation_us: elapsed_us / 2,
            observed_us: now_us,
            samples: 1,
            slow: 0,
            typical_us: elapsed_us,
        };
        true
    }
}
