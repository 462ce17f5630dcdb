use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use fastrand::Rng;
use wigeonhall_dispatch::Configuration;
use wigeonhall_dispatch::Exchange;
use wigeonhall_dispatch::ExtraAllowance;
use wigeonhall_dispatch::NotRunCause;
use wigeonhall_dispatch::Outcome;
use wigeonhall_dispatch::Policy;
use wigeonhall_dispatch::Pool;
use wigeonhall_dispatch::RefuseReason;
use wigeonhall_dispatch::Registration;
use wigeonhall_dispatch::RegistrationState;
use wigeonhall_dispatch::ReplicaKey;
use wigeonhall_dispatch::Reply;
use wigeonhall_dispatch::RequestLimits;
use wigeonhall_dispatch::Route;
use wigeonhall_dispatch::RouteKind;
use wigeonhall_dispatch::RouteLatency;
use wigeonhall_dispatch::RouteSpec;
use wigeonhall_dispatch::RouteTable;
use wigeonhall_dispatch::SubRequest;
use wigeonhall_dispatch::TargetSpec;

use crate::entry::DeploymentShape;
use crate::entry::EntryLoad;
use crate::entry::EntryResult;
use crate::entry::RouteResult;
use crate::entry::RouteShape;
use crate::entry::entry_job::Job;
use crate::entry::entry_job::JobKey;
use crate::entry::fake_replica::FakeReplica;
use crate::event_queue::EventQueue;

/// Time for which sub-requests go on after their request was answered.
const LEFTOVER_US: u64 = 300_000;

/// Extra sub-requests a request that operators allow.
const EXTRA_RATIO: f64 = 0.2;

/// Extra sub-requests that operators allow in a window for each node, beyond the ratio.
const EXTRA_SLACK_PER_NODE: f64 = 6.4;

/// Length of the window of extra sub-requests.
const EXTRA_WINDOW_US: u64 = 10_000_000;

/// Requests before this time teach the nodes the latencies and are not counted.
const WARM_UP_US: u64 = 3_000_000;

/// Load during the warm-up, as a share of the capacity.
const WARM_UP_LOAD: f64 = 0.3;

/// Share of the benefit that a late answer has.
const LATE_BENEFIT: f64 = 0.1;

/// The nodes of an entry tier with their callers and replicas.
#[derive(Debug)]
pub struct EntryWorld {
    pub(crate) events: EventQueue<EntryEvent>,
    pub(crate) jobs: Vec<Job>,
    load: EntryLoad,
    pub(crate) nodes: Vec<Node>,
    pub(crate) queries: Vec<Query>,
    pub(crate) replicas: Vec<FakeReplica>,
    pub(crate) result: EntryResult,
    pub(crate) rng: Rng,
    pub(crate) shape: DeploymentShape,
    /// Times of extra sub-requests and first requests by service, for the budget.
    sends_by_shard: Vec<(VecDeque<u64>, VecDeque<u64>)>,
}

#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) data_centre: usize,
    pub(crate) latencies: Vec<RouteLatency>,
    pub(crate) pool: Pool,
    pub(crate) replicas: HashMap<ReplicaKey, usize>,
    routes: Vec<Rc<Route>>,
}

/// One attempt of a caller.
#[derive(Debug)]
pub(crate) struct Query {
    pub(crate) answered: bool,
    attempt: u32,
    /// Time of the caller's attempt if its first one was refused at once; otherwise of its first
    /// one.
    attempted_us: u64,
    pub(crate) exchange: Option<Exchange>,
    pub(crate) jobs: Vec<JobKey>,
    pub(crate) node: usize,
    pub(crate) route: usize,
    /// Time of its pending timer; `None` if there is none.
    timer_us: Option<u64>,
    started_us: u64,
}

#[derive(Clone, Copy, Debug)]
pub(crate) enum EntryEvent {
    /// A caller makes a new request.
    Arrival,
    /// A caller's attempt reaches its node.
    AtNode(usize),
    AtReplica(JobKey),
    Done(JobKey),
    /// The leftovers of an answered request are dropped.
    Drop(usize),
    Fault(usize),
    FaultEnd(usize),
    Reply(JobKey, Reply),
    Timer(usize),
}

impl EntryWorld {
    /// Creates the deployment, in which all nodes follow `policy`.
    #[must_use]
    pub fn new(shape: DeploymentShape, load: EntryLoad, policy: Policy, seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let replicas = fake_replicas(&shape, &mut rng);
        let nodes = (0..shape.nodes).map(|number| Node::new(&shape, policy, number, rng.u64(..)));
        Self {
            events: EventQueue::default(),
            jobs: Vec::new(),
            nodes: nodes.collect(),
            queries: Vec::new(),
            replicas,
            result: EntryResult {
                routes: vec![RouteResult::default(); shape.routes.len()],
                ..EntryResult::default()
            },
            sends_by_shard: vec![(VecDeque::new(), VecDeque::new()); shape.shards],
            load,
            rng,
            shape,
        }
    }

