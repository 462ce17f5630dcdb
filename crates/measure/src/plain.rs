use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use fastrand::Rng;

use crate::RunResult;
use crate::Scenario;
use crate::connections::Connections;
use crate::event_queue::EventQueue;
use crate::fake_target::FakeTarget;
use crate::fake_target::OverLimit;
use crate::load;
use crate::loan_message::LoanMessage;
use crate::loans::Loans;
use crate::network::Network;
use crate::scenario::Fault;
use crate::shares::Shares;
use wigeonhall_types::AttemptId;
use wigeonhall_types::ClassKey;
use wigeonhall_types::DataCentreKey;
use wigeonhall_types::Deployment;
use wigeonhall_types::NodeKey;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::ServiceKey;

/// Plain ways to send: each sub-request goes straight from its entry node to a target,
/// with retries but no hedges or budgets.
///
/// What holds the limits of replicas differs: nothing (the baseline), fixed shares of
/// each node, or tokens that nodes lend each other. Versions are left out; queries pin
/// none.
#[derive(Debug)]
pub struct Plain {
    /// Connections are modelled, at the cost that the deployment states.
    pub(crate) connections: Option<Connections>,
    pub(crate) deployment: Deployment,
    pub(crate) events: EventQueue<Event>,
    pub(crate) held: HashMap<AttemptId, Part>,
    pub(crate) holding: Holding,
    pub(crate) lost: BTreeSet<NodeKey>,
    pub(crate) measure_from_us: u64,
    pub(crate) network: Network,
    pub(crate) next_attempt: u64,
    next_part: u64,
    next_query: u64,
    pub(crate) open: HashMap<u64, Open>,
    pub(crate) out: BTreeSet<DataCentreKey>,
    /// Sub-requests that wait for a slot, with the time since which they do.
    pub(crate) queued: HashMap<u64, u64>,
    rates: BTreeMap<ClassKey, f64>,
    pub(crate) result: RunResult,
    pub(crate) rng: Rng,
    pub(crate) targets: BTreeMap<ReplicaKey, FakeTarget>,
}

/// What holds the limits of replicas.
#[derive(Debug)]
pub enum Holding {
    Loans(Loans),
    Nothing,
    Shares(Shares),
}

/// A sub-request.
#[derive(Clone, Copy, Debug)]
pub struct Part {
    pub id: u64,
    pub node: NodeKey,
    pub query: u64,
    pub replica: ReplicaKey,
    pub service: ServiceKey,
    /// Token that it runs under.
    pub token: Option<usize>,
}

#[derive(Debug)]
pub(crate) struct Open {
    pub class: ClassKey,
    pub counted: bool,
    left: usize,
    pub node: NodeKey,
    started_us: u64,
}

#[derive(Clone, Copy, Debug)]
pub(crate) enum Event {
    Arrival(ClassKey),
    Deadline(u64),
    Done(ReplicaKey, AttemptId, u64),
    Fault(Fault),
    IssueAgain(usize),
    Loan(NodeKey, LoanMessage),
    LookAtShares(NodeKey, ServiceKey),
    LookAtToken(usize, u64),
    PartDone(Part),
    Restart(ReplicaKey),
    Send(Part),
    Start(Part),
    WaitOver(Part, u64),
}

impl Plain {
    /// The baseline at time zero: warm targets, no limits, free connections.
    #[must_use]
    pub fn new(deployment: Deployment, network: Network, seed: u64) -> Self {
        let targets = deployment
            .replicas
            .iter()
            .map(|(&key, &limits)| (key, FakeTarget::new(limits, 1, Vec::new())))
            .collect();
        Self {
            connections: None,
            deployment,
            events: EventQueue::default(),
            held: HashMap::new(),
            holding: Holding::Nothing,
            lost: BTreeSet::new(),
            measure_from_us: 0,
            network,
            next_attempt: 1,
            next_part: 1,
            next_query: 1,
            open: HashMap::new(),
            out: BTreeSet::new(),
            queued: HashMap::new(),
            rates: BTreeMap::new(),
            result: RunResult::default(),
            rng: Rng::with_seed(seed),
            targets,
        }
    }

    /// Requests need connections, and new ones take their time.
    #[must_use]
    pub fn with_connections(mut self) -> Self {
        self.connections = Some(Connections::default());
        self
    }

