use std::collections::VecDeque;

use crate::fake_target::MEDIAN_SERVICE_US;
use wigeonhall_types::Replica;

/// Window of the bound on starts: one second and a margin for the different delays of nodes
/// to the target.
const START_WINDOW_US: u64 = 1_020_000;

/// Shortest duration of a stage.
const MIN_STAGE_US: u64 = 1_000_000;

/// Limits the starts of one node at a cold target to one share of the cold bound, the maximum
/// load during a cold start. The bound doubles with each stage.
#[derive(Debug)]
pub struct ColdRamp {
    /// Requests that succeeded in the current stage.
    completed: u32,
    /// Number of shares that the bound is divided into.
    share_count: u32,
    limits: Replica,
    /// Start of the current stage.
    stage_start_us: u64,
    /// Doublings of the cold bound so far.
    stage: u32,
    starts_us: VecDeque<u64>,
}

impl ColdRamp {
    /// Creates the ramp of a target that has just restarted, for one of
    /// `share_count` shares.
    #[must_use]
    pub const fn new(now_us: u64, limits: Replica, share_count: u32) -> Self {
        Self {
            completed: 0,
            share_count,
            limits,
            stage_start_us: now_us,
            stage: 0,
            starts_us: VecDeque::new(),
        }
    }

    fn rate(&self) -> u32 {
        // A node whose share is below one start per second may still start one.
        ((self.limits.cold.requests_per_s << self.stage) / self.share_count.max(1)).max(1)
    }

    /// Returns the number of slots of the target that may be used.
    #[must_use]
    pub const fn slots(&self) -> u32 {
        self.limits.cold.slots << self.stage
    }

    /// Returns the time from which another start is allowed.
    pub fn next_start_us(&mut self, now_us: u64) -> u64 {
        while let Some(&at_us) = self.starts_us.front()
            && at_us + START_WINDOW_US <= now_us
        {
            self.starts_us.pop_front();
        }
        if self.starts_us.len() < self.rate() as usize {
            return now_us;
        }
        self.starts_us
            .front()
            .map_or(now_us, |it| it + START_WINDOW_US)
    }

    /// Counts a start.
    pub fn record_start(&mut self, now_us: u64) {
        self.starts_us.push_back(now_us);
    }

    /// Counts a success and returns whether the target is warm now.
    pub fn record_success(&mut self, now_us: u64) -> bool {
        self.completed += 1;
        if self.completed >= self.rate() && now_us >= self.stage_start_us + MIN_STAGE_US {
            self.completed = 0;
            self.stage_start_us = now_us;
            self.stage += 1;
        }
        let full_rate = u64::from(self.limits.slots) * 1_000_000 / MEDIAN_SERVICE_US;
        let rate = u64::from(self.limits.cold.requests_per_s) << self.stage;
        rate >= full_rate && self.slots() >= self.limits.slots
    }
}