    /// Plays the load and returns what callers got.
    #[must_use]
    pub fn run(mut self) -> EntryResult {
        self.events.push(0, EntryEvent::Arrival);
        for (index, fault) in self.load.faults.iter().enumerate() {
            self.events.push(fault.from_us, EntryEvent::Fault(index));
            self.events
                .push(fault.until_us, EntryEvent::FaultEnd(index));
        }
        while let Some((now_us, event)) = self.events.pop() {
            self.handle(now_us, event);
        }
        self.result
    }

    fn handle(&mut self, now_us: u64, event: EntryEvent) {
        match event {
            EntryEvent::Arrival => self.arrive(now_us),
            EntryEvent::AtNode(query) => self.start(now_us, query),
            EntryEvent::AtReplica(job) => self.at_replica(now_us, job),
            EntryEvent::Done(job) => self.done(now_us, job),
            EntryEvent::Drop(query) => self.drop_leftovers(now_us, query),
            EntryEvent::Fault(index) => self.set_fault(index, true),
            EntryEvent::FaultEnd(index) => self.set_fault(index, false),
            EntryEvent::Reply(job, reply) => self.reply(now_us, job, reply),
            EntryEvent::Timer(query) => self.timer(now_us, query),
        }
    }

    fn set_fault(&mut self, index: usize, begins: bool) {
        let fault = self.load.faults[index];
        let shards = (self.shape.shards as f64 * fault.share).ceil() as usize;
        for shard in 0..shards.min(self.shape.shards) {
            let replica = &mut self.replicas[shard * self.shape.replicas];
            replica.fault = begins.then_some(fault.kind);
        }
    }

    fn arrive(&mut self, now_us: u64) {
        let load = if now_us < WARM_UP_US {
            self.load.load.min(WARM_UP_LOAD)
        } else {
            self.load.load
        };
        let rate = self.shape.capacity_per_s() * load;
        let next_us = now_us + (-self.rng.f64().max(1e-12).ln() / rate * 1e6) as u64;
        if next_us < self.load.run_us {
            self.events.push(next_us, EntryEvent::Arrival);
        }
        let route = self.draw_route();
        if now_us >= WARM_UP_US {
            let counts = &mut self.result.routes[route];
            counts.offered += 1;
            counts.owed += self.shape.routes[route].worth;
        }
        self.attempt(now_us, now_us, now_us, route, 0);
    }

    fn draw_route(&mut self) -> usize {
        let shares: f64 = self.shape.routes.iter().map(|route| route.share).sum();
        let mut left = self.rng.f64() * shares;
        for (index, route) in self.shape.routes.iter().enumerate() {
            left -= route.share;
            if left < 0.0 {
                return index;
            }
        }
        0
    }

    /// Sends an attempt of a caller to a node; half of the attempts open a connection first.
    fn attempt(
        &mut self,
        now_us: u64,
        attempted_us: u64,
        started_us: u64,
        route: usize,
        attempt: u32,
    ) {
        let node = self.rng.usize(..self.nodes.len());
        let ways = if self.rng.bool() { 3 } else { 1 };
        self.queries.push(Query {
            answered: false,
            attempt,
            attempted_us,
            exchange: None,
            jobs: Vec::new(),
            node,
            route,
            started_us,
            timer_us: None,
        });
        let at_us = now_us + ways * self.shape.caller_us;
        let query = self.queries.len() - 1;
        self.events.push(at_us, EntryEvent::AtNode(query));
    }

    fn start(&mut self, now_us: u64, query: usize) {
        let shape = self.shape.routes[self.queries[query].route];
        let deadline_us = self.queries[query].started_us + shape.timeout_ms * 1_000;
        let node = &mut self.nodes[self.queries[query].node];
        let route = self.queries[query].route;
        let hedge_us = node.latencies[route].hedge_delay_us(shape.target_ms);
        let queueing_us = node.latencies[route].queueing_us();
        let route = node.routes[route].clone();
        let mut exchange = Exchange::new(now_us, deadline_us, hedge_us, 0, route)
            .with_queueing_latency(queueing_us);
        let mut sends = Vec::new();
        let outcome = exchange.start(&mut node.pool, now_us, &mut sends);
        self.queries[query].exchange = Some(exchange);
        self.step(now_us, query, outcome, sends);
    }

    fn timer(&mut self, now_us: u64, query: usize) {
        // An earlier timer has replaced this one.
        if self.queries[query].timer_us != Some(now_us) {
            return;
        }
        self.queries[query].timer_us = None;
        self.drive(now_us, query, |exchange, pool, sends| {
            exchange.timer(pool, now_us, sends)
        });
    }

