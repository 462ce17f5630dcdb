//! The callers of a simulated entry tier: their requests, retries and what they get.

use wigeonhall_dispatch::Exchange;
use wigeonhall_dispatch::Outcome;
use wigeonhall_dispatch::RefuseReason;

use crate::entry::EntryWorld;
use crate::entry::RouteShape;
use crate::entry::entry_job::JobKey;
use crate::entry::entry_world::EntryEvent;

/// Time for which sub-requests go on after their request was answered.
const LEFTOVER_US: u64 = 300_000;

/// Requests before this time teach the nodes the latencies and are not counted.
const WARM_UP_US: u64 = 3_000_000;

/// Load during the warm-up, as a share of the capacity.
const WARM_UP_LOAD: f64 = 0.3;

/// Share of the benefit that a late answer has.
const LATE_BENEFIT: f64 = 0.1;

/// One attempt of a caller.
#[derive(Debug)]
pub(crate) struct Query {
    pub(crate) answered: bool,
    attempt: u32,
    /// Time of the caller's attempt if its first one was refused at once; otherwise of its first
    /// one.
    attempted_us: u64,
    /// Whether the attempt uses the connection of an earlier one.
    pub(crate) connection_reused: bool,
    pub(crate) exchange: Option<Exchange>,
    pub(crate) jobs: Vec<JobKey>,
    pub(crate) node: usize,
    pub(crate) route: usize,
    /// Time of its pending timer; `None` if there is none.
    pub(crate) timer_us: Option<u64>,
    pub(crate) started_us: u64,
}

impl EntryWorld {
    pub(crate) fn arrive(&mut self, now_us: u64) {
        let load = if now_us < WARM_UP_US {
            self.load.load.min(WARM_UP_LOAD)
        } else {
            self.load.load
        };
        let data_centres = self.shape.data_centres as f64;
        let factors = data_centres - 1.0 + self.first_factor(now_us);
        let rate = self.shape.capacity_per_s() * load * factors / data_centres;
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

    /// Returns the load of the first data centre relative to each other one.
    fn first_factor(&self, now_us: u64) -> f64 {
        if now_us < WARM_UP_US {
            1.0
        } else {
            self.load.first_factor
        }
    }

    /// Draws a node; those of the first data centre are as much likelier as its load is larger.
    fn draw_node(&mut self, now_us: u64) -> usize {
        let factor = self.first_factor(now_us);
        loop {
            let node = self.rng.usize(..self.nodes.len());
            let weight = if self.nodes[node].data_centre == 0 {
                factor
            } else {
                1.0
            };
            if weight >= factor || self.rng.f64() * factor < weight {
                return node;
            }
        }
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
        let node = self.draw_node(now_us);
        let connection_reused = !self.rng.bool();
        let ways = if connection_reused { 1 } else { 3 };
        self.queries.push(Query {
            answered: false,
            attempt,
            attempted_us,
            connection_reused,
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

    pub(crate) fn answer(&mut self, now_us: u64, query: usize, outcome: Outcome) {
        let open = &mut self.queries[query];
        open.answered = true;
        self.events
            .push(now_us + LEFTOVER_US, EntryEvent::Drop(query));
        let (route, started_us, attempt) = (open.route, open.started_us, open.attempt);
        let at_us = now_us + self.shape.caller_us;
        let counted = started_us >= WARM_UP_US;
        match outcome {
            Outcome::Forward { .. } => self.count_answer(at_us, query, 0),
            Outcome::Gather { missing } => self.count_answer(at_us, query, missing),
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
            Outcome::GiveUp(_) | Outcome::Refuse { .. } => {
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
