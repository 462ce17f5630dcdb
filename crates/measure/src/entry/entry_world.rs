use fastrand::Rng;
use wigeonhall_dispatch::Arrival;
use wigeonhall_dispatch::Exchange;
use wigeonhall_dispatch::Outcome;
use wigeonhall_dispatch::Policy;
use wigeonhall_dispatch::Pool;
use wigeonhall_dispatch::Reply;
use wigeonhall_dispatch::RoundTrip;
use wigeonhall_dispatch::SubRequest;

use crate::entry::DeploymentShape;
use crate::entry::EntryLoad;
use crate::entry::EntryResult;
use crate::entry::FaultKind;
use crate::entry::RouteResult;
use crate::entry::budget_use::BudgetUse;
use crate::entry::callers::Query;
use crate::entry::entry_job::Job;
use crate::entry::entry_job::JobKey;
use crate::entry::entry_node::EntryNode;
use crate::entry::fake_replica::FakeReplica;
use crate::entry::fake_replica::fake_replicas;
use crate::entry::limit_use::LimitUse;
use crate::event_queue::EventQueue;

/// The nodes of an entry tier with their callers and replicas.
#[derive(Debug)]
pub struct EntryWorld {
    pub(crate) budget_use: BudgetUse,
    pub(crate) events: EventQueue<EntryEvent>,
    pub(crate) jobs: Vec<Job>,
    pub(crate) limit_use: LimitUse,
    pub(crate) load: EntryLoad,
    pub(crate) nodes: Vec<EntryNode>,
    pub(crate) queries: Vec<Query>,
    pub(crate) replicas: Vec<FakeReplica>,
    pub(crate) result: EntryResult,
    pub(crate) rng: Rng,
    pub(crate) shape: DeploymentShape,
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
        let nodes =
            (0..shape.nodes).map(|number| EntryNode::new(&shape, policy, number, rng.u64(..)));
        Self {
            budget_use: BudgetUse::new(shape.nodes, shape.shards),
            events: EventQueue::default(),
            jobs: Vec::new(),
            limit_use: LimitUse::default(),
            nodes: nodes.collect(),
            queries: Vec::new(),
            replicas,
            result: EntryResult {
                routes: vec![RouteResult::default(); shape.routes.len()],
                ..EntryResult::default()
            },
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
        self.result.worst_budget_use = self.budget_use.worst_share;
        self.result.worst_limit_use = self.limit_use.worst_share;
        self.result
    }

    fn handle(&mut self, now_us: u64, event: EntryEvent) {
        match event {
            EntryEvent::Arrival => self.arrive(now_us),
            EntryEvent::AtNode(query) => self.start(now_us, query),
            EntryEvent::AtReplica(job) => self.at_replica(now_us, job),
            EntryEvent::Done(job) => self.done(now_us, job),
            EntryEvent::Drop(query) => self.drop_leftovers(now_us, query),
            EntryEvent::Fault(index) => self.set_fault(now_us, index, true),
            EntryEvent::FaultEnd(index) => self.set_fault(now_us, index, false),
            EntryEvent::Reply(job, reply) => self.reply(now_us, job, reply),
            EntryEvent::Timer(query) => self.timer(now_us, query),
        }
    }

    fn set_fault(&mut self, now_us: u64, index: usize, begins: bool) {
        let usual_per_s = self.shape.capacity_per_s() * self.load.load / self.shape.replicas as f64;
        let fault = self.load.faults[index];
        let shards = (self.shape.shards as f64 * fault.share).ceil() as usize;
        for shard in 0..shards.min(self.shape.shards) {
            let faulty = if fault.all_replicas {
                self.shape.replicas
            } else {
                1
            };
            let first = shard * self.shape.replicas;
            for replica in first..first + faulty {
                self.replicas[replica].fault = begins.then_some(fault.kind);
                match fault.kind {
                    FaultKind::Limited(share) if begins => {
                        self.limit_use.name(now_us, replica, share * usual_per_s);
                    }
                    _ => self.limit_use.lift(replica),
                }
            }
        }
    }

    fn start(&mut self, now_us: u64, query: usize) {
        self.budget_use.count_request(now_us);
        let shape = self.shape.routes[self.queries[query].route];
        let deadline_us = self.queries[query].started_us + shape.timeout_ms * 1_000;
        let connection_reused = self.queries[query].connection_reused;
        let node = &mut self.nodes[self.queries[query].node];
        let route = self.queries[query].route;
        let hedge_us = node.latencies[route].hedge_delay_us(shape.target_ms);
        let queueing_us = node.latencies[route].queueing_us();
        let profile = node.latencies[route].profile();
        let route = node.routes[route].clone();
        let round_trip = RoundTrip {
            deviation_us: 0,
            mean_us: 2 * self.shape.caller_us,
        };
        let arrival = Arrival {
            answer_lag_us: 0,
            arrived_us: now_us,
            connection_reused,
            processor_share: self.shape.processor_share,
            round_trip: node.pool.policy().round_trip(Some(round_trip)),
        };
        let mut exchange = Exchange::new(arrival, deadline_us, hedge_us, route)
            .with_queueing_latency(queueing_us)
            .with_profile(profile);
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
        self.result.sends += 1;
        if sub_request.attempt > 0 {
            self.result.extra_sends += 1;
            self.budget_use.count_extra(now_us, sub_request.leg);
        }
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
}
