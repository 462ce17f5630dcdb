//! Guards against gathers that are all late because more arrive than the replicas can answer, and
//! against refusals of gathers for the sake of a few slow replicas.

mod common;

use std::rc::Rc;

use wigeonhall_dispatch::Exchange;
use wigeonhall_dispatch::Outcome;
use wigeonhall_dispatch::Pool;
use wigeonhall_dispatch::RefuseReason;
use wigeonhall_dispatch::Reply;
use wigeonhall_dispatch::Route;
use wigeonhall_dispatch::RouteKind;

use common::MS;
use common::S;
use common::add;
use common::gather;
use common::pool;

const SHARDS: [&str; 4] = ["a", "b", "c", "d"];

/// Latency above which the replicas here count as queueing requests.
const QUEUEING_US: u64 = 30 * MS;

/// Number of gathers after which the refusals of an overload have begun.
const LATE_GATHERS: u64 = 8;

fn overloaded_pool() -> (Pool, Rc<Route>) {
    let mut pool = pool();
    for (index, shard) in SHARDS.iter().enumerate() {
        add(&mut pool, shard, index as u16);
    }
    let exchange = common::exchange(&mut pool, RouteKind::Idempotent, gather(&SHARDS, 0.75));
    let route = exchange.route().clone();
    (pool, route)
}

fn new_exchange(now_us: u64, route: &Rc<Route>) -> Exchange {
    let hedge_us = S;
    Exchange::new(now_us, now_us + S, hedge_us, 0, route.clone())
        .with_queueing_latency(Some(QUEUEING_US))
}

/// Plays gathers of which `prompt` legs are answered before the soft deadline; returns the number
/// of refusals for overload.
fn play(pool: &mut Pool, route: &Rc<Route>, from_us: u64, gathers: u64, prompt: usize) -> usize {
    let mut refused = 0;
    for number in 0..gathers {
        let now_us = from_us + number * S;
        let mut exchange = new_exchange(now_us, route);
        let mut sends = Vec::new();
        let started = exchange.start(pool, now_us, &mut sends);
        if let Some(Outcome::Refuse { reason, .. }) = started {
            assert!(matches!(reason, RefuseReason::Overloaded { .. }));
            assert!(sends.is_empty(), "a refusal says that nothing ran");
            refused += 1;
            continue;
        }
        for (index, sub_request) in sends.clone().into_iter().enumerate() {
            let at_us = now_us + if index < prompt { 10 * MS } else { 200 * MS };
            exchange.timer(pool, at_us, &mut sends);
            pool.request_finished(at_us, sub_request.replica, Reply::Success, 1.0);
            exchange.reply(pool, at_us, sub_request, Reply::Success, &mut sends);
        }
    }
    refused
}

#[test]
fn gathers_are_refused_while_most_replicas_queue_requests() {
    let (mut pool, route) = overloaded_pool();
    play(&mut pool, &route, 0, LATE_GATHERS, 0);
    let refused = play(&mut pool, &route, 100 * S, 40, 0);
    assert!(refused >= 20, "{refused}");
}

#[test]
fn gathers_are_admitted_again_after_an_overload() {
    let (mut pool, route) = overloaded_pool();
    play(&mut pool, &route, 0, 4 * LATE_GATHERS, 0);
    play(&mut pool, &route, 100 * S, 400, SHARDS.len());
    assert_eq!(play(&mut pool, &route, 600 * S, 40, SHARDS.len()), 0);
}

#[test]
fn a_few_slow_replicas_are_no_overload() {
    let (mut pool, route) = overloaded_pool();
    assert_eq!(play(&mut pool, &route, 0, 100, 2), 0);
}
