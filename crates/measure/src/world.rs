use crate::RunResult;
use crate::Scenario;
use crate::event_queue::EventQueue;
use crate::fake_target::Arrival;
use crate::fake_target::FakeTarget;
use crate::load;
use crate::network::Network;
use crate::scenario::Fault;
use crate::shards;
use fastrand::Rng;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use wigeonhall_gate::Gate;
use wigeonhall_gate::GateAction;
use wigeonhall_gate::GateEvent;
use wigeonhall_query::AnswerStatus;
use wigeonhall_query::Coordinator;
use wigeonhall_query::CoordinatorConfig;
use wigeonhall_query::CoverageDemand;
use wigeonhall_query::QueryAction;
use wigeonhall_query::QueryEvent;
use wigeonhall_query::QueryId;
use wigeonhall_query::ReadQuery;
use wigeonhall_types::AttemptId;
use wigeonhall_types::ClassKey;
use wigeonhall_types::DataCentreKey;
use wigeonhall_types::Deployment;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::KeyRange;
use wigeonhall_types::NodeKey;
use wigeonhall_types::Operation;
use wigeonhall_types::OwnershipTable;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::SubRequest;
use wigeonhall_types::TargetOutcome;
use wigeonhall_types::TargetReply;

/// Time in which every node learns of a changed deployment, in microseconds.
const CONFIG_SPREAD_US: u64 = 1_000_000;

/// Time in which a target or data centre that is out must get no new work.
const OUT_LIMIT_US: u64 = 3_000_000;

/// Time for which a version roll takes to reach every target.
const ROLL_US: u64 = 1_000_000;

/// Time from the end of a target to its restart.
const RESTART_US: u64 = 1_000_000;

/// Nodes with the product's cores, fake targets and callers in virtual time.
#[derive(Debug)]
pub struct World {
    pub(crate) deployment: Arc<Deployment>,
    pub(crate) events: EventQueue<Event>,
    /// Sub-requests that targets hold, with the node that sent each.
    held: HashMap<AttemptId, (NodeKey, SubRequest)>,
    network: Network,
    next_instance: u64,
    next_query: u64,
    nodes: BTreeMap<NodeKey, SimNode>,
    open: HashMap<QueryId, OpenQuery>,
    out_since_us: BTreeMap<DataCentreKey, u64>,
    rates: BTreeMap<ClassKey, f64>,
    result: RunResult,
    rng: Rng,
    /// Arrivals before this time are not counted.
    measure_from_us: u64,
    targets: BTreeMap<ReplicaKey, FakeTarget>,
    version: IndexVersion,
}

#[derive(Debug)]
struct SimNode {
    coordinator: Coordinator,
    data_centre: DataCentreKey,
    gate: Gate,
    submitters: HashMap<AttemptId, NodeKey>,
    wake_us: Option<u64>,
}

#[derive(Debug)]
struct OpenQuery {
    class: ClassKey,
    counted: bool,
    started_us: u64,
}

#[derive(Debug)]
pub(crate) enum Event {
    Arrival(ClassKey),
    Cancel(NodeKey, AttemptId),
    CancelAtTarget(ReplicaKey, AttemptId),
    Deployment(NodeKey, Arc<Deployment>),
    Fault(Fault),
    Gate(NodeKey, GateEvent),
    Probe(NodeKey, ReplicaKey),
    Query(NodeKey, QueryEvent),
    ReportsAsked {
        from: NodeKey,
        to: NodeKey,
    },
    Restart(ReplicaKey),
    RollTarget(ReplicaKey, IndexVersion),
    Submit {
        from: NodeKey,
        to: NodeKey,
        sub: SubRequest,
    },
    TargetDone(ReplicaKey, AttemptId, u64),
    TargetStart(NodeKey, SubRequest),
    Wake(NodeKey),
}

