//! Virtual-time world: nodes share one shard whose replicas answer a fixed number of requests per
//! second, and queue the rest.

#![allow(dead_code, reason = "each test file uses a part of this")]

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::ops::Range;
use std::rc::Rc;

use fastrand::Rng;

use wigeonhall_dispatch::Arrival;
use wigeonhall_dispatch::Exchange;
use wigeonhall_dispatch::Outcome;
use wigeonhall_dispatch::Pool;
use wigeonhall_dispatch::Reply;
use wigeonhall_dispatch::Route;
use wigeonhall_dispatch::RouteKind;
use wigeonhall_dispatch::RouteSpec;
use wigeonhall_dispatch::RouteTable;
use wigeonhall_dispatch::SubRequest;
use wigeonhall_dispatch::TenantSpec;

use crate::common::MS;
use crate::common::S;
use crate::common::add;
use crate::common::configuration;
use crate::common::gather;
use crate::common::route_spec;

/// Latency of a replica without a queue.
const BASE_LATENCY_US: u64 = 10 * MS;

/// Latency above which a replica counts as queueing requests.
const QUEUEING_US: u64 = 30 * MS;

/// Wait after which a replica leaves a request without an answer.
const WAIT_MAX_US: u64 = 900 * MS;

/// Requests of one tenant for one route, that arrive at random.
#[derive(Clone, Debug)]
pub struct Stream {
    /// Time in seconds, and factor of the rate in it.
    pub burst: Option<(Range<u64>, f64)>,
    pub per_s: f64,
    /// Position in [`World::routes`].
    pub route: usize,
    /// Position in [`World::tenants`].
    pub tenant: usize,
}

impl Stream {
    pub fn steady(tenant: usize, per_s: f64) -> Self {
        Self {
            burst: None,
            per_s,
            route: 0,
            tenant,
        }
    }

    fn rate_at(&self, second: u64) -> f64 {
        match &self.burst {
            Some((time, factor)) if time.contains(&second) => self.per_s * factor,
            Some(_) | None => self.per_s,
        }
    }
}

/// What became of the requests of a stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub admitted: u64,
    pub in_time: u64,
    pub offered: u64,
}

impl Counts {
    pub fn admitted_share(self) -> f64 {
        self.admitted as f64 / self.offered.max(1) as f64
    }
}

pub struct World {
    pub capacity_per_s: f64,
    /// Whether nodes are told the demand of each tenant.
    pub demand_known: bool,
    pub nodes: usize,
    pub routes: Vec<RouteSpec>,
    pub streams: Vec<Stream>,
    /// `None` if the configuration names no tenants.
    pub tenants: Option<Vec<TenantSpec>>,
}

/// Returns a route over the shard of the world.
pub fn kind(name: &str, priority: u32) -> RouteSpec {
    let mut spec = route_spec(RouteKind::Idempotent, gather(&["a"], 1.0));
    spec.name = name.into();
    spec.path_prefix = format!("/{name}/").into();
    spec.priority = priority;
    spec.target_latency_ms = 400;
    spec
}

pub fn tenant(name: &str, rate_per_s: f64) -> TenantSpec {
    TenantSpec {
        burst: 0.0,
        key_digests: Vec::new(),
        name: name.into(),
        priority: None,
        rate_per_s,
    }
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrival { stream: usize },
    Reply { request: u64 },
    Timer { request: u64 },
}

struct Open {
    exchange: Exchange,
    node: usize,
    stream: usize,
    sub_request: SubRequest,
}

struct Run<'a> {
    busy_until_us: u64,
    counts: Vec<Counts>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    measured: Range<u64>,
    next_request: u64,
    open: BTreeMap<u64, Open>,
    pools: Vec<Pool>,
    rng: Rng,
    tables: Vec<RouteTable>,
    world: &'a World,
}

impl World {
    /// Runs until the end of `measured`, a time in seconds; counts the requests that arrive in it.
    pub fn run(&self, seed: u64, measured: Range<u64>) -> Vec<Counts> {
        let mut configuration = configuration(1, self.routes.clone());
        configuration.tenants.clone_from(&self.tenants);
        let mut pools: Vec<Pool> = (0..self.nodes)
            .map(|node| Pool::new("north".into(), seed * 1_000 + node as u64))
            .collect();
        let mut tables = Vec::new();
        for pool in &mut pools {
            pool.set_nodes(self.nodes);
            add(pool, "a", 1);
            tables.push(RouteTable::new(&configuration, pool));
        }
        let mut run = Run {
            busy_until_us: 0,
            counts: vec![Counts::default(); self.streams.len()],
            events: BinaryHeap::new(),
            measured,
            next_request: 0,
            open: BTreeMap::new(),
            pools,
            rng: Rng::with_seed(seed),
            tables,
            world: self,
        };
        run.schedule_arrivals();
        while let Some(Reverse((at_us, event))) = run.events.pop() {
            match event {
                Event::Arrival { stream } => run.arrive(at_us, stream),
                Event::Reply { request } => run.reply(at_us, request),
                Event::Timer { request } => run.timer(at_us, request),
            }
        }
        run.counts
    }
}

