use std::collections::VecDeque;

use wigeonhall_types::AttemptId;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::KeyRange;
use wigeonhall_types::Replica;
use wigeonhall_types::ServedVersion;

/// One second in microseconds; the window over which the cold bound limits starts.
const SECOND_US: u64 = 1_000_000;

/// Median service time of a request at a warm target, in microseconds.
pub const MEDIAN_SERVICE_US: u64 = 4_000;

/// Factor on the service times of a cold target, whose caches are empty.
const COLD_SLOWNESS: f64 = 2.0;

/// Fake target in virtual time.
///
/// It runs as many requests at once as it has slots, queues further requests in order of
/// arrival, and sheds requests above its connection limit.
#[derive(Debug)]
pub struct FakeTarget {
    /// Requests that succeeded in the current stage of the cold start.
    completed: u32,
    /// Refuses new requests and completes running ones.
    pub draining: bool,
    /// Identity of the process.
    pub instance: u64,
    /// Limits from the deployment.
    limits: Replica,
    /// Limit violations so far.
    pub violations: LimitViolations,
    /// Time for which requests run past their deadline, in microseconds. Above 0, the target
    /// also ignores cancellations.
    pub overrun_us: u64,
    /// Running requests.
    running: Vec<AttemptId>,
    /// Index versions served, in ascending order.
    pub served: Vec<ServedVersion>,
    /// Factor on all service times; 1 unless the target is a straggler.
    pub slowness: f64,
    /// Doublings of the cold bound since the process started; `None` once warm.
    stage: Option<u32>,
    /// Starts within the last second while cold.
    starts_us: VecDeque<u64>,
    /// The process runs and accepts connections.
    pub up: bool,
    /// Requests that wait for a slot, in order of arrival.
    waiting: VecDeque<AttemptId>,
}

/// Counts of limit violations at targets.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LimitViolations {
    /// Starts above the cold bound, the maximum load during a cold start.
    pub cold: u64,
    /// Requests above the connection limit.
    pub connections: u64,
    /// Requests that arrived while all slots were in use.
    pub slots: u64,
}

impl LimitViolations {
    /// Returns the total counts of all targets.
    #[must_use]
    pub fn sum<'a>(targets: impl Iterator<Item = &'a FakeTarget>) -> Self {
        targets.fold(Self::default(), |sum, target| Self {
            cold: sum.cold + target.violations.cold,
            connections: sum.connections + target.violations.connections,
            slots: sum.slots + target.violations.slots,
        })
    }
}

/// Outcome of the arrival of a request at a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ArrivalOutcome {
    /// Refused because the target drains.
    Draining,
    /// Refused because the target is down.
    Down,
    /// Queued until a slot is free.
    Queued,
    /// Shed because the connection limit is reached.
    Shed,
    /// Started in a free slot.
    Started,
    /// Refused because the target does not serve the pinned version.
    VersionGone,
}

impl FakeTarget {
    /// Creates a warm target.
    #[must_use]
    pub fn new(limits: Replica, instance: u64, served: Vec<ServedVersion>) -> Self {
        Self {
            completed: 0,
            draining: false,
            instance,
            limits,
            violations: LimitViolations::default(),
            overrun_us: 0,
            running: Vec::new(),
            served,
            slowness: 1.0,
            stage: None,
            starts_us: VecDeque::new(),
            up: true,
            waiting: VecDeque::new(),
        }
    }

    /// Returns whether the target is in its cold start.
    #[must_use]
    pub const fn is_cold(&self) -> bool {
        self.stage.is_some()
    }

    /// Starts, queues or refuses a request that arrives.
    pub fn receive(
        &mut self,
        now_us: u64,
        attempt: AttemptId,
        version: Option<IndexVersion>,
    ) -> ArrivalOutcome {
        if !self.up {
            return ArrivalOutcome::Down;
        }
        if self.draining {
            return ArrivalOutcome::Draining;
        }
        if version.is_some_and(|pinned| !self.served.iter().any(|it| it.version == pinned)) {
            return ArrivalOutcome::VersionGone;
        }
        if self.running.len() < self.limits.slots as usize {
            self.start(now_us, attempt);
            return ArrivalOutcome::Started;
        }
        self.violations.slots += 1;
        if self.running.len() + self.waiting.len() >= self.limits.connections as usize {
            self.violations.connections += 1;
            return ArrivalOutcome::Shed;
        }
        self.waiting.push_back(attempt);
        ArrivalOutcome::Queued
    }

