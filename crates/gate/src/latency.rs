use crate::time::SECOND_US;

/// A reply counts as slow if it takes longer than this multiple of the typical time.
const SLOW_FACTOR: u64 = 8;

/// A reply that is faster than this never counts as slow. Scheduling noise alone reaches
/// several hundred microseconds.
const SLOW_MIN_US: u64 = 1_000;

/// Consecutive slow replies that count as a latency jump, after which the replica is taken for
/// restarted. With fewer, one straggler on each of 2 slots would count as a restart.
const JUMP_SLOW_REPLIES: u32 = 3;

/// Samples needed before a reply can count as slow.
const SLOW_MIN_SAMPLES: u32 = 8;

/// Typical time assumed before the first reply. Replicas usually reply in a few milliseconds.
const INITIAL_TYPICAL_US: u64 = 5_000;

/// Estimate of a replica's service time from its replies.
///
/// Slow replies change the estimate only once they make a latency jump.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LatencyEstimate {
    /// Smoothed mean deviation from the typical time.
    deviation_us: u64,
    /// Time of the newest sample.
    last_sample_us: u64,
    samples: u32,
    /// Slow replies since the last reply that was not slow.
    consecutive_slow: u32,
    /// Smoothed mean service time.
    typical_us: u64,
}

impl LatencyEstimate {
    /// Creates an estimate from the typical time that the previous owner observed.
    pub(crate) const fn from_hand_over(now_us: u64, typical_us: u64) -> Self {
        Self {
            deviation_us: typical_us / 2,
            last_sample_us: now_us,
            samples: if typical_us == 0 { 0 } else { SLOW_MIN_SAMPLES },
            consecutive_slow: 0,
            typical_us,
        }
    }

    /// Records the service time of a reply; returns whether it completes a latency jump.
    pub(crate) const fn observe(&mut self, now_us: u64, elapsed_us: u64) -> bool {
        if self.is_slow(elapsed_us) {
            return self.count_slow(now_us, elapsed_us);
        }
        self.add_sample(now_us, elapsed_us);
        false
    }

    const fn add_sample(&mut self, now_us: u64, elapsed_us: u64) {
        self.consecutive_slow = 0;
        self.last_sample_us = now_us;
        if self.samples == 0 {
            self.typical_us = elapsed_us;
            self.deviation_us = elapsed_us / 2;
        } else {
            let sample_deviation_us = self.typical_us.abs_diff(elapsed_us);
            self.deviation_us = (self.deviation_us * 3 + sample_deviation_us) / 4;
            self.typical_us = (self.typical_us * 7 + elapsed_us) / 8;
        }
        self.samples = self.samples.saturating_add(1);
    }

    /// Records the time after which a request ended without a reply, which is a lower bound of
    /// its service time; returns whether it completes a latency jump.
    ///
    /// Most requests to a slow replica are cancelled because their hedges win. Without these
    /// samples, only the fastest replies of the replica would count. The sample is the elapsed
    /// time plus one typical time, as if service times were memoryless: the elapsed time alone
    /// would estimate half the service time of a replica that became 10 times slower.
    pub(crate) const fn observe_unfinished(&mut self, now_us: u64, elapsed_us: u64) -> bool {
        if elapsed_us <= self.typical_us {
            return false;
        }
        if self.is_slow(elapsed_us) {
            return self.count_slow(now_us, elapsed_us);
        }
        self.add_sample(now_us, elapsed_us + self.typical_us);
        false
    }

    /// Keeps the typical time, but requires new samples before a reply counts as slow again.
    pub(crate) const fn require_new_samples(&mut self) {
        if self.samples > 1 {
            self.samples = 1;
        }
        self.consecutive_slow = 0;
    }

    /// Returns the typical service time, or an assumed one before the first reply.
    pub(crate) const fn typical_us(&self) -> u64 {
        if self.samples == 0 {
            INITIAL_TYPICAL_US
        } else {
            self.typical_us
        }
    }

    /// Returns the typical service time for the new owner, or zero before the first reply.
    pub(crate) const fn hand_over_us(&self) -> u64 {
        self.typical_us
    }

    /// Returns the time that must remain before the deadline of a new sub-request: the typical
    /// time plus twice the deviation. Zero before the first reply.
    pub(crate) const fn required_on_admission_us(&self, now_us: u64) -> u64 {
        self.halve_by_age(now_us, self.typical_us + 2 * self.deviation_us)
    }

    /// Returns the time that must remain before the deadline of a sub-request that already
    /// waits. It has no margin for the deviation, so that noise in the estimate does not refuse
    /// admitted sub-requests.
    pub(crate) const fn required_while_waiting_us(&self, now_us: u64) -> u64 {
        self.halve_by_age(now_us, self.typical_us)
    }

    /// Halves `time_us` for each second without a sample. Otherwise an estimate above every
    /// caller's deadline would refuse the requests whose replies can correct it.
    const fn halve_by_age(&self, now_us: u64, time_us: u64) -> u64 {
        let age_s = now_us.saturating_sub(self.last_sample_us) / SECOND_US;
        if age_s > 63 { 0 } else { time_us >> age_s }
    }

    const fn is_slow(&self, elapsed_us: u64) -> bool {
        self.samples >= SLOW_MIN_SAMPLES
            && elapsed_us > SLOW_MIN_US
            && elapsed_us > self.typical_us.saturating_mul(SLOW_FACTOR)
    }

    const fn count_slow(&mut self, now_us: u64, elapsed_us: u64) -> bool {
        self.consecutive_slow += 1;
        if self.consecutive_slow < JUMP_SLOW_REPLIES {
            return false;
        }
        *self = Self {
            deviation_us: elapsed_us / 2,
            last_sample_us: now_us,
            samples: 1,
            consecutive_slow: 0,
            typical_us: elapsed_us,
        };
        true
    }
}