impl World {
    /// A world at time zero: all targets warm, each replica owned by a node of its
    /// data centre.
    #[must_use]
    pub fn new(deployment: Deployment, network: Network, seed: u64) -> Self {
        let deployment = Arc::new(deployment);
        let mut world = Self {
            deployment: Arc::clone(&deployment),
            events: EventQueue::default(),
            held: HashMap::new(),
            network,
            next_instance: 1,
            next_query: 1,
            nodes: BTreeMap::new(),
            open: HashMap::new(),
            out_since_us: BTreeMap::new(),
            rates: BTreeMap::new(),
            result: RunResult::default(),
            rng: Rng::with_seed(seed),
            measure_from_us: 0,
            targets: BTreeMap::new(),
            version: IndexVersion(10),
        };
        world.add_targets();
        world.add_nodes(seed);
        world
    }

    /// Runs a scenario for `run_us` of virtual time and returns what callers and
    /// targets saw after `warm_up_us`.
    #[must_use]
    pub fn run(mut self, scenario: &Scenario, warm_up_us: u64, run_us: u64) -> RunResult {
        self.measure_from_us = warm_up_us;
        self.rates = load::rates(&self.deployment, scenario.load);
        for (class, per_second) in self.rates.clone() {
            let first_us = load::next_arrival_us(&mut self.rng, per_second);
            self.events.push(first_us, Event::Arrival(class));
        }
        for &(at_us, fault) in &scenario.faults {
            self.events.push(at_us, Event::Fault(fault));
        }
        while let Some((now_us, event)) = self.events.pop() {
            if now_us > run_us && self.open.is_empty() {
                break;
            }
            if now_us > run_us && matches!(event, Event::Arrival(_)) {
                continue;
            }
            self.step(now_us, event);
        }
        for target in self.targets.values() {
            self.result.over.cold += target.over.cold;
            self.result.over.connections += target.over.connections;
            self.result.over.slots += target.over.slots;
        }
        self.result
    }

    fn add_targets(&mut self) {
        let deployment = Arc::clone(&self.deployment);
        for (&service, shape) in &deployment.services {
            let (index, count) = shard_position(&deployment, service);
            for &replica in &shape.replicas {
                let served = shards::served(index, count, self.version);
                let limits = deployment.replicas[&replica];
                let target = FakeTarget::new(limits, self.next_instance, served);
                self.next_instance += 1;
                self.targets.insert(replica, target);
            }
        }
    }

    fn add_nodes(&mut self, seed: u64) {
        let deployment = Arc::clone(&self.deployment);
        for (&key, vm) in &deployment.vms {
            let config = CoordinatorConfig {
                boot: u64::from(key.0) + 1,
                data_centre: vm.data_centre,
                node: key,
            };
            let node = SimNode {
                coordinator: Coordinator::new(config, seed ^ u64::from(key.0)),
                data_centre: vm.data_centre,
                gate: Gate::new(),
                submitters: HashMap::new(),
                wake_us: None,
            };
            self.nodes.insert(key, node);
            self.events
                .push(0, Event::Deployment(key, Arc::clone(&deployment)));
            self.events
                .push(0, Event::Gate(key, GateEvent::LeaseUntil(u64::MAX)));
        }
        for table in ownership(&deployment) {
            for (&replica, &node) in &table.owners {
                let grant = GateEvent::Grant {
                    epoch: table.epoch,
                    replica,
                    state: Some(self.targets[&replica].warm_state()),
                };
                self.events.push(0, Event::Gate(node, grant));
            }
            let table = Arc::new(table);
            for &node in self.nodes.keys() {
                let owners = QueryEvent::Owners(Arc::clone(&table));
                self.events.push(0, Event::Query(node, owners));
            }
        }
    }