impl Run<'_> {
    fn schedule_arrivals(&mut self) {
        for (index, stream) in self.world.streams.iter().enumerate() {
            for second in 0..self.measured.end {
                let rate = stream.rate_at(second);
                let mut offset_s = -self.rng.f64().ln() / rate;
                while offset_s < 1.0 {
                    let at_us = second * S + (offset_s * 1e6) as u64;
                    self.events
                        .push(Reverse((at_us, Event::Arrival { stream: index })));
                    offset_s -= self.rng.f64().ln() / rate;
                }
            }
        }
    }

    fn demand_per_s(&self, tenant: usize, second: u64) -> f64 {
        let streams = self.world.streams.iter();
        let own = streams.filter(|stream| stream.tenant == tenant);
        own.map(|stream| stream.rate_at(second)).sum()
    }

    fn arrive(&mut self, now_us: u64, index: usize) {
        let stream = &self.world.streams[index];
        let node = self.rng.usize(..self.world.nodes);
        let second = now_us / S;
        let known = self.world.demand_known;
        let demand = known.then(|| self.demand_per_s(stream.tenant, second));
        let claim = self.world.tenants.as_ref().map(|specs| {
            let tenants = self.tables[node].tenants.as_ref().unwrap();
            tenants.claim(Some(&specs[stream.tenant]), demand)
        });
        let path = &self.world.routes[stream.route].path_prefix;
        let route: Rc<Route> = self.tables[node]
            .find("shop.example", path)
            .unwrap()
            .clone();
        let arrival = Arrival {
            arrived_us: now_us,
            ..Arrival::default()
        };
        let mut exchange = Exchange::new(arrival, now_us + S, S, route)
            .with_queueing_latency(Some(QUEUEING_US))
            .with_claim(claim);
        let mut sends = Vec::new();
        let started = exchange.start(&mut self.pools[node], now_us, &mut sends);
        let counted = self.measured.contains(&second);
        self.counts[index].offered += u64::from(counted);
        if started.is_some() {
            return;
        }
        self.counts[index].admitted += u64::from(counted);
        let request = self.next_request;
        self.next_request += 1;
        let start_us = self.busy_until_us.max(now_us);
        if start_us - now_us <= WAIT_MAX_US {
            self.busy_until_us = start_us + (1e6 / self.world.capacity_per_s) as u64;
            let replied_us = start_us + BASE_LATENCY_US;
            self.events
                .push(Reverse((replied_us, Event::Reply { request })));
        }
        for at_us in [exchange.soft_deadline_us(), exchange.deadline_us()] {
            self.events.push(Reverse((at_us, Event::Timer { request })));
        }
        let open = Open {
            exchange,
            node,
            stream: index,
            sub_request: sends[0],
        };
        self.open.insert(request, open);
    }

    fn reply(&mut self, now_us: u64, request: u64) {
        let Some(mut open) = self.open.remove(&request) else {
            return;
        };
        let pool = &mut self.pools[open.node];
        let replica = open.sub_request.replica;
        let latency = (now_us - open.exchange.sent_us(open.sub_request)) as f64;
        pool.request_finished(
            now_us,
            replica,
            Reply::Success,
            latency / QUEUEING_US as f64,
        );
        let mut sends = Vec::new();
        let in_time = now_us <= open.exchange.soft_deadline_us();
        let arrived_s = open.exchange.sent_us(open.sub_request) / S;
        open.exchange
            .reply(pool, now_us, open.sub_request, Reply::Success, &mut sends);
        if in_time && self.measured.contains(&arrived_s) {
            self.counts[open.stream].in_time += 1;
        }
    }

    fn timer(&mut self, now_us: u64, request: u64) {
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        let pool = &mut self.pools[open.node];
        let mut sends = Vec::new();
        let outcome = open.exchange.timer(pool, now_us, &mut sends);
        assert_eq!(sends, []);
        if let Some(Outcome::GiveUp(_)) = outcome {
            pool.request_dropped(open.sub_request.replica);
            self.open.remove(&request);
        }
    }
}

/// Returns the weighted max-min shares of a capacity, given pairs of weight and demand.
pub fn max_min_shares(capacity: f64, claims: &[(f64, f64)]) -> Vec<f64> {
    let (mut low, mut high) = (0.0, 1e9);
    let share = |level: f64, claim: &(f64, f64)| claim.1.min(level * claim.0);
    for _ in 0..100 {
        let level = f64::midpoint(low, high);
        let sum: f64 = claims.iter().map(|claim| share(level, claim)).sum();
        if sum < capacity {
            low = level;
        } else {
            high = level;
        }
    }
    claims.iter().map(|claim| share(low, claim)).collect()
}
