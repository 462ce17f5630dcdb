use std::collections::VecDeque;

use crate::time::SECOND_US;
use wigeonhall_types::RecentStarts;

/// One microsecond more than a second, so that a closed interval of one second
/// holds no more starts than a half-open one.
const WINDOW_US: u64 = SECOND_US + 1;

/// Times of the latest starts at a replica.
///
/// Holds the latest starts up to the rate in force. While a rate is enforced
/// these are all the starts of the last second.
#[derive(Clone, Debug, Default)]
pub(crate) struct StartWindow {
    starts_us: VecDeque<u64>,
}

impl StartWindow {
    /// Records a start and forgets those that a rate of `rate` does not need.
    pub(crate) fn record(&mut self, now_us: u64, rate: u32) {
        self.starts_us.push_back(now_us);
        while self.starts_us.len() > rate as usize {
            self.starts_us.pop_front();
        }
    }

    /// Acts as if `rate` starts happened now; for starts that are not known.
    pub(crate) fn fill(&mut self, now_us: u64, rate: u32) {
        self.starts_us.clear();
        self.starts_us.resize(rate as usize, now_us);
    }

    /// Starts of the last second for a new owner.
    pub(crate) fn state(&self, now_us: u64) -> RecentStarts {
        let mut starts = RecentStarts::default();
        for start_us in self.starts_us.iter().rev() {
            let age_us = now_us.saturating_sub(*start_us);
            if age_us < WINDOW_US {
                let span = (age_us / RecentStarts::SPAN_US) as usize;
                starts.0[span.min(RecentStarts::SPANS - 1)] += 1;
            }
        }
        starts
    }

    /// Continues the window of a previous owner; each start counts as the latest of its
    /// span.
    pub(crate) fn adopt(&mut self, now_us: u64, starts: RecentStarts) {
        self.starts_us.clear();
        for (span, count) in starts.0.into_iter().enumerate().rev() {
            let start_us = now_us.saturating_sub(span as u64 * RecentStarts::SPAN_US);
            let count = self.starts_us.len() + count as usize;
            self.starts_us.resize(count, start_us);
        }
    }

    /// Starts within the last second.
    pub(crate) fn recent(&self, now_us: u64) -> usize {
        let old = self
            .starts_us
            .partition_point(|start_us| start_us + WINDOW_US <= now_us);
        self.starts_us.len() - old
    }

    /// Time at which a rate of `rate` allows the start that `ahead` others precede.
    pub(crate) fn earliest_us(&self, now_us: u64, rate: u32, ahead: usize) -> u64 {
        let rate = rate as usize;
        let later = ahead % rate;
        let first_us = (self.starts_us.len() + later)
            .checked_sub(rate)
            .map_or(now_us, |index| self.starts_us[index] + WINDOW_US);
        first_us.max(now_us) + (ahead / rate) as u64 * WINDOW_US
    }
}
