use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use fastrand::Rng;

use crate::RunResult;
use crate::Scenario;
use crate::connections::Connections;
use crate::event_queue::EventQueue;
use crate::fake_target::FakeTarget;
use crate::fake_target::LimitViolations;
use crate::load;
use crate::network::Network;
use crate::scenario::Fault;
use crate::slot_shares::SlotShares;
use crate::slot_tokens::SlotTokens;
use crate::token_message::TokenMessage;
use wigeonhall_types::AttemptId;
use wigeonhall_types::ClassKey;
use wigeonhall_types::DataCentreKey;
use wigeonhall_types::Deployment;
use wigeonhall_types::NodeKey;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::ServiceKey;

/// Simulation of entry nodes that send each sub-request directly to a target, with retries
/// but without owners, hedges or budgets for extra sub-requests.
///
/// The limits of replicas are not enforced (the baseline), or enforced by fixed shares of
/// each node or by tokens that nodes pass to each other. Index versions are not modelled.
#[derive(Debug)]
pub struct DirectWorld {
    /// `None` if connections are unlimited and open at once. Otherwise a new connection takes
    /// the time that the deployment states.
    pub(crate) connections: Option<Connections>,
    pub(crate) deployment: Deployment,
    pub(crate) events: EventQueue<Event>,
    /// Sub-requests that run or wait at targets.
    pub(crate) at_targets: HashMap<AttemptId, DirectSubRequest>,
    pub(crate) limiter: Limiter,
    /// Nodes that crashed and have not been replaced.
    pub(crate) lost: BTreeSet<NodeKey>,
    pub(crate) measure_from_us: u64,
    pub(crate) network: Network,
    pub(crate) next_attempt: u64,
    next_sub_request: u64,
    next_query: u64,
    pub(crate) open_queries: HashMap<u64, OpenDirectQuery>,
    /// Data centres that are out of service.
    pub(crate) out: BTreeSet<DataCentreKey>,
    /// Sub-requests that wait for a slot, with the time at which the wait began.
    pub(crate) queued: HashMap<u64, u64>,
    rates: BTreeMap<ClassKey, f64>,
    pub(crate) result: RunResult,
    pub(crate) rng: Rng,
    pub(crate) targets: BTreeMap<ReplicaKey, FakeTarget>,
}

/// Method that enforces the limits of replicas.
#[derive(Debug)]
pub enum Limiter {
    /// One token for each slot, passed between nodes.
    SlotTokens(SlotTokens),
    /// No limits; this is the baseline.
    Unlimited,
    /// Fixed shares of the slots for each node.
    SlotShares(SlotShares),
}

/// A sub-request that its entry node sends to the target itself, without an owner node.
#[derive(Clone, Copy, Debug)]
pub struct DirectSubRequest {
    pub id: u64,
    pub node: NodeKey,
    pub query: u64,
    pub replica: ReplicaKey,
    pub service: ServiceKey,
    /// Index of the token that it holds while it runs.
    pub token: Option<usize>,
}

/// A query without an answer so far.
#[derive(Debug)]
pub(crate) struct OpenDirectQuery {
    pub class: ClassKey,
    /// Whether the query arrived after the warm-up.
    pub counted: bool,
    pending_replies: usize,
    pub node: NodeKey,
    started_us: u64,
}

#[derive(Clone, Copy, Debug)]
pub(crate) enum Event {
    Arrival(ClassKey),
    /// The deadline of a query.
    Deadline(u64),
    /// A target process, given by its identity, completes a request.
    TargetDone(ReplicaKey, AttemptId, u64),
    Fault(Fault),
    ReissueToken(usize),
    TokenMessage(NodeKey, TokenMessage),
    /// The cold bound (the maximum load during a cold start) of a share allows another start.
    CheckShares(NodeKey, ServiceKey),
    /// The timer of a token, with the timer version at which the timer was set.
    CheckToken(usize, u64),
    ReplyArrived(DirectSubRequest),
    Restart(ReplicaKey),
    /// An entry node sends or retries a sub-request.
    Send(DirectSubRequest),
    /// A request arrives at its target.
    ArriveAtTarget(DirectSubRequest),
    /// The longest wait for a slot has passed since this time.
    QueueTimeout(DirectSubRequest, u64),
}