    /// Lets the exchange of an open request decide.
    pub(crate) fn drive(
        &mut self,
        now_us: u64,
        query: usize,
        decide: impl FnOnce(&mut Exchange, &mut Pool, &mut Vec<SubRequest>) -> Option<Outcome>,
    ) {
        let open = &mut self.queries[query];
        let Some(exchange) = open.exchange.as_mut().filter(|_| !open.answered) else {
            return;
        };
        let mut sends = Vec::new();
        let outcome = decide(exchange, &mut self.nodes[open.node].pool, &mut sends);
        self.step(now_us, query, outcome, sends);
    }

    fn step(
        &mut self,
        now_us: u64,
        query: usize,
        outcome: Option<Outcome>,
        sends: Vec<SubRequest>,
    ) {
        for sub_request in sends {
            self.send(now_us, query, sub_request);
        }
        if let Some(outcome) = outcome {
            self.answer(now_us, query, outcome);
        } else if let Some(exchange) = &self.queries[query].exchange {
            let at_us = exchange.next_timer_us(now_us).max(now_us + 1);
            let open = &mut self.queries[query];
            if open.timer_us.is_none_or(|timer_us| timer_us > at_us) {
                open.timer_us = Some(at_us);
                self.events.push(at_us, EntryEvent::Timer(query));
            }
        }
    }

    fn send(&mut self, now_us: u64, query: usize, sub_request: SubRequest) {
        let node = &self.nodes[self.queries[query].node];
        let replica = node.replicas[&sub_request.replica];
        self.count_send(now_us, sub_request);
        let job = JobKey(self.jobs.len());
        self.jobs.push(Job {
            ended: false,
            query,
            replica,
            sent_us: now_us,
            sub_request,
        });
        self.queries[query].jobs.push(job);
        let at_us = now_us + self.way_us(job);
        self.events.push(at_us, EntryEvent::AtReplica(job));
    }

    fn count_send(&mut self, now_us: u64, sub_request: SubRequest) {
        let extra = sub_request.attempt > 0;
        self.result.sends += 1;
        self.result.extra_sends += u64::from(extra);
        let (extras, firsts) = &mut self.sends_by_shard[sub_request.leg];
        let sends = if extra { &mut *extras } else { &mut *firsts };
        sends.push_back(now_us);
        for sends in [&mut *extras, firsts] {
            while sends
                .front()
                .is_some_and(|at_us| at_us + EXTRA_WINDOW_US < now_us)
            {
                sends.pop_front();
            }
        }
        let slack = EXTRA_SLACK_PER_NODE * self.shape.nodes as f64;
        let allowed = slack + EXTRA_RATIO * firsts.len() as f64;
        let used = extras.len() as f64 / allowed;
        self.result.worst_budget_use = self.result.worst_budget_use.max(used);
    }

    /// One-way delay between the node and the replica of a sub-request.
    pub(crate) fn way_us(&self, job: JobKey) -> u64 {
        let job = &self.jobs[job.0];
        let node = &self.nodes[self.queries[job.query].node];
        if node.data_centre == self.replicas[job.replica].data_centre {
            self.shape.local_us
        } else {
            self.shape.cross_us
        }
    }

    fn answer(&mut self, now_us: u64, query: usize, outcome: Outcome) {
        let open = &mut self.queries[query];
        open.answered = true;
        self.events
            .push(now_us + LEFTOVER_US, EntryEvent::Drop(query));
        let (route, started_us, attempt) = (open.route, open.started_us, open.attempt);
        let at_us = now_us + self.shape.caller_us;
        let counted = started_us >= WARM_UP_US;
        match outcome {
            Outcome::Gather { missing } => {
                self.count_answer(at_us, query, missing);
            }
            Outcome::Refuse {
                retry_after_ms,
                reason,
            } if attempt == 0 => {
                let counts = &mut self.result.routes[route];
                counts.refusals += u64::from(counted);
                let overload = matches!(reason, RefuseReason::Overloaded { .. });
                counts.overload_refusals += u64::from(counted && overload);
                let timeout_us = self.shape.routes[route].timeout_ms * 1_000;
                let left_us = (started_us + timeout_us).saturating_sub(at_us);
                let wait_us = (retry_after_ms * 1_000).min(left_us / 3);
                let retry_us = at_us + wait_us;
                let target_us = self.shape.routes[route].target_ms * 1_000;
                let at_once = at_us - started_us <= target_us / 4;
                let attempted_us = if at_once { retry_us } else { started_us };
                self.attempt(retry_us, attempted_us, started_us, route, 1);
            }
            Outcome::GiveUp(_) if attempt == 0 => {
                self.attempt(at_us, started_us, started_us, route, 1);
            }
            Outcome::Forward { .. } | Outcome::GiveUp(_) | Outcome::Refuse { .. } => {
                self.result.routes[route].failed += u64::from(counted);
            }
        }
    }

