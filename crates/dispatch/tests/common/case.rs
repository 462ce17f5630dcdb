//! An exchange, the state of one caller's request, with helpers to drive it.

use wigeonhall_dispatch::Exchange;
use wigeonhall_dispatch::NotRunCause;
use wigeonhall_dispatch::Outcome;
use wigeonhall_dispatch::Pool;
use wigeonhall_dispatch::RefuseReason;
use wigeonhall_dispatch::Reply;
use wigeonhall_dispatch::RouteKind;
use wigeonhall_dispatch::SubRequest;
use wigeonhall_dispatch::UnknownCause;

use super::add;
use super::exchange;
use super::gather;
use super::pool;
use super::service;

pub const BUSY: Reply = Reply::NotRun(NotRunCause::Busy);
pub const UNREACHABLE: Reply = Reply::NotRun(NotRunCause::Unreachable);
pub const RESET: Reply = Reply::Unknown(UnknownCause::Reset);

/// An exchange with its pool and the sub-requests in flight.
pub struct Case {
    pub exchange: Exchange,
    pub in_flight: Vec<SubRequest>,
    pub pool: Pool,
}

impl Case {
    pub fn single(kind: RouteKind, replicas: u16) -> Self {
        let mut pool = pool();
        for number in 1..=replicas {
            add(&mut pool, "a", number);
        }
        let exchange = exchange(&mut pool, kind, service("a"));
        Self {
            exchange,
            in_flight: Vec::new(),
            pool,
        }
    }

    /// Creates a gather over the services `shards` with two replicas each.
    pub fn gather(shards: &[&str], min_fraction: f64) -> Self {
        let mut pool = pool();
        for (index, shard) in shards.iter().enumerate() {
            add(&mut pool, shard, 10 * index as u16);
            add(&mut pool, shard, 10 * index as u16 + 1);
        }
        let exchange = exchange(
            &mut pool,
            RouteKind::Idempotent,
            gather(shards, min_fraction),
        );
        Self {
            exchange,
            in_flight: Vec::new(),
            pool,
        }
    }

    pub fn start(&mut self) -> Option<Outcome> {
        self.exchange.start(&mut self.pool, 0, &mut self.in_flight)
    }

    pub fn timer(&mut self, now_us: u64) -> Option<Outcome> {
        self.exchange
            .timer(&mut self.pool, now_us, &mut self.in_flight)
    }

    /// Replies to the oldest sub-request in flight of a leg (the request's share for one service),
    /// after the mean latency of the route (ratio 1.0).
    pub fn reply(&mut self, now_us: u64, leg: usize, reply: Reply) -> Option<Outcome> {
        let index = self
            .in_flight
            .iter()
            .position(|sub_request| sub_request.leg == leg)
            .unwrap();
        let sub_request = self.in_flight.remove(index);
        self.pool
            .request_finished(now_us, sub_request.replica, reply, 1.0);
        self.exchange.reply(
            &mut self.pool,
            now_us,
            sub_request,
            reply,
            &mut self.in_flight,
        )
    }
}

/// Asserts that a request was refused for too few shards before anything was sent.
pub fn assert_too_few_shards(case: &Case, outcome: Option<Outcome>) {
    let refused = matches!(
        outcome,
        Some(Outcome::Refuse {
            reason: RefuseReason::TooFewShards,
            ..
        })
    );
    assert!(refused, "{outcome:?}");
    assert!(case.in_flight.is_empty());
}