impl DirectWorld {
    /// Creates the baseline at time zero: warm targets, no limits, and connections that open
    /// at once.
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
            at_targets: HashMap::new(),
            limiter: Limiter::Unlimited,
            lost: BTreeSet::new(),
            measure_from_us: 0,
            network,
            next_attempt: 1,
            next_sub_request: 1,
            next_query: 1,
            open_queries: HashMap::new(),
            out: BTreeSet::new(),
            queued: HashMap::new(),
            rates: BTreeMap::new(),
            result: RunResult::default(),
            rng: Rng::with_seed(seed),
            targets,
        }
    }

    /// Models connections: their number is limited, and opening one takes time.
    #[must_use]
    pub fn with_connections(mut self) -> Self {
        self.connections = Some(Connections::default());
        self
    }

    /// Enforces limits by slot tokens that nodes pass to each other.
    #[must_use]
    pub fn with_slot_tokens(mut self) -> Self {
        self.limiter = Limiter::SlotTokens(SlotTokens::new(&self.deployment));
        self
    }

    /// Enforces limits by fixed shares of slots, of every replica or of a subset for each node.
    #[must_use]
    pub fn with_slot_shares(mut self, every_replica: bool) -> Self {
        self.limiter = Limiter::SlotShares(SlotShares::new(every_replica, &self.deployment));
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
                .pop_within(run_us, !self.open_queries.is_empty(), is_arrival)
        {
            self.handle_event(now_us, event);
        }
        // Connections above the limit are refused by `dispatch`; targets don't count them.
        let refused = self.result.limit_violations.connections;
        self.result.limit_violations = LimitViolations::sum(self.targets.values());
        self.result.limit_violations.connections += refused;
        self.result
    }

    fn handle_event(&mut self, now_us: u64, event: Event) {
        match event {
            Event::Arrival(class) => self.handle_arrival(now_us, class),
            Event::Deadline(query) => self.fail_query(query, "deadline"),
            Event::TargetDone(replica, attempt, instance) => {
                self.target_done(now_us, replica, attempt, instance);
            }
            Event::Fault(fault) => self.apply_fault(now_us, fault),
            Event::ReissueToken(token) => self.reissue_token(token),
            Event::TokenMessage(to, message) => self.handle_token_message(now_us, to, message),
            Event::CheckShares(node, service) => self.start_queued(now_us, node, service),
            Event::CheckToken(token, version) => self.check_token(now_us, token, version),
            Event::ReplyArrived(sub_request) => self.handle_reply(now_us, sub_request),
            Event::Restart(replica) => self.restart(now_us, replica),
            Event::Send(sub_request) => self.send(now_us, sub_request),
            Event::ArriveAtTarget(sub_request) => self.arrive_at_target(now_us, sub_request),
            Event::QueueTimeout(sub_request, since_us) => {
                if self.queued.get(&sub_request.id) == Some(&since_us) {
                    self.refuse_query(now_us, sub_request.query);
                }
            }
        }
    }

    fn handle_arrival(&mut self, now_us: u64, class: ClassKey) {
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
        let spec = &self.deployment.classes[&class];
        let services = spec.depends_on.clone();
        let deadline_us = now_us + self.network.caller_us + spec.deadline_ms * 1_000;
        let open = OpenDirectQuery {
            class,
            counted,
            pending_replies: services.len(),
            node,
            started_us: now_us,
        };
        self.open_queries.insert(query, open);
        if counted {
            self.result.classes.entry(class).or_default().offered += 1;
        }
        for service in services {
            let replica = self.pick_replica(service);
            let sub_request = DirectSubRequest {
                id: self.next_sub_request,
                node,
                query,
                replica,
                service,
                token: None,
            };
            self.next_sub_request += 1;
            self.events
                .push(now_us + self.network.caller_us, Event::Send(sub_request));
        }
        self.events.push(deadline_us, Event::Deadline(query));
    }

    /// Picks a usable replica of the service at random.
    pub(crate) fn pick_replica(&mut self, service: ServiceKey) -> ReplicaKey {
        let usable = self.usable_replicas(service);
        usable[self.rng.usize(..usable.len())]
    }

    /// Returns the replicas of the service in data centres that are in service, or all its
    /// replicas if there are none.
    pub(crate) fn usable_replicas(&self, service: ServiceKey) -> Vec<ReplicaKey> {
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

    /// Fails a query and counts `ending` as the reason.
    pub(crate) fn fail_query(&mut self, query: u64, ending: &str) {
        if let Some(open) = self.open_queries.remove(&query)
            && open.counted
        {
            let stats = self.result.classes.entry(open.class).or_default();
            *stats.endings.entry(String::from(ending)).or_default() += 1;
        }
    }

    /// Refuses a query because a sub-request has reached the longest wait for a slot.
    fn refuse_query(&mut self, now_us: u64, query: u64) {
        if let Some(open) = self.open_queries.get(&query).filter(|it| it.counted) {
            let latency_us = now_us - open.started_us - self.network.caller_us;
            let stats = self.result.classes.entry(open.class).or_default();
            stats.max_refusal_us = stats.max_refusal_us.max(latency_us);
        }
        self.fail_query(query, "refused");
    }

    pub(crate) fn count_reply(&mut self, now_us: u64, query: u64) {
        let Some(open) = self.open_queries.get_mut(&query) else {
            return;
        };
        open.pending_replies -= 1;
        if open.pending_replies > 0 {
            return;
        }
        if let Some(open) = self.open_queries.remove(&query)
            && open.counted
        {
            let latency_us = now_us + self.network.caller_us - open.started_us;
            let stats = self.result.classes.entry(open.class).or_default();
            stats.latencies_us.push(latency_us);
        }
    }
}