    fn count_answer(&mut self, at_us: u64, query: usize, missing: usize) {
        let query = &self.queries[query];
        if query.started_us < WARM_UP_US {
            return;
        }
        let route: RouteShape = self.shape.routes[query.route];
        let share = 1.0 - missing as f64 / self.shape.shards as f64;
        let counts = &mut self.result.routes[query.route];
        counts.missing_parts += missing as u64;
        let in_time = at_us - query.attempted_us <= route.target_ms * 1_000;
        counts.in_time += u64::from(in_time);
        counts.late += u64::from(!in_time);
        let worth = match (in_time, query.attempted_us == query.started_us) {
            (false, _) => LATE_BENEFIT,
            (true, false) => f64::midpoint(1.0, LATE_BENEFIT),
            (true, true) => 1.0,
        };
        counts.benefit += route.worth * worth * share * share;
    }
}

impl Node {
    fn new(shape: &DeploymentShape, policy: Policy, number: usize, seed: u64) -> Self {
        let data_centre = number % shape.data_centres;
        let mut pool = Pool::new(data_centre_name(data_centre), seed);
        pool.set_policy(policy);
        pool.set_nodes(shape.nodes);
        pool.set_extra_allowance(ExtraAllowance {
            ratio: EXTRA_RATIO,
            slack: EXTRA_SLACK_PER_NODE * shape.nodes as f64,
            window_ms: EXTRA_WINDOW_US / 1_000,
        });
        let mut replicas = HashMap::new();
        for index in 0..shape.shards * shape.replicas {
            if let Some(key) = pool.register(0, registration(shape, index)) {
                replicas.insert(key, index);
            }
        }
        for shard in 0..shape.shards {
            let service = pool.service_key(&shard_name(shard));
            pool.set_senders(service, shape.nodes);
        }
        let table = RouteTable::new(&configuration(shape), &mut pool);
        let routes = shape.routes.iter().enumerate();
        let routes =
            routes.filter_map(|(index, _)| table.find("a", &format!("/{index}/")).cloned());
        Self {
            data_centre,
            latencies: vec![RouteLatency::default(); shape.routes.len()],
            replicas,
            routes: routes.collect(),
            pool,
        }
    }
}

fn fake_replicas(shape: &DeploymentShape, rng: &mut Rng) -> Vec<FakeReplica> {
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
        speed: SPEEDS[rng.usize(..SPEEDS.len())],
    };
    (0..shape.shards * shape.replicas).map(replica).collect()
}

const fn replica_data_centre(shape: &DeploymentShape, index: usize) -> usize {
    (index % shape.replicas) % shape.data_centres
}

fn data_centre_name(number: usize) -> Arc<str> {
    format!("dc-{number}").into()
}

fn shard_name(number: usize) -> Arc<str> {
    format!("shard-{number}").into()
}

fn registration(shape: &DeploymentShape, index: usize) -> Registration {
    Registration {
        address: SocketAddr::from(([10, 0, (index / 256) as u8, (index % 256) as u8], 9_000)),
        cold_for_ms: 0,
        data_centre: data_centre_name(replica_data_centre(shape, index)),
        id: format!("replica-{index}").into(),
        sequence: 1,
        service: shard_name(index / shape.replicas),
        slots: shape.slots,
        started_unix_ms: 1,
        state: RegistrationState::Ready,
    }
}

fn configuration(shape: &DeploymentShape) -> Configuration {
    let routes = shape.routes.iter().enumerate();
    let routes = routes.map(|(index, route)| RouteSpec {
        host: "a".into(),
        kind: RouteKind::Idempotent,
        max_attempts: 3,
        name: format!("route-{index}").into(),
        priority: index as u32,
        path_prefix: format!("/{index}/").into(),
        target: TargetSpec::Gather {
            min_fraction: route.min_fraction,
            shards: (0..shape.shards).map(shard_name).collect(),
            top_records: 10,
        },
        target_latency_ms: route.target_ms,
        timeout_ms: route.timeout_ms,
    });
    Configuration {
        limits: RequestLimits {
            body_bytes: 0,
            header_bytes: 0,
            header_timeout_ms: 0,
            idle_timeout_ms: 0,
        },
        routes: routes.collect(),
        services: Vec::new(),
        version: 1,
    }
}

/// The reply of a replica that refuses a request.
pub(crate) const REFUSED: Reply = Reply::NotRun(NotRunCause::Busy);
