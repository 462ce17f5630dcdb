use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use fastrand::Rng;

use crate::RunResult;
use crate::Scenario;
use crate::event_queue::EventQueue;
use crate::fake_target::Arrival;
use crate::fake_target::FakeTarget;
use crate::fake_target::OverLimit;
use crate::load;
use crate::network::Network;
use crate::scenario::Fault;
use wigeonhall_types::AttemptId;
use wigeonhall_types::ClassKey;
use wigeonhall_types::DataCentreKey;
use wigeonhall_types::Deployment;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::ServiceKey;

/// Time before the baseline asks another replica after a refusal.
const RETRY_US: u64 = 5_000;

/// Time from the end of a target to its restart.
const RESTART_US: u64 = 1_000_000;

/// The plain way: each query goes to a random replica of each service, straight
/// from its entry node, with retries but no hedges, budgets or shared limits.
///
/// Versions are left out; the baseline pins none.
#[derive(Debug)]
pub struct Baseline {
    deployment: Deployment,
    events: EventQueue<Event>,
    held: HashMap<AttemptId, Part>,
    network: Network,
    next_attempt: u64,
    next_query: u64,
    open: HashMap<u64, Open>,
    out: BTreeSet<DataCentreKey>,
    rates: BTreeMap<ClassKey, f64>,
    result: RunResult,
    rng: Rng,
    measure_from_us: u64,
    targets: BTreeMap<ReplicaKey, FakeTarget>,
}

#[derive(Clone, Copy, Debug)]
struct Part {
    node_at: DataCentreKey,
    query: u64,
    replica: ReplicaKey,
    service: ServiceKey,
}

#[derive(Debug)]
struct Open {
    class: ClassKey,
    counted: bool,
    left: usize,
    started_us: u64,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrival(ClassKey),
    Deadline(u64),
    Done(ReplicaKey, AttemptId, u64),
    Fault(Fault),
    PartDone(u64),
    Restart(ReplicaKey),
    Send(Part),
    Start(Part),
}

impl Baseline {
    /// A baseline at time zero with warm targets.
    #[must_use]
    pub fn new(deployment: Deployment, network: Network, seed: u64) -> Self {
        let targets = deployment
            .replicas
            .iter()
            .map(|(&key, &limits)| (key, FakeTarget::new(limits, 1, Vec::new())))
            .collect();
        Self {
            deployment,
            events: EventQueue::default(),
            held: HashMap::new(),
            network,
            next_attempt: 1,
            next_query: 1,
            open: HashMap::new(),
            out: BTreeSet::new(),
            rates: BTreeMap::new(),
            result: RunResult::default(),
            rng: Rng::with_seed(seed),
            measure_from_us: 0,
            targets,
        }
    }

    /// Runs a scenario; see [`World::run`](crate::World::run).
    #[must_use]
    pub fn run(mut self, scenario: &Scenario, warm_up_us: u64, run_us: u64) -> RunResult {
        self.measure_from_us = warm_up_us;
        self.rates = load::rates(&self.deployment, scenario.load);
        for (at_us, class) in load::first_arrivals_us(&mut self.rng, &self.rates) {
            self.events.push(at_us, Event::Arrival(class));
        }
        for &(at_us, fault) in &scenario.faults {
            self.events.push(at_us, Event::Fault(fault));
        }
        let is_arrival = |event: &Event| matches!(event, Event::Arrival(_));
        while let Some((now_us, event)) =
            self.events
                .pop_within(run_us, !self.open.is_empty(), is_arrival)
        {
            self.step(now_us, event);
        }
        self.result.over = OverLimit::sum(self.targets.values());
        self.result
    }

    fn step(&mut self, now_us: u64, event: Event) {
        match event {
            Event::Arrival(class) => self.arrive(now_us, class),
            Event::Deadline(query) => self.expire(query),
            Event::Done(replica, attempt, instance) => {
                self.done(now_us, replica, attempt, instance);
            }
            Event::Fault(fault) => self.fault(now_us, fault),
            Event::PartDone(query) => self.part_done(now_us, query),
            Event::Restart(replica) => {
                let target = self.target(replica);
                let instance = target.instance + 1;
                target.restart(instance);
            }
            Event::Send(part) => self.send(now_us, part),
            Event::Start(part) => self.start(now_us, part),
        }
    }

    fn target(&mut self, replica: ReplicaKey) -> &mut FakeTarget {
        self.targets
            .get_mut(&replica)
            .expect("every replica has a target")
    }

