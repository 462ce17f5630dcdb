use std::collections::VecDeque;

use crate::time::SECOND_US;
use wigeonhall_types::RecentStarts;

/// Length of the window: one microsecond more than a second, so that a closed interval of one
/// second contains no more starts than a half-open one.
const WINDOW_US: u64 = SECOND_US + 1;

/// Times of the latest starts at a replica.
///
/// Keeps as many starts as the rate allows in a second. While a rate limit is in force, these
/// are all the starts of the last second.
#[derive(Clone, Debug, Default)]
pub(crate) struct StartWindow {
    starts_us: VecDeque<u64>,
}

impl StartWindow {
    /// Records a start and drops the oldest starts beyond `rate`.
    pub(crate) fn record(&mut self, now_us: u64, rate: u32) {
        self.starts_us.push_back(now_us);
        while self.starts_us.len() > rate as usize {
            self.starts_us.pop_front();
        }
    }

    /// Records `rate` starts at the current time in place of starts that are not known.
    pub(crate) fn assume_starts(&mut self, now_us: u64, rate: u32) {
        self.starts_us.clear();
        self.starts_us.resize(rate as usize, now_us);
    }

    /// Returns the starts of the last second for the new owner.
    pub(crate) fn snapshot(&self, now_us: u64) -> RecentStarts {
        let mut starts = RecentStarts::default();
        for start_us in self.starts_us.iter().rev() {
            let age_us = now_us.saturating_sub(*start_us);
            if age_us < WINDOW_US {
                let bucket = (age_us / RecentStarts::BUCKET_US) as usize;
                starts.0[bucket.min(RecentStarts::BUCKETS - 1)] += 1;
            }
        }
        starts
    }

    /// Restores the window of the previous owner. Each start is assumed to have
    /// happened at the latest time of its bucket.
    pub(crate) fn restore(&mut self, now_us: u64, starts: RecentStarts) {
        self.starts_us.clear();
        for (bucket, count) in starts.0.into_iter().enumerate().rev() {
            let start_us = now_us.saturating_sub(bucket as u64 * RecentStarts::BUCKET_US);
            let count = self.starts_us.len() + count as usize;
            self.starts_us.resize(count, start_us);
        }
    }

    /// Returns the number of starts within the last second.
    pub(crate) fn recent_starts(&self, now_us: u64) -> usize {
        let expired = self
            .starts_us
            .partition_point(|start_us| start_us + WINDOW_US <= now_us);
        self.starts_us.len() - expired
    }

    /// Returns the time at which a limit of `rate` starts per second allows a start after
    /// `ahead` others.
    pub(crate) fn earliest_us(&self, now_us: u64, rate: u32, ahead: usize) -> u64 {
        let rate = rate as usize;
        let starts_in_last_window = ahead % rate;
        let first_start_us = (self.starts_us.len() + starts_in_last_window)
            .checked_sub(rate)
            .map_or(now_us, |index| self.starts_us[index] + WINDOW_US);
        first_start_us.max(now_us) + (ahead / rate) as u64 * WINDOW_US
    }
}
