use crate::pacing;

/// Shortest stabilization time that the times are derived from; a shorter one would have nodes call
/// the store without a pause.
const STABILIZATION_MIN_MS: u64 = 1_000;

/// Longest timeout of a health check of the store.
const CHECK_TIMEOUT_MAX_MS: u64 = 1_000;

/// Longest pause of a reader between two health checks in an outage.
const CHECK_PAUSE_MAX_MS: u64 = 700;

/// Times of the stages by which a node has all changes again after a disturbance of the store or
/// of its own links.
///
/// A change that the store confirmed in a disturbance must be in force everywhere when the
/// stabilization time after its end has passed. A node learns of the end from its own calls only,
/// and the last one before the end may be lost. Shares of the stabilization time, from the end:
///
/// | share | stage |
/// | --- | --- |
/// | 1/2 | the next health check is sent, a lost call that does not wait times out |
/// | 3/4 | the changes are read, whatever the node waits for otherwise |
/// | 5/6 | a watch whose answer was lost times out |
/// | 9/10 | a version is held back no longer |
/// | 1 | the change is in force |
#[derive(Clone, Copy, Debug)]
pub struct RecoveryTimes {
    stabilization_ms: u64,
}

impl RecoveryTimes {
    /// Creates the times for a stabilization time.
    #[must_use]
    pub const fn new(stabilization_ms: u64) -> Self {
        let too_short = stabilization_ms < STABILIZATION_MIN_MS;
        Self {
            stabilization_ms: if too_short {
                STABILIZATION_MIN_MS
            } else {
                stabilization_ms
            },
        }
    }

    /// Returns the timeout of a health check of the store.
    #[must_use]
    pub fn check_timeout_ms(self) -> u64 {
        CHECK_TIMEOUT_MAX_MS.min(self.stabilization_ms / 4)
    }

    /// Returns the pause of a reader after a health check in an outage.
    #[must_use]
    pub fn check_pause_ms(self) -> u64 {
        CHECK_PAUSE_MAX_MS.min(self.stabilization_ms / 5)
    }

    /// Returns the pause of a node that may follow a reader, `elapsed_ms` after it sent a health
    /// check in an outage: checks are sent at an even period, also when they get no response.
    #[must_use]
    pub const fn follower_check_pause_ms(self, elapsed_ms: u64) -> u64 {
        (self.stabilization_ms / 2).saturating_sub(elapsed_ms)
    }

    /// Returns the timeout of a call that does not wait, and that a change depends on which must be
    /// in force within `bound_ms`.
    #[must_use]
    pub fn call_timeout_ms(self, bound_ms: u64) -> u64 {
        pacing::call_timeout_ms(bound_ms).min(self.stabilization_ms / 2)
    }

    /// Returns the time until which a node may put off reading the changes, if the newest call that
    /// failed was sent at `failed_us`: the disturbance did not end before.
    #[must_use]
    pub const fn read_by_us(self, failed_us: u64) -> u64 {
        failed_us.saturating_add(self.stabilization_ms * 1_000 / 4 * 3)
    }

    /// Returns the time until which a version may be held back, if the newest call that failed was
    /// sent at `failed_us`: the disturbance did not end before.
    #[must_use]
    pub const fn hold_until_us(self, failed_us: u64) -> u64 {
        failed_us.saturating_add(self.stabilization_ms * 1_000 / 10 * 9)
    }

    /// Returns how long a watch waits for changes that are due after a disturbance although they
    /// were confirmed in it; a watch whose answer is lost looks like one that waits.
    #[must_use]
    pub const fn watch_wait_ms(self) -> u64 {
        self.stabilization_ms * 13 / 20
    }

    /// Returns the timeout of such a watch.
    #[must_use]
    pub const fn watch_timeout_ms(self) -> u64 {
        self.stabilization_ms * 5 / 6
    }
}