    fn arrive(&mut self, now_us: u64, class: ClassKey) {
        let next_us = now_us + load::next_arrival_us(&mut self.rng, self.rates[&class]);
        self.events.push(next_us, Event::Arrival(class));
        let places: Vec<DataCentreKey> = self
            .deployment
            .vms
            .values()
            .map(|vm| vm.data_centre)
            .filter(|it| !self.out.contains(it))
            .collect();
        let node_at = places[self.rng.usize(..places.len())];
        let counted = now_us >= self.measure_from_us;
        let query = self.next_query;
        self.next_query += 1;
        let shape = &self.deployment.classes[&class];
        let services = shape.depends_on.clone();
        let deadline_us = now_us + self.network.caller_us + shape.deadline_ms * 1_000;
        let open = Open {
            class,
            counted,
            left: services.len(),
            started_us: now_us,
        };
        self.open.insert(query, open);
        if counted {
            self.result.classes.entry(class).or_default().offered += 1;
        }
        for service in services {
            let replica = self.pick(service);
            let part = Part {
                node_at,
                query,
                replica,
                service,
            };
            self.events
                .push(now_us + self.network.caller_us, Event::Send(part));
        }
        self.events.push(deadline_us, Event::Deadline(query));
    }

    /// A random replica of the service outside the data centres that are out.
    fn pick(&mut self, service: ServiceKey) -> ReplicaKey {
        let all = &self.deployment.services[&service].replicas;
        let usable: Vec<ReplicaKey> = all
            .iter()
            .copied()
            .filter(|it| !self.out.contains(&self.deployment.replicas[it].data_centre))
            .collect();
        let from = if usable.is_empty() { all } else { &usable };
        from[self.rng.usize(..from.len())]
    }

    fn expire(&mut self, query: u64) {
        if let Some(open) = self.open.remove(&query)
            && open.counted
        {
            let stats = self.result.classes.entry(open.class).or_default();
            *stats.endings.entry(String::from("deadline")).or_default() += 1;
        }
    }

    fn send(&mut self, now_us: u64, mut part: Part) {
        if !self.open.contains_key(&part.query) {
            return;
        }
        part.replica = self.pick(part.service);
        let at = self.deployment.replicas[&part.replica].data_centre;
        let at_us = now_us + self.network.delay_us(part.node_at, at);
        self.events.push(at_us, Event::Start(part));
    }

    fn start(&mut self, now_us: u64, part: Part) {
        if now_us >= self.measure_from_us
            && let Some(open) = self.open.get(&part.query)
        {
            self.result.classes.entry(open.class).or_default().sent += 1;
        }
        let attempt = AttemptId {
            boot: 1,
            sequence: self.next_attempt,
        };
        self.next_attempt += 1;
        match self.target(part.replica).arrive(now_us, attempt, None) {
            Arrival::Starts => {
                self.held.insert(attempt, part);
                self.plan_done(now_us, part.replica, attempt);
            }
            Arrival::Held => {
                self.held.insert(attempt, part);
            }
            Arrival::Draining | Arrival::Down | Arrival::Shed | Arrival::VersionGone => {
                self.events.push(now_us + RETRY_US, Event::Send(part));
            }
        }
    }

    fn plan_done(&mut self, now_us: u64, replica: ReplicaKey, attempt: AttemptId) {
        let (factor, instance) = {
            let target = self.target(replica);
            (target.factor(), target.instance)
        };
        let at_us = now_us + load::service_time_us(&mut self.rng, factor);
        self.events
            .push(at_us, Event::Done(replica, attempt, instance));
    }

    fn done(&mut self, now_us: u64, replica: ReplicaKey, attempt: AttemptId, instance: u64) {
        let target = self.target(replica);
        if target.instance != instance || !target.holds(attempt) {
            return;
        }
        if let Some(next) = target.leave(now_us, attempt, true) {
            self.plan_done(now_us, replica, next);
        }
        if let Some(part) = self.held.remove(&attempt) {
            let at = self.deployment.replicas[&replica].data_centre;
            let at_us = now_us + self.network.delay_us(at, part.node_at);
            self.events.push(at_us, Event::PartDone(part.query));
        }
    }

    fn part_done(&mut self, now_us: u64, query: u64) {
        let Some(open) = self.open.get_mut(&query) else {
            return;
        };
        open.left -= 1;
        if open.left > 0 {
            return;
        }
        if let Some(open) = self.open.remove(&query)
            && open.counted
        {
            let took_us = now_us + self.network.caller_us - open.started_us;
            let stats = self.result.classes.entry(open.class).or_default();
            stats.latencies_us.push(took_us);
        }
    }

    fn fault(&mut self, now_us: u64, fault: Fault) {
        match fault {
            Fault::DataCentreOut(data_centre) => drop(self.out.insert(data_centre)),
            Fault::DataCentreIn(data_centre) => drop(self.out.remove(&data_centre)),
            Fault::Lost(replica) => self.crash(now_us, replica),
            Fault::Restart(replica) => {
                self.crash(now_us, replica);
                self.events
                    .push(now_us + RESTART_US, Event::Restart(replica));
            }
            Fault::Slow(replica, factor) => self.target(replica).slowness = factor,
            Fault::VersionRoll => {}
        }
    }

    fn crash(&mut self, now_us: u64, replica: ReplicaKey) {
        for attempt in self.target(replica).crash() {
            if let Some(part) = self.held.remove(&attempt) {
                self.events.push(now_us + RETRY_US, Event::Send(part));
            }
        }
    }
}
