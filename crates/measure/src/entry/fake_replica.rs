use std::collections::VecDeque;

use fastrand::Rng;

use crate::entry::DeploymentShape;
use crate::entry::FaultKind;
use crate::entry::entry_job::JobKey;

/// Standard deviation of the logarithm of work times.
const WORK_LOG_SD: f64 = 0.35;

/// Share of the requests that take much longer than the mean.
const TAIL_SHARE: f64 = 0.01;

/// Factor of the work time of these.
const TAIL_FACTOR: f64 = 5.0;

/// Factor of the work times of a replica while it is slow.
const SLOW_FACTOR: f64 = 2.5;

/// Time from the start of a slow period of a replica to that of the next one.
const SLOW_EVERY_US: u64 = 6_000_000;

/// A replica with slots, a queue and pauses at regular times of its own.
#[derive(Debug)]
pub(crate) struct FakeReplica {
    pub(crate) data_centre: usize,
    pub(crate) fault: Option<FaultKind>,
    pub(crate) pause_every_us: u64,
    pub(crate) pause_offset_us: u64,
    pub(crate) pause_us: u64,
    pub(crate) queue: VecDeque<JobKey>,
    pub(crate) queue_max: usize,
    pub(crate) running: Vec<JobKey>,
    pub(crate) slots: usize,
    pub(crate) slow_offset_us: u64,
    pub(crate) slow_us: u64,
    pub(crate) speed: f64,
}

/// What becomes of a request that arrives at a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Arrival {
    /// No connection is opened, and none is refused.
    Dropped,
    Queued,
    Refused,
    Started,
    Unreachable,
}

impl FakeReplica {
    pub(crate) fn arrive(&mut self, rng: &mut Rng, job: JobKey) -> Arrival {
        match self.fault {
            Some(FaultKind::Dark) => return Arrival::Dropped,
            Some(FaultKind::Down) => return Arrival::Unreachable,
            Some(FaultKind::Shed(share)) if rng.f64() < share => return Arrival::Refused,
            _ => {}
        }
        if self.running.len() < self.slots {
            self.running.push(job);
            Arrival::Started
        } else if self.queue.len() < self.queue_max {
            self.queue.push_back(job);
            Arrival::Queued
        } else {
            Arrival::Refused
        }
    }

    /// Removes a job that ended or was cancelled; returns whether its slot became free.
    pub(crate) fn remove(&mut self, job: JobKey) -> bool {
        self.queue.retain(|other| *other != job);
        let running = self.running.len();
        self.running.retain(|other| *other != job);
        self.running.len() < running
    }

    /// Returns when a job that starts now ends, given its mean work time.
    pub(crate) fn end_us(&self, rng: &mut Rng, now_us: u64, work_ms: f64) -> u64 {
        let slowness = match self.fault {
            Some(FaultKind::Slow(factor)) => factor,
            _ => 1.0,
        };
        let slow = (now_us + self.slow_offset_us) % SLOW_EVERY_US < self.slow_us;
        let slowness = if slow {
            SLOW_FACTOR * slowness
        } else {
            slowness
        };
        let factor = work_factor(rng) * self.speed * slowness;
        self.after_pauses_us(now_us, (work_ms * 1_000.0 * factor) as u64)
    }

    /// Returns when work that takes `left_us` ends if it starts at `start_us`.
    const fn after_pauses_us(&self, mut start_us: u64, mut left_us: u64) -> u64 {
        if self.pause_us == 0 {
            return start_us + left_us;
        }
        loop {
            let phase_us = (start_us + self.pause_offset_us) % self.pause_every_us;
            if phase_us < self.pause_us {
                start_us += self.pause_us - phase_us;
                continue;
            }
            let until_pause_us = self.pause_every_us - phase_us;
            if left_us <= until_pause_us {
                return start_us + left_us;
            }
            left_us -= until_pause_us;
            start_us += until_pause_us;
        }
    }

    /// Whether the connection of a request that ran is reset.
    pub(crate) fn resets(&self, rng: &mut Rng) -> bool {
        matches!(self.fault, Some(FaultKind::Reset(share)) if rng.f64() < share)
    }
}

/// Returns a log-normal factor with mean 1, times a rare tail.
fn work_factor(rng: &mut Rng) -> f64 {
    let radius = (-2.0 * rng.f64().max(f64::MIN_POSITIVE).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * rng.f64()).cos();
    let factor = (WORK_LOG_SD * normal - WORK_LOG_SD * WORK_LOG_SD / 2.0).exp();
    if rng.f64() < TAIL_SHARE {
        factor * TAIL_FACTOR
    } else {
        factor
    }
}

/// Creates the replicas of a deployment, all of them sound.
pub(crate) fn fake_replicas(shape: &DeploymentShape, rng: &mut Rng) -> Vec<FakeReplica> {
    /// Time between the slow periods of a replica and the next one; no divisor of their distance.
    const SLOW_OFFSET_STEP_US: u64 = 1_700_000;
    /// Work times of replicas relative to the mean.
    const SPEEDS: [f64; 3] = [0.8, 1.0, 1.2];
    let replica = |index: usize| FakeReplica {
        data_centre: replica_data_centre(shape, index),
        fault: None,
        pause_every_us: shape.pause_every_us,
        pause_offset_us: rng.u64(..shape.pause_every_us),
        pause_us: shape.pause_us,
        queue: VecDeque::new(),
        queue_max: shape.queue,
        running: Vec::new(),
        slots: shape.slots as usize,
        slow_offset_us: (index as u64 * SLOW_OFFSET_STEP_US) % SLOW_EVERY_US,
        slow_us: (shape.slow_share * SLOW_EVERY_US as f64) as u64,
        speed: SPEEDS[rng.usize(..SPEEDS.len())],
    };
    (0..shape.shards * shape.replicas).map(replica).collect()
}

/// Returns the data centre of a replica; those of one shard are in data centres in turn.
pub(crate) const fn replica_data_centre(shape: &DeploymentShape, index: usize) -> usize {
    (index % shape.replicas) % shape.data_centres
}
