//! Nodes of a tier with a coordinator each, in virtual time; a store that applies one final state.

use std::collections::BTreeMap;
use std::sync::Arc;

use wigeonhall_dispatch::NodeReport;
use wigeonhall_dispatch::Pool;
use wigeonhall_dispatch::ReplicaKey;
use wigeonhall_dispatch::Reply;
use wigeonhall_dispatch::Rollout;
use wigeonhall_dispatch::RolloutAnswer;
use wigeonhall_dispatch::RolloutBounds;
use wigeonhall_dispatch::RolloutContext;
use wigeonhall_dispatch::RolloutCoordinator;
use wigeonhall_dispatch::RolloutNews;
use wigeonhall_dispatch::RolloutState;
use wigeonhall_dispatch::RolloutStatus;
use wigeonhall_dispatch::ServiceKey;

use crate::common::MS;
use crate::common::S;
use crate::common::registration;

const TICK_US: u64 = 10 * MS;

/// Time between the request of a rollout, or a write, and its arrival at a node.
const LEARNING_MAX_US: u64 = 700 * MS;

/// The load doubles in every other period of this length.
const PEAK_US: u64 = 2 * S;

/// Bad responses after which the rollback time begins.
const BAD_RESPONSES: u32 = 50;

pub const BOUNDS: RolloutBounds = RolloutBounds {
    exposure_share: 0.1,
    exposure_slack: 50.0,
    rollback_ms: 5_000,
};

#[derive(Clone, Copy, Debug)]
pub struct TierShape {
    pub duration_s: u64,
    pub earlier_failing_share: f64,
    pub latency_sigma: f64,
    pub latency_us: f64,
    pub nodes: usize,
    /// Part of the rollout, from and to, in which half of the nodes do not reach the others.
    pub partition: (f64, f64),
    /// Requests to the service from all nodes.
    pub rate_per_s: f64,
    pub routes: usize,
}

/// How a target version is bad.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    pub failing_share: f64,
    /// Part of the rollout from which the version is bad.
    pub from_fraction: f64,
    pub only_route: Option<usize>,
    pub only_under_load: bool,
    pub slowdown: f64,
}

/// What happened until the deadline.
#[derive(Debug, Default)]
pub struct TierEnd {
    pub bad_responses: u32,
    pub fiftieth_bad_us: Option<u64>,
    /// Requests to the target version after the rollback time.
    pub late_to_target: u32,
    pub requests: u32,
    /// Final states that were written.
    pub states: Vec<RolloutState>,
    pub reasons: Vec<String>,
    pub to_target: u32,
}

struct Node {
    coordinator: RolloutCoordinator,
    learns_us: u64,
    pool: Pool,
}

struct InFlight {
    key: ReplicaKey,
    node: usize,
    reply: Reply,
    route: Arc<str>,
    sent_us: u64,
    to_target: bool,
}

pub struct Tier {
    end: TierEnd,
    fault: Option<Fault>,
    /// Requests by the time of their response.
    in_flight: BTreeMap<(u64, u32), InFlight>,
    nodes: Vec<Node>,
    partition_us: std::ops::Range<u64>,
    rng: fastrand::Rng,
    service: ServiceKey,
    shape: TierShape,
    written_us: Option<u64>,
}

impl Tier {
    pub fn new(shape: TierShape, fault: Option<Fault>, mut rng: fastrand::Rng) -> Self {
        let nodes: Vec<Node> = (0..shape.nodes).map(|_| node(shape, &mut rng)).collect();
        let at_us = |part: f64| (part * (shape.duration_s * S) as f64) as u64;
        let partition_us = at_us(shape.partition.0)..at_us(shape.partition.1);
        Self {
            end: TierEnd::default(),
            fault,
            in_flight: BTreeMap::new(),
            service: nodes[0].pool.known_service("a").unwrap(),
            nodes,
            partition_us,
            rng,
            shape,
            written_us: None,
        }
    }

    /// Runs until the deadline.
    pub fn run(mut self) -> TierEnd {
        let ticks = self.shape.duration_s * S / TICK_US;
        for now_us in (0..ticks).map(|tick| tick * TICK_US) {
            self.learn(now_us);
            let load = if is_peak(now_us) { 4.0 } else { 2.0 } / 3.0;
            let per_tick = self.shape.rate_per_s * load * TICK_US as f64 / S as f64;
            if self.rng.f64() < per_tick {
                let node = self.rng.usize(..self.nodes.len());
                self.send(now_us, node, &[]);
            }
            self.end_requests(now_us);
            for node in 0..self.nodes.len() {
                if (now_us / TICK_US + node as u64).is_multiple_of(500 * MS / TICK_US) {
                    self.report(now_us, node);
                }
            }
        }
        self.end
    }

    fn learn(&mut self, now_us: u64) {
        let state = self.written_us.and(self.end.states.first().copied());
        for node in &mut self.nodes {
            let written = self
                .written_us
                .is_some_and(|at| at + LEARNING_MAX_US == now_us);
            if node.learns_us == now_us || written {
                let rollout = rollout(self.shape, state.filter(|_| written));
                let revision = u64::from(written);
                let news = RolloutNews::Current;
                node.pool.apply_rollout(now_us, rollout, revision, news);
            }
        }
    }

    fn send(&mut self, now_us: u64, index: usize, tried: &[ReplicaKey]) {
        let pool = &mut self.nodes[index].pool;
        let Some(key) = pool.choose(now_us, self.service, tried) else {
            return;
        };
        pool.request_started(now_us, key);
        let to_target = *pool.replica(key).unwrap().registration.version == *"v2";
        let route = self.rng.usize(..self.shape.routes);
        let (reply, latency_us) = self.response(now_us, route, to_target);
        self.end.requests += 1;
        self.end.to_target += u32::from(to_target);
        let late = |at_us| now_us > at_us + BOUNDS.rollback_ms * MS;
        let late = to_target && self.end.fiftieth_bad_us.is_some_and(late);
        self.end.late_to_target += u32::from(late);
        let request = InFlight {
            key,
            node: index,
            reply,
            route: format!("route-{route}").into(),
            sent_us: now_us,
            to_target,
        };
        let ends = (now_us + latency_us, self.end.requests);
        self.in_flight.insert(ends, request);
    }