    /// Removes a request that completed or was cancelled. Returns the queued request that
    /// starts in the slot that becomes free.
    pub fn remove(&mut self, now_us: u64, attempt: AttemptId, success: bool) -> Option<AttemptId> {
        if let Some(index) = self.waiting.iter().position(|&it| it == attempt) {
            self.waiting.remove(index);
            return None;
        }
        let index = self.running.iter().position(|&it| it == attempt)?;
        self.running.swap_remove(index);
        if success {
            self.count_success();
        }
        let next = self.waiting.pop_front()?;
        self.start(now_us, next);
        Some(next)
    }

    /// Returns whether the request runs or is queued.
    #[must_use]
    pub fn contains(&self, attempt: AttemptId) -> bool {
        self.running.contains(&attempt) || self.waiting.contains(&attempt)
    }

    /// Returns all running and queued requests.
    #[must_use]
    pub fn attempts(&self) -> Vec<AttemptId> {
        let all = self.running.iter().chain(&self.waiting);
        all.copied().collect()
    }

    /// Crashes the process and returns its running and queued requests, which are lost.
    pub fn crash(&mut self) -> Vec<AttemptId> {
        self.up = false;
        let mut lost = std::mem::take(&mut self.running);
        lost.extend(self.waiting.drain(..));
        lost
    }

    /// Starts a new, cold process.
    pub fn restart(&mut self, instance: u64) {
        self.completed = 0;
        self.draining = false;
        self.instance = instance;
        self.stage = Some(0);
        self.starts_us.clear();
        self.up = true;
    }

    /// Returns the factor on the service time of a request that starts now.
    #[must_use]
    pub fn service_time_factor(&self) -> f64 {
        if self.is_cold() {
            self.slowness * COLD_SLOWNESS
        } else {
            self.slowness
        }
    }

    /// Returns the sub-ranges of `range` that the target holds at a version.
    #[must_use]
    pub fn ranges(&self, version: IndexVersion, range: KeyRange) -> Vec<KeyRange> {
        let served = self.served.iter().find(|it| it.version == version);
        let ranges = served.map_or(&[][..], |it| &it.ranges);
        ranges
            .iter()
            .filter_map(|it| it.intersection(range))
            .collect()
    }

    fn start(&mut self, now_us: u64, attempt: AttemptId) {
        self.running.push(attempt);
        let Some(stage) = self.stage else {
            return;
        };
        while self
            .starts_us
            .front()
            .is_some_and(|&at| at + SECOND_US <= now_us)
        {
            self.starts_us.pop_front();
        }
        self.starts_us.push_back(now_us);
        let slots = self.limits.cold.slots << stage;
        let rate = self.limits.cold.requests_per_s << stage;
        if self.running.len() > slots as usize || self.starts_us.len() > rate as usize {
            self.violations.cold += 1;
        }
    }

    /// Counts a success of a cold target. The cold bound doubles each time the target has
    /// completed one second's worth of requests, until it exceeds the capacity of the slots
    /// and the target is warm.
    fn count_success(&mut self) {
        let Some(stage) = self.stage else {
            return;
        };
        self.completed += 1;
        let rate = self.limits.cold.requests_per_s << stage;
        if self.completed < rate {
            return;
        }
        self.completed = 0;
        let full_rate = u64::from(self.limits.slots) * SECOND_US / MEDIAN_SERVICE_US;
        let warm = u64::from(rate) * 2 >= full_rate
            && self.limits.cold.slots << (stage + 1) >= self.limits.slots;
        self.stage = (!warm).then_some(stage + 1);
    }
}
