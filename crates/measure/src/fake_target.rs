use std::collections::VecDeque;

use wigeonhall_types::AttemptId;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::KeyRange;
use wigeonhall_types::Replica;
use wigeonhall_types::ServedVersion;

/// Window of the cold bound on starts, in microseconds.
const SECOND_US: u64 = 1_000_000;

/// Typical time of a request at a warm target, in microseconds.
pub const SERVICE_US: u64 = 4_000;

/// Factor by which a cold target is slower, since its caches are empty.
const COLD_SLOWNESS: f64 = 2.0;

/// One target in virtual time.
///
/// It runs as many requests at once as it has slots, holds more on its open
/// connections in arrival order, and sheds what comes past its connection limit.
#[derive(Debug)]
pub struct FakeTarget {
    /// Successes at the current stage of the cold start.
    completed: u32,
    /// Takes no new work, finishes what runs.
    pub draining: bool,
    /// Identity of the process.
    pub instance: u64,
    /// Limits from the deployment.
    limits: Replica,
    /// Events that a limit forbids.
    pub over: OverLimit,
    /// Time by which work outlasts its deadline; it then heeds no cancellation.
    pub overrun_us: u64,
    /// Running and held requests; the first `running` of them run.
    running: Vec<AttemptId>,
    /// Versions served, by rising version.
    pub served: Vec<ServedVersion>,
    /// Factor on the time of each request; 1 unless it is a straggler.
    pub slowness: f64,
    /// Doublings of the cold bound since the process started; `None` once warm.
    stage: Option<u32>,
    /// Starts within the last second while cold.
    starts_us: VecDeque<u64>,
    /// Accepts connections.
    pub up: bool,
    waiting: VecDeque<AttemptId>,
}

/// Counts of events that a limit forbids.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OverLimit {
    /// Starts over the cold bound.
    pub cold: u64,
    /// Requests past the connection limit.
    pub connections: u64,
    /// Requests that arrived while all slots were taken.
    pub slots: u64,
}

impl OverLimit {
    /// The counts of all targets together.
    #[must_use]
    pub fn sum<'a>(targets: impl Iterator<Item = &'a FakeTarget>) -> Self {
        targets.fold(Self::default(), |sum, target| Self {
            cold: sum.cold + target.over.cold,
            connections: sum.connections + target.over.connections,
            slots: sum.slots + target.over.slots,
        })
    }
}

/// What a target does with a request that arrives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Arrival {
    /// It drains.
    Draining,
    /// It is down.
    Down,
    /// Held until a slot is free.
    Held,
    /// Past the connection limit.
    Shed,
    /// It starts; takes this factor of the service time.
    Starts,
    /// It does not serve the pinned version.
    VersionGone,
}

impl FakeTarget {
    /// A warm target.
    #[must_use]
    pub fn new(limits: Replica, instance: u64, served: Vec<ServedVersion>) -> Self {
        Self {
            completed: 0,
            draining: false,
            instance,
            limits,
            over: OverLimit::default(),
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

    /// Whether it still ramps after a start.
    #[must_use]
    pub const fn is_cold(&self) -> bool {
        self.stage.is_some()
    }

    /// A request arrives.
    pub fn arrive(
        &mut self,
        now_us: u64,
        attempt: AttemptId,
        version: Option<IndexVersion>,
    ) -> Arrival {
        if !self.up {
            return Arrival::Down;
        }
        if self.draining {
            return Arrival::Draining;
        }
        if version.is_some_and(|pinned| !self.served.iter().any(|it| it.version == pinned)) {
            return Arrival::VersionGone;
        }
        if self.running.len() < self.limits.slots as usize {
            self.start(now_us, attempt);
            return Arrival::Starts;
        }
        self.over.slots += 1;
        if self.running.len() + self.waiting.len() >= self.limits.connections as usize {
            self.over.connections += 1;
            return Arrival::Shed;
        }
        self.waiting.push_back(attempt);
        Arrival::Held
    }

    /// A request leaves: it is done or cancelled. Returns a held one that starts.
    pub fn leave(&mut self, now_us: u64, attempt: AttemptId, success: bool) -> Option<AttemptId> {
        if let Some(index) = self.waiting.iter().position(|&it| it == attempt) {
            self.waiting.remove(index);
            return None;
        }
        let index = self.running.iter().position(|&it| it == attempt)?;
        self.running.swap_remove(index);
        if success {
            self.warm_up();
        }
        let next = self.waiting.pop_front()?;
        self.start(now_us, next);
        Some(next)
    }

    /// Whether the request runs or is held.
    #[must_use]
    pub fn holds(&self, attempt: AttemptId) -> bool {
        self.running.contains(&attempt) || self.waiting.contains(&attempt)
    }

    /// All requests that run or are held.
    #[must_use]
    pub fn held(&self) -> Vec<AttemptId> {
        let held = self.running.iter().chain(&self.waiting);
        held.copied().collect()
    }

    /// The process ends: everything it held is lost.
    pub fn crash(&mut self) -> Vec<AttemptId> {
        self.up = false;
        let mut lost = std::mem::take(&mut self.running);
        lost.extend(self.waiting.drain(..));
        lost
    }

    /// A new process starts, cold.
    pub fn restart(&mut self, instance: u64) {
        self.completed = 0;
        self.draining = false;
        self.instance = instance;
        self.stage = Some(0);
        self.starts_us.clear();
        self.up = true;
    }

    /// Factor on the time of a request that starts now.
    #[must_use]
    pub fn factor(&self) -> f64 {
        if self.is_cold() {
            self.slowness * COLD_SLOWNESS
        } else {
            self.slowness
        }
    }

    /// Keys held at a version that lie in `range`.
    #[must_use]
    pub fn ranges(&self, version: IndexVersion, range: KeyRange) -> Vec<KeyRange> {
        let served = self.served.iter().find(|it| it.version == version);
        let ranges = served.map_or(&[][..], |it| &it.ranges);
        ranges
            .iter()
            .filter_map(|held| held.intersection(range))
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
            self.over.cold += 1;
        }
    }

    /// The load that a cold target bears doubles with each second's worth of
    /// successes, until it bears what its slots can do.
    fn warm_up(&mut self) {
        let Some(stage) = self.stage else {
            return;
        };
        self.completed += 1;
        let rate = self.limits.cold.requests_per_s << stage;
        if self.completed < rate {
            return;
        }
        self.completed = 0;
        let full_rate = u64::from(self.limits.slots) * SECOND_US / SERVICE_US;
        let warm = u64::from(rate) * 2 >= full_rate
            && self.limits.cold.slots << (stage + 1) >= self.limits.slots;
        self.stage = (!warm).then_some(stage + 1);
    }
}