    fn step(&mut self, now_us: u64, event: Event) {
        match event {
            Event::Arrival(class) => self.arrive(now_us, class),
            Event::Cancel(node, attempt) => {
                self.feed_gate(now_us, node, GateEvent::Cancel(attempt));
            }
            Event::CancelAtTarget(replica, attempt) => {
                self.cancel_at_target(now_us, replica, attempt);
            }
            Event::Deployment(node, deployment) => {
                self.feed_gate(now_us, node, GateEvent::Deployment(Arc::clone(&deployment)));
                self.feed_query(now_us, node, QueryEvent::Deployment(deployment));
            }
            Event::Fault(fault) => self.fault(now_us, fault),
            Event::Gate(node, event) => self.feed_gate(now_us, node, event),
            Event::Probe(node, replica) => self.probe(now_us, node, replica),
            Event::Query(node, event) => self.feed_query(now_us, node, event),
            Event::ReportsAsked { from, to } => self.send_reports(now_us, from, to),
            Event::Restart(replica) => {
                let instance = self.next_instance;
                self.next_instance += 1;
                self.target(replica).restart(instance);
            }
            Event::RollTarget(replica, version) => self.roll_target(replica, version),
            Event::Submit { from, to, sub } => {
                if let Some(node) = self.nodes.get_mut(&to) {
                    node.submitters.insert(sub.attempt, from);
                    self.feed_gate(now_us, to, GateEvent::Submit(sub));
                }
            }
            Event::TargetDone(replica, attempt, instance) => {
                self.target_done(now_us, replica, attempt, instance);
            }
            Event::TargetStart(node, sub) => self.target_start(now_us, node, sub),
            Event::Wake(node) => self.wake(now_us, node),
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
        let nodes: Vec<NodeKey> = self
            .nodes
            .iter()
            .filter(|(_, node)| !self.out_since_us.contains_key(&node.data_centre))
            .map(|(&key, _)| key)
            .collect();
        let node = nodes[self.rng.usize(..nodes.len())];
        let counted = now_us >= self.measure_from_us;
        if counted {
            self.result.classes.entry(class).or_default().offered += 1;
        }
        let id = QueryId(self.next_query);
        self.next_query += 1;
        let open = OpenQuery {
            class,
            counted,
            started_us: now_us,
        };
        self.open.insert(id, open);
        let at_us = now_us + self.network.caller_us;
        let read = ReadQuery {
            class,
            deadline_us: at_us + self.deployment.classes[&class].deadline_ms * 1_000,
            demand: CoverageDemand::Full,
            id,
            range: KeyRange::WHOLE,
        };
        self.events
            .push(at_us, Event::Query(node, QueryEvent::Read(read)));
    }

    fn feed_query(&mut self, now_us: u64, key: NodeKey, event: QueryEvent) {
        let Some(node) = self.nodes.get_mut(&key) else {
            return;
        };
        let mut actions = Vec::new();
        node.coordinator.handle(now_us, event, &mut actions);
        for action in actions {
            self.do_query_action(now_us, key, action);
        }
        self.plan_wake(now_us, key);
    }

    fn do_query_action(&mut self, now_us: u64, from: NodeKey, action: QueryAction) {
        match action {
            QueryAction::Answer { id, answer } => self.answered(now_us, id, &answer),
            QueryAction::AskReports(to) => {
                let at_us = now_us + self.between(from, to);
                self.events.push(at_us, Event::ReportsAsked { from, to });
            }
            QueryAction::Cancel { attempt, node } => {
                let at_us = now_us + self.between(from, node);
                self.events.push(at_us, Event::Cancel(node, attempt));
            }
            QueryAction::Send { node: to, sub } => {
                let at_us = now_us + self.between(from, to);
                self.events.push(at_us, Event::Submit { from, to, sub });
            }
            // Writes are not part of the load.
            QueryAction::CreateClaim { .. } | QueryAction::UpdateClaim { .. } => {}
        }
    }

    fn answered(&mut self, now_us: u64, id: QueryId, answer: &wigeonhall_query::Answer) {
        let Some(open) = self.open.remove(&id) else {
            return;
        };
        if !open.counted {
            return;
        }
        let took_us = now_us + self.network.caller_us - open.started_us;
        let stats = self.result.classes.entry(open.class).or_default();
        match answer.status {
            AnswerStatus::Whole => {
                stats.latencies_us.push(took_us);
                let snapshot = answer.snapshot.unwrap_or(IndexVersion(0));
                if answer.rows != shards::rows(KeyRange::WHOLE, snapshot) {
                    stats.wrong += 1;
                }
            }
            AnswerStatus::Partial => stats.partial += 1,
            AnswerStatus::Refused(_) | AnswerStatus::Failed(_) => {
                let ending = format!("{:?} {:?}", answer.status, answer.verdict);
                *stats.endings.entry(ending).or_default() += 1;
                if matches!(answer.status, AnswerStatus::Refused(_)) {
                    let at_node_us = took_us - 2 * self.network.caller_us;
                    stats.refusal_us = stats.refusal_us.max(at_node_us);
                }
            }
        }
    }

    fn feed_gate(&mut self, now_us: u64, key: NodeKey, event: GateEvent) {
        let Some(node) = self.nodes.get_mut(&key) else {
            return;
        };
        let mut actions = Vec::new();
        node.gate.handle(now_us, event, &mut actions);
        for action in actions {
            self.do_gate_action(now_us, key, action);
        }
        self.plan_wake(now_us, key);
    }

    fn do_gate_action(&mut self, now_us: u64, key: NodeKey, action: GateAction) {
        match action {
            GateAction::CancelAtTarget { attempt, replica } => {
                let at_us = now_us + self.network.within_us;
                self.events
                    .push(at_us, Event::CancelAtTarget(replica, attempt));
            }
            GateAction::Probe(replica) => {
                let at_us = now_us + self.network.within_us;
                self.events.push(at_us, Event::Probe(key, replica));
            }
            GateAction::Respond {
                attempt,
                outcome,
                report,
            } => {
                let node = self.nodes.get_mut(&key);
                let Some(to) = node.and_then(|node| node.submitters.remove(&attempt)) else {
                    return;
                };
                let reply = QueryEvent::SubReply {
                    attempt,
                    outcome,
                    report,
                };
                let at_us = now_us + self.between(key, to);
                self.events.push(at_us, Event::Query(to, reply));
            }
            GateAction::Send(sub) => {
                let at_us = now_us + self.network.within_us;
                self.events.push(at_us, Event::TargetStart(key, sub));
            }
            // Ownership does not change here, and connections stay open.
            GateAction::CloseConnections(_)
            | GateAction::HandOver { .. }
            | GateAction::OpenConnections { .. } => {}
        }
    }

    fn between(&self, from: NodeKey, to: NodeKey) -> u64 {
        if from == to {
            return 0;
        }
        let place = |node: NodeKey| self.nodes[&node].data_centre;
        self.network.delay_us(place(from), place(to))
    }

    fn plan_wake(&mut self, now_us: u64, key: NodeKey) {
        let Some(node) = self.nodes.get_mut(&key) else {
            return;
        };
        let wakes = [node.coordinator.next_wake_us(), node.gate.next_wake_us()];
        let Some(at_us) = wakes.into_iter().flatten().min() else {
            return;
        };
        let at_us = at_us.max(now_us);
        if node.wake_us.is_none_or(|planned| at_us < planned) {
            node.wake_us = Some(at_us);
            self.events.push(at_us, Event::Wake(key));
        }
    }

    fn wake(&mut self, now_us: u64, key: NodeKey) {
        let Some(node) = self.nodes.get_mut(&key) else {
            return;
        };
        if node.wake_us != Some(now_us) {
            return;
        }
        node.wake_us = None;
        self.feed_gate(now_us, key, GateEvent::Tick);
        self.feed_query(now_us, key, QueryEvent::Tick);
    }

    fn send_reports(&mut self, now_us: u64, from: NodeKey, to: NodeKey) {
        let at_us = now_us + self.between(to, from);
        for (replica, report) in self.nodes[&to].gate.reports(now_us) {
            let event = QueryEvent::Report { replica, report };
            self.events.push(at_us, Event::Query(from, event));
        }
    }

    fn target_start(&mut self, now_us: u64, node: NodeKey, sub: SubRequest) {
        let replica = sub.replica;
        let data_centre = self.deployment.replicas[&replica].data_centre;
        let out = self.out_since_us.get(&data_centre);
        if out.is_some_and(|&since_us| now_us > since_us + OUT_LIMIT_US) {
            self.result.late_starts += 1;
        }
        if now_us >= self.measure_from_us {
            self.result.classes.entry(sub.class).or_default().sent += 1;
        }
        let (attempt, version) = (sub.attempt, sub.version);
        let outcome = match self.target(replica).arrive(now_us, attempt, version) {
            Arrival::Starts => {
                self.held.insert(attempt, (node, sub));
                self.plan_done(now_us, replica, attempt);
                return;
            }
            Arrival::Held => {
                self.held.insert(attempt, (node, sub));
                return;
            }
            Arrival::Draining => TargetOutcome::Draining,
            Arrival::Down => TargetOutcome::Unreachable,
            Arrival::Shed => TargetOutcome::Shed {
                retry_after_us: crate::fake_target::SERVICE_US,
            },
            Arrival::VersionGone => TargetOutcome::VersionGone,
        };
        self.target_reply(now_us, node, replica, attempt, outcome);
    }

    fn plan_done(&mut self, now_us: u64, replica: ReplicaKey, attempt: AttemptId) {
        let (factor, instance) = {
            let target = self.target(replica);
            (target.factor(), target.instance)
        };
        let at_us = now_us + load::service_time_us(&mut self.rng, factor);
        self.events
            .push(at_us, Event::TargetDone(replica, attempt, instance));
    }

    fn target_done(&mut self, now_us: u64, replica: ReplicaKey, attempt: AttemptId, instance: u64) {
        let target = self.target(replica);
        if target.instance != instance || !target.holds(attempt) {
            return;
        }
        if let Some(next) = target.leave(now_us, attempt, true) {
            self.plan_done(now_us, replica, next);
        }
        let Some((node, sub)) = self.held.remove(&attempt) else {
            return;
        };
        let outcome = self.run_sub(replica, &sub);
        self.target_reply(now_us, node, replica, attempt, outcome);
    }

    fn run_sub(&mut self, replica: ReplicaKey, sub: &SubRequest) -> TargetOutcome {
        let target = self.target(replica);
        let newest = target.served.last().map(|it| it.version);
        let Some(version) = sub.version.or(newest) else {
            return TargetOutcome::VersionGone;
        };
        let Operation::Read { range } = sub.operation else {
            return TargetOutcome::BadReply;
        };
        let ranges = target.ranges(version, range);
        let rows = ranges
            .iter()
            .flat_map(|&it| shards::rows(it, version))
            .collect();
        TargetOutcome::Answered {
            ranges,
            rows,
            version,
        }
    }

    fn target_reply(
        &mut self,
        now_us: u64,
        node: NodeKey,
        replica: ReplicaKey,
        attempt: AttemptId,
        outcome: TargetOutcome,
    ) {
        let reply = self.reply(replica, outcome);
        let event = GateEvent::TargetReply { attempt, reply };
        let at_us = now_us + self.network.within_us;
        self.events.push(at_us, Event::Gate(node, event));
    }

    fn reply(&mut self, replica: ReplicaKey, outcome: TargetOutcome) -> TargetReply {
        let target = self.target(replica);
        let known = !matches!(
            outcome,
            TargetOutcome::Unreachable | TargetOutcome::ConnectionLost
        );
        TargetReply {
            instance: known.then_some(target.instance),
            outcome,
            served: if known {
                target.served.clone()
            } else {
                Vec::new()
            },
        }
    }

    fn probe(&mut self, now_us: u64, node: NodeKey, replica: ReplicaKey) {
        let target = self.target(replica);
        let outcome = if !target.up {
            TargetOutcome::Unreachable
        } else if target.draining {
            TargetOutcome::Draining
        } else {
            TargetOutcome::Answered {
                ranges: Vec::new(),
                rows: Vec::new(),
                version: target
                    .served
                    .last()
                    .map_or(IndexVersion(0), |it| it.version),
            }
        };
        let reply = self.reply(replica, outcome);
        let event = GateEvent::ProbeReply { replica, reply };
        let at_us = now_us + self.network.within_us;
        self.events.push(at_us, Event::Gate(node, event));
    }

    fn cancel_at_target(&mut self, now_us: u64, replica: ReplicaKey, attempt: AttemptId) {
        let target = self.target(replica);
        if !target.holds(attempt) {
            return;
        }
        if let Some(next) = target.leave(now_us, attempt, false) {
            self.plan_done(now_us, replica, next);
        }
        if let Some((node, _)) = self.held.remove(&attempt) {
            self.target_reply(now_us, node, replica, attempt, TargetOutcome::Cancelled);
        }
    }

    fn fault(&mut self, now_us: u64, fault: Fault) {
        match fault {
            Fault::DataCentreOut(data_centre) => self.set_out(now_us, data_centre, true),
            Fault::DataCentreIn(data_centre) => self.set_out(now_us, data_centre, false),
            Fault::Lost(replica) => self.crash(now_us, replica),
            Fault::Restart(replica) => {
                self.crash(now_us, replica);
                self.events
                    .push(now_us + RESTART_US, Event::Restart(replica));
            }
            Fault::Slow(replica, factor) => self.target(replica).slowness = factor,
            Fault::VersionRoll => {
                self.version = IndexVersion(self.version.0 + 1);
                let replicas: Vec<ReplicaKey> = self.targets.keys().copied().collect();
                for replica in replicas {
                    let at_us = now_us + self.rng.u64(..ROLL_US);
                    self.events
                        .push(at_us, Event::RollTarget(replica, self.version));
                }
            }
        }
    }

    fn crash(&mut self, now_us: u64, replica: ReplicaKey) {
        for attempt in self.target(replica).crash() {
            if let Some((node, _)) = self.held.remove(&attempt) {
                let outcome = TargetOutcome::ConnectionLost;
                self.target_reply(now_us, node, replica, attempt, outcome);
            }
        }
    }

    fn set_out(&mut self, now_us: u64, data_centre: DataCentreKey, out: bool) {
        let mut deployment = Deployment::clone(&self.deployment);
        deployment.generation += 1;
        if let Some(it) = deployment.data_centres.get_mut(&data_centre) {
            it.out = out;
        }
        self.deployment = Arc::new(deployment);
        if out {
            self.out_since_us.insert(data_centre, now_us);
        } else {
            self.out_since_us.remove(&data_centre);
        }
        let nodes: Vec<NodeKey> = self.nodes.keys().copied().collect();
        for node in nodes {
            let at_us = now_us + self.rng.u64(..CONFIG_SPREAD_US);
            let deployment = Arc::clone(&self.deployment);
            self.events.push(at_us, Event::Deployment(node, deployment));
        }
    }

    fn roll_target(&mut self, replica: ReplicaKey, version: IndexVersion) {
        let service = self.deployment.replicas[&replica].service;
        let (index, count) = shard_position(&self.deployment, service);
        self.target(replica).served = shards::served(index, count, version);
    }
}

/// Position of a service among the shards of the first class that depends on it.
fn shard_position(
    deployment: &Deployment,
    service: wigeonhall_types::ServiceKey,
) -> (usize, usize) {
    for class in deployment.classes.values() {
        if let Ok(index) = class.depends_on.binary_search(&service) {
            return (index, class.depends_on.len());
        }
    }
    (0, 1)
}

/// One table per data centre that spreads its replicas evenly over its nodes.
fn ownership(deployment: &Deployment) -> Vec<OwnershipTable> {
    let tables = deployment.data_centres.keys().map(|&data_centre| {
        let vms = deployment.vms.iter();
        let members: Vec<NodeKey> = vms
            .filter(|(_, vm)| vm.data_centre == data_centre)
            .map(|(&key, _)| key)
            .collect();
        let replicas = deployment.replicas.iter();
        let held = replicas.filter(|(_, it)| it.data_centre == data_centre);
        let owners = held
            .enumerate()
            .filter_map(|(index, (&key, _))| {
                let owner = members.get(index % members.len().max(1))?;
                Some((key, *owner))
            })
            .collect();
        OwnershipTable {
            data_centre,
            epoch: 1,
            members,
            owners,
        }
    });
    tables.collect()
}
