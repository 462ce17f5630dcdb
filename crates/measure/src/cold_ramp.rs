use std::collections::VecDeque;

use crate::fake_target::SERVICE_US;
use wigeonhall_types::Replica;

/// Window of the bound on starts: a second, and what the ways to the target differ by.
const WINDOW_US: u64 = 1_020_000;

/// Shortest time of a stage.
const STAGE_US: u64 = 1_000_000;

/// Starts that one holder of a part of the cold bound allows itself.
#[derive(Debug)]
pub struct ColdRamp {
    completed: u32,
    /// Nodes that share the bound.
    holders: u32,
    limits: Replica,
    since_us: u64,
    stage: u32,
    starts_us: VecDeque<u64>,
}

impl ColdRamp {
    /// The ramp of a target that just came back, shared by this many nodes.
    #[must_use]
    pub const fn new(now_us: u64, limits: Replica, holders: u32) -> Self {
        Self {
            completed: 0,
            holders,
            limits,
            since_us: now_us,
            stage: 0,
            starts_us: VecDeque::new(),
        }
    }

    fn rate(&self) -> u32 {
        // A holder whose part is below one start a second still takes one.
        ((self.limits.cold.requests_per_s << self.stage) / self.holders.max(1)).max(1)
    }

    /// Slots of the target that may be used.
    #[must_use]
    pub const fn slots(&self) -> u32 {
        self.limits.cold.slots << self.stage
    }

    /// Time from which another start is allowed.
    pub fn next_start_us(&mut self, now_us: u64) -> u64 {
        while let Some(&at_us) = self.starts_us.front()
            && at_us + WINDOW_US <= now_us
        {
            self.starts_us.pop_front();
        }
        if self.starts_us.len() < self.rate() as usize {
            return now_us;
        }
        self.starts_us.front().map_or(now_us, |it| it + WINDOW_US)
    }

    /// A request starts.
    pub fn started(&mut self, now_us: u64) {
        self.starts_us.push_back(now_us);
    }

    /// A request succeeded; returns whether the target is warm now.
    pub fn succeeded(&mut self, now_us: u64) -> bool {
        self.completed += 1;
        if self.completed >= self.rate() && now_us >= self.since_us + STAGE_US {
            self.completed = 0;
            self.since_us = now_us;
            self.stage += 1;
        }
        let full_rate = u64::from(self.limits.slots) * 1_000_000 / SERVICE_US;
        let rate = u64::from(self.limits.cold.requests_per_s) << self.stage;
        rate >= full_rate && self.slots() >= self.limits.slots
    }
}