    /// Nodes lend each other the slots of replicas.
    #[must_use]
    pub fn with_loans(mut self) -> Self {
        self.holding = Holding::Loans(Loans::new(&self.deployment));
        self
    }

    /// Nodes have fixed shares of the slots of each replica, or of some.
    #[must_use]
    pub fn with_shares(mut self, each: bool) -> Self {
        self.holding = Holding::Shares(Shares::new(each, &self.deployment));
        self
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
        // A connection over the limit is refused before the target counts it.
        let refused = self.result.over.connections;
        self.result.over = OverLimit::sum(self.targets.values());
        self.result.over.connections += refused;
        self.result
    }

    fn step(&mut self, now_us: u64, event: Event) {
        match event {
            Event::Arrival(class) => self.arrive(now_us, class),
            Event::Deadline(query) => self.end(query, "deadline"),
            Event::Done(replica, attempt, instance) => {
                self.done(now_us, replica, attempt, instance);
            }
            Event::Fault(fault) => self.fault(now_us, fault),
            Event::IssueAgain(token) => self.issue_again(token),
            Event::Loan(to, message) => self.loan_message(now_us, to, message),
            Event::LookAtShares(node, service) => self.use_shares(now_us, node, service),
            Event::LookAtToken(token, stamp) => self.look_at_token(now_us, token, stamp),
            Event::PartDone(part) => self.part_done(now_us, part),
            Event::Restart(replica) => self.restart(now_us, replica),
            Event::Send(part) => self.send(now_us, part),
            Event::Start(part) => self.start(now_us, part),
            Event::WaitOver(part, since_us) => {
                if self.queued.get(&part.id) == Some(&since_us) {
                    self.refuse(now_us, part.query);
                }
            }
        }
    }

    fn arrive(&mut self, now_us: u64, class: ClassKey) {
        let next_us = now_us + load::next_arrival_us(&mut self.rng, self.rates[&class]);
        self.events.push(next_us, Event::Arrival(class));
        let nodes: Vec<NodeKey> = self
            .deployment
            .vms
            .iter()
            .filter(|(key, vm)| !self.out.contains(&vm.data_centre) && !self.lost.contains(key))
            .map(|(&key, _)| key)
            .collect();
        let node = nodes[self.rng.usize(..nodes.len())];
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
            node,
            started_us: now_us,
        };
        self.open.insert(query, open);
        if counted {
            self.result.classes.entry(class).or_default().offered += 1;
        }
        for service in services {
            let replica = self.pick(service);
            let part = Part {
                id: self.next_part,
                node,
                query,
                replica,
                service,
                token: None,
            };
            self.next_part += 1;
            self.events
                .push(now_us + self.network.caller_us, Event::Send(part));
        }
        self.events.push(deadline_us, Event::Deadline(query));
    }

    /// A random usable replica of the service.
    pub(crate) fn pick(&mut self, service: ServiceKey) -> ReplicaKey {
        let from = self.usable(service);
        from[self.rng.usize(..from.len())]
    }

    /// Replicas of the service outside the data centres that are out.
    pub(crate) fn usable(&self, service: ServiceKey) -> Vec<ReplicaKey> {
        let all = &self.deployment.services[&service].replicas;
        let usable: Vec<ReplicaKey> = all
            .iter()
            .copied()
            .filter(|it| !self.out.contains(&self.deployment.replicas[it].data_centre))
            .collect();
        if usable.is_empty() {
            all.clone()
        } else {
            usable
        }
    }

    /// Ends a query without an answer.
    pub(crate) fn end(&mut self, query: u64, ending: &str) {
        if let Some(open) = self.open.remove(&query)
            && open.counted
        {
            let stats = self.result.classes.entry(open.class).or_default();
            *stats.endings.entry(String::from(ending)).or_default() += 1;
        }
    }

    /// A sub-request waited for a slot as long as it may.
    fn refuse(&mut self, now_us: u64, query: u64) {
        if let Some(open) = self.open.get(&query).filter(|it| it.counted) {
            let took_us = now_us - open.started_us - self.network.caller_us;
            let stats = self.result.classes.entry(open.class).or_default();
            stats.refusal_us = stats.refusal_us.max(took_us);
        }
        self.end(query, "refused");
    }

    pub(crate) fn part_answered(&mut self, now_us: u64, query: u64) {
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
}
