use std::collections::VecDeque;

/// Number of slots into which the window is divided.
const SLOTS: u64 = 20;

/// The requests of a tenant in a sliding window, and how many more the quota of the window allows.
///
/// In each window a tenant may make as many requests as its rate allows in this time, and a burst. A
/// token bucket with the same rate and burst refuses requests that are within this quota once the
/// burst is spent.
#[derive(Clone, Debug)]
pub(crate) struct QuotaWindow {
    /// Largest number of requests by which late reports may exceed the quota.
    debt_max: f64,
    /// Number of the newest slot in `used`.
    newest_slot: u64,
    /// Requests that the window allows.
    quota: f64,
    slot_us: u64,
    /// Requests of the slots that the window covers, the oldest first; `SLOTS + 1` of them, as the
    /// oldest is partly covered.
    used: VecDeque<f64>,
}

impl QuotaWindow {
    /// Creates a window without requests.
    pub(crate) fn new(now_us: u64, window_us: u64, quota: f64, debt_max: f64) -> Self {
        let slot_us = (window_us / SLOTS).max(1);
        Self {
            debt_max,
            newest_slot: now_us / slot_us,
            quota,
            slot_us,
            used: std::iter::repeat_n(0.0, SLOTS as usize + 1).collect(),
        }
    }

    /// Changes the quota.
    pub(crate) const fn set_quota(&mut self, quota: f64) {
        self.quota = quota;
    }

    /// Returns how many requests are left; negative if late reports have exceeded the quota.
    pub(crate) fn left(&mut self, now_us: u64) -> f64 {
        self.advance(now_us);
        self.quota - self.used.iter().sum::<f64>()
    }

    /// Counts requests; a negative number gives requests back.
    pub(crate) fn charge(&mut self, now_us: u64, requests: f64) {
        let chargeable = self.left(now_us) + self.debt_max;
        if let Some(newest) = self.used.back_mut() {
            *newest += requests.min(chargeable);
        }
    }

    /// Returns the time until a request is left; `u64::MAX` if the quota is less than one request.
    pub(crate) fn wait_us(&mut self, now_us: u64) -> u64 {
        let mut left = self.left(now_us);
        if left >= 1.0 {
            return 0;
        }
        let oldest_slot = self.newest_slot - SLOTS.min(self.newest_slot);
        for (slot, used) in (oldest_slot..).zip(&self.used) {
            left += used;
            if left >= 1.0 {
                let ends_us = (slot + SLOTS + 1) * self.slot_us;
                return ends_us.saturating_sub(now_us);
            }
        }
        u64::MAX
    }

    fn advance(&mut self, now_us: u64) {
        let slot = now_us / self.slot_us;
        let passed = slot.saturating_sub(self.newest_slot).min(SLOTS + 1);
        for _ in 0..passed {
            self.used.pop_front();
            self.used.push_back(0.0);
        }
        self.newest_slot = self.newest_slot.max(slot);
    }
}
