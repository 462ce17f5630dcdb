//! Guards against legs (a request's shares for one service each) that run at too many replicas,
//! that are not sent although a replica may answer, or that exhaust the budget of extra
//! sub-requests.

mod common;

use std::collections::BTreeSet;

use wigeonhall_dispatch::Exchange;
use wigeonhall_dispatch::ExtraAllowance;
use wigeonhall_dispatch::ExtraReason;
use wigeonhall_dispatch::Outcome;
use wigeonhall_dispatch::RegistrationState;
use wigeonhall_dispatch::Reply;
use wigeonhall_dispatch::RouteKind;
use wigeonhall_dispatch::SubRequest;

use common::DEADLINE_US;
use common::HEDGE_US;
use common::MS;
use common::add;
use common::case::Case;
use common::case::RESET;
use common::case::UNREACHABLE;
use common::case::assert_too_few_shards;
use common::gather;
use common::pool;
use common::registration;
use common::spec_with_cold_start;

/// Returns the replicas that a node sends one leg of another node's gather to, in order. The
/// replicas in `slow` have high latencies on this node; a hedge follows each sub-request if one
/// is allowed. `fallback` is the replica that the other node uses if it takes the leg back.
fn relayed_leg_replicas(slow: &[usize], max_runs: u32, fallback: usize) -> Vec<usize> {
    let mut pool = pool();
    let keys: Vec<_> = (0..5).map(|number| add(&mut pool, "a", number)).collect();
    for index in slow {
        for _ in 0..8 {
            pool.request_started(0, keys[*index]);
            pool.request_finished(0, keys[*index], Reply::Success, 8.0);
        }
    }
    let route = common::route(
        &mut pool,
        common::route_spec(RouteKind::Idempotent, gather(&["a"], 1.0)),
    );
    let exchange = Exchange::for_legs(route, &[0], max_runs, DEADLINE_US, DEADLINE_US, HEDGE_US);
    let mut exchange = exchange.with_fallbacks(&[Some(keys[fallback])]);
    let mut sub_requests = Vec::new();
    exchange.start(&mut pool, 0, &mut sub_requests);
    exchange.timer(&mut pool, HEDGE_US, &mut sub_requests);
    exchange.timer(&mut pool, 3 * HEDGE_US, &mut sub_requests);
    let index = |sub_request: &SubRequest| keys.iter().position(|key| *key == sub_request.replica);
    sub_requests.iter().filter_map(index).collect()
}

/// A leg that moves from one node to another runs at three replicas although two may run it, if
/// the first node does not count the replica that the second node will choose.
#[test]
fn leg_that_moves_between_nodes_runs_at_no_more_replicas_than_allowed() {
    for max_runs in 1..=4 {
        for fallback in 0..5 {
            for slow in [vec![], vec![fallback], vec![0, 1, 2], vec![1, 2, 3, 4]] {
                let first = relayed_leg_replicas(&slow, max_runs, fallback);
                let second = relayed_leg_replicas(&[], 1, fallback);
                assert_eq!(second, [fallback]);
                let all: BTreeSet<usize> = first.iter().chain(&second).copied().collect();
                assert!(all.len() <= max_runs as usize, "{first:?} then {second:?}");
                assert!(!first.is_empty());
            }
        }
    }
}

/// The node that sends the leg has newer latencies of the replicas than the node that
/// assigned it and chose the fallback.
#[test]
fn slow_fallback_is_used_only_for_the_hedge() {
    for _ in 0..20 {
        let used = relayed_leg_replicas(&[2], 2, 2);
        assert_ne!(used[0], 2);
        assert_eq!(used[1..], [2]);
    }
}

#[test]
fn leg_whose_fallback_is_unregistered_is_sent_to_another_replica() {
    let mut pool = pool();
    let keys: Vec<_> = (0..3).map(|number| add(&mut pool, "a", number)).collect();
    pool.unregister("a-1", 0);
    let route = common::route(
        &mut pool,
        common::route_spec(RouteKind::Idempotent, gather(&["a"], 1.0)),
    );
    let exchange = Exchange::for_legs(route, &[0], 2, DEADLINE_US, DEADLINE_US, HEDGE_US);
    let mut exchange = exchange.with_fallbacks(&[Some(keys[1])]);
    let mut sub_requests = Vec::new();
    exchange.start(&mut pool, 0, &mut sub_requests);
    exchange.timer(&mut pool, HEDGE_US, &mut sub_requests);
    assert_eq!(sub_requests.len(), 1);
    assert_ne!(sub_requests[0].replica, keys[1]);
}

/// Creates a gather over four shards; both replicas of the last shard were just unreachable
/// and are suspended.
fn with_suspended_shard(min_fraction: f64) -> Case {
    let mut case = Case::gather(&["a", "b", "c", "d"], min_fraction);
    for id in ["d-30", "d-31"] {
        let key = case.pool.key_of(id).unwrap();
        case.pool.request_started(0, key);
        case.pool.request_finished(0, key, UNREACHABLE, 1.0);
    }
    case
}

