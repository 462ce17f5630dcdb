//! Guards against gathers that are all late because more arrive than the replicas can answer, and
//! against refusals of gathers for the sake of a few slow replicas.

mod common;

use std::rc::Rc;

use wigeonhall_dispatch::Arrival;
use wigeonhall_dispatch::Exchange;
use wigeonhall_dispatch::NotRunCause;
use wigeonhall_dispatch::Outcome;
use wigeonhall_dispatch::Pool;
use wigeonhall_dispatch::RefuseReason;
use wigeonhall_dispatch::Reply;
use wigeonhall_dispatch::Route;
use wigeonhall_dispatch::RouteKind;
use wigeonhall_dispatch::ShardLoad;

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
    let arrival = Arrival {
        arrived_us: now_us,
        ..Arrival::default()
    };
    Exchange::new(arrival, now_us + S, hedge_us, route.clone())
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

/// A peer that collects legs for another node sees the queues of their replicas as well; otherwise
/// its hedges would fill them further.
#[test]
fn legs_of_another_node_are_not_hedged_while_replicas_queue_requests() {
    let (mut pool, route) = overloaded_pool();
    for (index, shard) in SHARDS.iter().enumerate() {
        add(&mut pool, shard, 100 + index as u16);
    }
    let legs = [0, 1, 2, 3];
    let soft_us = 108 * MS;
    let mut hedges = Vec::new();
    for number in 0..20 {
        let now_us = number * S;
        let exchange =
            Exchange::for_legs(route.clone(), &legs, 2, now_us + soft_us, now_us + S, MS);
        let mut exchange = exchange.with_queueing_latency(Some(QUEUEING_US));
        let mut sends = Vec::new();
        exchange.start(&mut pool, now_us, &mut sends);
        let first_sends = sends.len();
        // The first timer may postpone the hedges, as all legs are late at once.
        exchange.timer(&mut pool, now_us + 2 * MS, &mut sends);
        exchange.timer(&mut pool, now_us + 4 * MS, &mut sends);
        hedges.push(sends.len() - first_sends);
        exchange.timer(&mut pool, now_us + soft_us, &mut sends);
        for sub_request in sends {
            pool.request_dropped(sub_request.replica);
        }
    }
    assert!(hedges[0] > 0, "{hedges:?}");
    assert_eq!(hedges[10..].iter().sum::<usize>(), 0, "{hedges:?}");
}

/// Gathers that fail at once because replicas have no room are the clearest sign of an overload,
/// once the other gathers show that most replicas queue requests.
#[test]
fn gathers_that_fail_for_want_of_room_count_as_late() {
    let (mut pool, route) = overloaded_pool();
    play(&mut pool, &route, 0, LATE_GATHERS, 0);
    let mut refused = 0;
    for number in 0..40 {
        let now_us = 100 * S + number * S;
        let mut exchange = new_exchange(now_us, &route);
        let mut sends = Vec::new();
        if exchange.start(&mut pool, now_us, &mut sends).is_some() {
            refused += 1;
            continue;
        }
        for sub_request in sends.clone() {
            let busy = Reply::NotRun(NotRunCause::Busy);
            pool.request_finished(now_us + MS, sub_request.replica, busy, 1.0);
            exchange.reply(&mut pool, now_us + MS, sub_request, busy, &mut sends);
        }
    }
    assert!(refused >= 20, "{refused}");
}

/// The log must say when an overload begins and ends, and on what numbers that was decided.
#[test]
fn changes_of_the_load_are_reported_once() {
    let (mut pool, route) = overloaded_pool();
    assert_eq!(pool.load_changes(|_| true), Vec::new());
    play(&mut pool, &route, 0, 3, 0);
    play(&mut pool, &route, 10 * S, 4 * LATE_GATHERS, 0);
    let changes = pool.load_changes(|_| true);
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].load, ShardLoad::Refusing);
    assert_eq!(changes[0].legs_key, route.legs_key);
    assert!(changes[0].queued_percent > 50, "{changes:?}");
    assert!(changes[0].admitted_percent < 100, "{changes:?}");
    assert_eq!(pool.load_changes(|_| true), Vec::new());
    play(&mut pool, &route, 100 * S, 400, SHARDS.len());
    let changes = pool.load_changes(|_| true);
    assert_eq!(changes[0].load, ShardLoad::Normal);
    assert_eq!(changes[0].admitted_percent, 100);
}

/// Sets of shards that no route names any more are forgotten, so that their number is bounded.
#[test]
fn the_load_of_shards_without_a_route_is_forgotten() {
    let (mut pool, route) = overloaded_pool();
    play(&mut pool, &route, 0, 4 * LATE_GATHERS, 0);
    assert_eq!(pool.load_changes(|_| false), Vec::new());
    assert_eq!(play(&mut pool, &route, 100 * S, 3, SHARDS.len()), 0);
    assert_eq!(pool.load_changes(|_| true), Vec::new());
}

/// Without tenants, each gather must be admitted or refused by the same draw as before tenants were
/// divided; the digits were recorded before that.
#[test]
fn admission_without_tenants_is_unchanged() {
    let (mut pool, route) = overloaded_pool();
    let mut refusals = String::new();
    for round in 0..60 {
        let prompt = if round % 3 == 0 { SHARDS.len() } else { 0 };
        let refused = play(&mut pool, &route, round * 100 * S, 8, prompt);
        refusals += &refused.to_string();
    }
    insta::assert_snapshot!(refusals, @"003555474666676664247776666865654756877667844566445867464755");
}