    /// Draws the response of a replica.
    fn response(&mut self, now_us: u64, route: usize, to_target: bool) -> (Reply, u64) {
        let duration_us = (self.shape.duration_s * S) as f64;
        let peak = is_peak(now_us);
        let fault = self.fault.filter(|fault| {
            to_target
                && now_us as f64 >= fault.from_fraction * duration_us
                && fault.only_route.is_none_or(|only| only == route)
                && (peak || !fault.only_under_load)
        });
        let failing_share = fault
            .map_or(0.0, |fault| fault.failing_share)
            .max(self.shape.earlier_failing_share);
        let slowdown = fault.map_or(1.0, |fault| fault.slowdown);
        // The sum of uniform numbers is close to normal.
        let normal: f64 = (0..12).map(|_| self.rng.f64()).sum::<f64>() - 6.0;
        let latency_us =
            self.shape.latency_us * slowdown * (normal * self.shape.latency_sigma).exp();
        let reply = if self.rng.f64() < failing_share {
            Reply::Failed { status: 500 }
        } else {
            Reply::Success
        };
        (reply, latency_us as u64)
    }

    fn end_requests(&mut self, now_us: u64) {
        while let Some(entry) = self.in_flight.first_entry()
            && entry.key().0 <= now_us
        {
            let (ended_us, _) = *entry.key();
            let request = entry.remove();
            let pool = &mut self.nodes[request.node].pool;
            let (key, route, reply) = (request.key, &request.route, request.reply);
            pool.observe_version(ended_us, request.sent_us, key, route, Some(reply));
            pool.request_finished(ended_us, key, reply, 1.0);
            if reply != Reply::Success {
                if request.to_target {
                    self.end.bad_responses += 1;
                    if self.end.bad_responses == BAD_RESPONSES {
                        self.end.fiftieth_bad_us = Some(ended_us);
                    }
                }
                self.send(now_us, request.node, &[key]);
            }
        }
    }

    /// Reports to the first node that this one reaches, which decides and writes.
    fn report(&mut self, now_us: u64, index: usize) {
        let apart = self.partition_us.contains(&now_us);
        let half = self.nodes.len() / 2;
        let first = if apart && index >= half { half } else { 0 };
        let node = &mut self.nodes[index];
        if let Some(reason) = node.pool.stop_bad_rollout(self.service) {
            self.end
                .reasons
                .push(format!("{index} by itself: {reason}"));
        }
        let Some(rollout) = node.pool.rollout(self.service) else {
            return;
        };
        let elapsed_ms = rollout.elapsed_ms(now_us);
        let report = NodeReport {
            counts: rollout.counts,
            earlier_in_flight: node.pool.earlier_in_flight(self.service),
            node: format!("node-{index}").into(),
            phase: rollout.phase,
            totals: rollout.totals.clone(),
        };
        let known_nodes = self.nodes.len();
        let pool = &mut self.nodes[first].pool;
        pool.advance_rollout(now_us, self.service, "v2", elapsed_ms);
        let Some(elapsed_ms) = pool.rollout(self.service).map(|it| it.elapsed_ms(now_us)) else {
            return;
        };
        let clock = RolloutContext {
            bounds: BOUNDS,
            duration_ms: self.shape.duration_s * 1_000,
            elapsed_ms,
            known_nodes,
            now_us,
        };
        let coordinator = &mut self.nodes[first].coordinator;
        coordinator.report(now_us, report);
        if let Some(decision) = coordinator.decide(clock) {
            let at_s = now_us as f64 / 1e6;
            self.end
                .reasons
                .push(format!("{at_s} {first} {decision:?}"));
        }
        let due = coordinator.due_state(clock);
        let answer = RolloutAnswer {
            elapsed_ms,
            coordinator_share: coordinator.coordinator_share(clock),
            order: coordinator.order(),
        };
        if let Some(state) = due.filter(|_| self.written_us.is_none()) {
            self.written_us = Some(now_us);
            self.end.states.push(state);
        }
        let pool = &mut self.nodes[index].pool;
        pool.apply_rollout_answer(now_us, self.service, "v2", answer);
    }
}

fn is_peak(now_us: u64) -> bool {
    (now_us / PEAK_US) % 2 == 1
}

fn node(shape: TierShape, rng: &mut fastrand::Rng) -> Node {
    let mut pool = Pool::new("north".into(), rng.u64(..));
    pool.set_rollout_bounds(Some(BOUNDS));
    pool.set_nodes(shape.nodes);
    for (number, version) in [(1, "v1"), (2, "v1"), (3, "v2"), (4, "v2")] {
        let mut registration = registration("a", number, "north");
        registration.version = version.into();
        registration.started_unix_ms += u64::from(number);
        pool.register(0, registration);
    }
    Node {
        coordinator: RolloutCoordinator::new("v2".into()),
        learns_us: rng.u64(0..LEARNING_MAX_US) / TICK_US * TICK_US,
        pool,
    }
}

fn rollout(shape: TierShape, state: Option<RolloutState>) -> Rollout {
    Rollout {
        duration_ms: shape.duration_s * 1_000,
        service: "a".into(),
        status: state.map(|state| RolloutStatus {
            state,
            target_version: "v2".into(),
        }),
        target_version: "v2".into(),
    }
}