fn reply_to_all_but_the_last(case: &mut Case, at_us: u64) -> Option<Outcome> {
    let outcomes = (0..3).map(|leg| case.reply(at_us, leg, Reply::Success));
    outcomes.last().unwrap()
}

/// Without probes, two of 20 shards have no part for seconds after a short crash, although their
/// replicas have recovered: both replicas of each are suspended.
#[test]
fn shard_with_only_suspended_replicas_is_probed() {
    let mut case = with_suspended_shard(0.75);
    assert_eq!(case.start(), None);
    assert_eq!(case.in_flight.len(), 4);
    assert_eq!(reply_to_all_but_the_last(&mut case, MS), None);
    let outcome = case.reply(2 * MS, 3, Reply::Success);
    assert_eq!(outcome, Some(Outcome::Gather { missing: 0 }));
}

/// A suspended replica that does not respond must not delay the answer.
#[test]
fn gather_waits_for_a_suspended_replica_no_longer_than_the_hedge_delay() {
    let mut case = with_suspended_shard(0.75);
    case.start();
    assert_eq!(reply_to_all_but_the_last(&mut case, MS), None);
    assert_eq!(case.exchange.next_timer_us(MS), HEDGE_US);
    let outcome = case.timer(HEDGE_US);
    assert_eq!(outcome, Some(Outcome::Gather { missing: 1 }));
}

/// Only one request at a time probes a suspended replica; the next one is sent without it.
#[test]
fn suspended_replica_is_probed_by_one_request_at_a_time() {
    let mut case = with_suspended_shard(0.75);
    case.start();
    let service = case.exchange.service(3);
    let other = case.pool.last_resort(0, service).unwrap();
    assert_ne!(other, case.in_flight[3].replica);
    case.pool.request_started(0, other);
    assert_eq!(case.pool.last_resort(0, service), None);
}

/// A gather whose minimum number of parts depends on a suspended replica is refused at once, and
/// nothing is sent.
#[test]
fn gather_that_needs_a_suspended_replica_is_refused() {
    let mut case = with_suspended_shard(1.0);
    let outcome = case.start();
    assert_too_few_shards(&case, outcome);
}

/// While responses are being lost, hedges must not exhaust the budget, or legs whose connection
/// is reset cannot be retried.
#[test]
fn hedge_leaves_credit_for_a_retry() {
    let mut case = Case::gather(&["a", "b"], 0.5);
    let service = case.exchange.service(1);
    while case.pool.try_charge_extra(0, service, ExtraReason::Hedge) {}
    case.start();
    case.timer(HEDGE_US);
    assert_eq!(
        case.in_flight
            .iter()
            .filter(|sub_request| sub_request.leg == 1)
            .count(),
        1
    );
    case.reply(HEDGE_US, 1, RESET);
    assert_eq!(
        case.in_flight
            .iter()
            .filter(|sub_request| sub_request.leg == 1)
            .count(),
        1
    );
    assert!(!case.pool.try_charge_extra(0, service, ExtraReason::Retry));
}

/// Extra sub-requests use most of the ratio that operators allow, and do not exceed it.
#[test]
fn extra_sub_requests_use_the_ratio_that_operators_allow() {
    const REQUESTS: u32 = 1_000;
    for ratio in [0.1, 0.2, 0.5] {
        let mut pool = pool();
        pool.set_extra_allowance(ExtraAllowance {
            ratio,
            ..ExtraAllowance::default()
        });
        add(&mut pool, "a", 1);
        let service = pool.service_key(&"a".into());
        let mut extra = 0;
        for _ in 0..REQUESTS {
            pool.earn(service);
            extra += u32::from(pool.try_charge_extra(0, service, ExtraReason::Retry));
        }
        let used = f64::from(extra) / f64::from(REQUESTS);
        assert!((ratio * 0.6..=ratio).contains(&used), "{used} of {ratio}");
    }
}

/// A suspended replica may also be cold, draining or evacuated, and then must not be used as
/// a last resort either.
#[test]
fn last_resort_excludes_cold_draining_and_evacuated_replicas() {
    let mut pool = pool();
    pool.apply_service_spec(&spec_with_cold_start(1.0, 0));
    let mut cold = registration("a", 1, "north");
    cold.cold_for_ms = 60_000;
    let mut draining = registration("a", 2, "north");
    let evacuated = registration("a", 3, "south");
    let keys = [&cold, &draining, &evacuated].map(|it| pool.register(0, it.clone()).unwrap());
    let service = pool.service_key(&"a".into());
    for key in keys {
        pool.request_started(0, key);
        pool.request_finished(0, key, UNREACHABLE, 1.0);
    }
    draining.state = RegistrationState::Draining;
    draining.sequence += 1;
    assert_eq!(pool.register(0, draining), None);
    pool.set_evacuated_data_centres(["south".into()].into());
    assert_eq!(pool.last_resort(MS, service), None);
    pool.set_evacuated_data_centres(BTreeSet::new());
    assert_eq!(pool.last_resort(MS, service), Some(keys[2]));
}
