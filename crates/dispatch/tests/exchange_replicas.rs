//! Guards against legs that run at too many replicas, that go nowhere though a replica may
//! answer, or that use up the budget of extra requests.

mod common;

use std::collections::BTreeSet;

use wigeonhall_dispatch::Exchange;
use wigeonhall_dispatch::ExtraAllowance;
use wigeonhall_dispatch::ExtraReason;
use wigeonhall_dispatch::Outcome;
use wigeonhall_dispatch::RegistrationState;
use wigeonhall_dispatch::Reply;
use wigeonhall_dispatch::RouteKind;
use wigeonhall_dispatch::Send;
use wigeonhall_dispatch::ServiceSpec;

use common::DEADLINE_US;
use common::HEDGE_US;
use common::MS;
use common::add;
use common::case::Case;
use common::case::RESET;
use common::case::UNREACHABLE;
use common::case::demand_too_few_shards;
use common::gather;
use common::pool;
use common::registration;

/// Sends of one leg on a node that other nodes' answers made `slow` look slow to; each send
/// is followed by a hedge where one is allowed.
fn relayed(slow: &[usize], max_runs: u32, fallback: usize) -> Vec<usize> {
    let mut pool = pool();
    let keys: Vec<_> = (0..5).map(|number| add(&mut pool, "a", number)).collect();
    for index in slow {
        for _ in 0..8 {
            pool.started(0, keys[*index]);
            pool.finished(0, keys[*index], Reply::Success, 8.0);
        }
    }
    let route = common::route(
        &mut pool,
        common::route_spec(RouteKind::Idempotent, gather(&["a"], 1.0)),
    );
    let exchange = Exchange::for_legs(route, &[0], max_runs, DEADLINE_US, DEADLINE_US, HEDGE_US);
    let mut exchange = exchange.with_fallbacks(&[Some(keys[fallback])]);
    let mut sends = Vec::new();
    exchange.start(&mut pool, 0, &mut sends);
    exchange.timer(&mut pool, HEDGE_US, &mut sends);
    exchange.timer(&mut pool, 3 * HEDGE_US, &mut sends);
    let index = |send: &Send| keys.iter().position(|key| *key == send.replica);
    sends.iter().filter_map(index).collect()
}

/// A leg that went from one node to another ran at three replicas where two may run it:
/// the first node passed over the replicas that the second one chose from.
#[test]
fn a_leg_that_changes_nodes_runs_at_no_more_replicas_than_allowed() {
    for max_runs in 1..=4 {
        for fallback in 0..5 {
            for slow in [vec![], vec![fallback], vec![0, 1, 2], vec![1, 2, 3, 4]] {
                let first = relayed(&slow, max_runs, fallback);
                let second = relayed(&[], 1, fallback);
                assert_eq!(second, [fallback]);
                let all: BTreeSet<usize> = first.iter().chain(&second).copied().collect();
                assert!(all.len() <= max_runs as usize, "{first:?} then {second:?}");
                assert!(!first.is_empty());
            }
        }
    }
}

/// The node that was asked knows the replicas better than the node that asks.
#[test]
fn a_fallback_that_is_known_to_be_slow_is_left_for_the_hedge() {
    for _ in 0..20 {
        let used = relayed(&[2], 2, 2);
        assert_ne!(used[0], 2);
        assert_eq!(used[1..], [2]);
    }
}

#[test]
fn a_leg_whose_fallback_is_gone_still_gets_a_part() {
    let mut pool = pool();
    let keys: Vec<_> = (0..3).map(|number| add(&mut pool, "a", number)).collect();
    pool.unregister("a-1", 0);
    let route = common::route(
        &mut pool,
        common::route_spec(RouteKind::Idempotent, gather(&["a"], 1.0)),
    );
    let exchange = Exchange::for_legs(route, &[0], 2, DEADLINE_US, DEADLINE_US, HEDGE_US);
    let mut exchange = exchange.with_fallbacks(&[Some(keys[1])]);
    let mut sends = Vec::new();
    exchange.start(&mut pool, 0, &mut sends);
    exchange.timer(&mut pool, HEDGE_US, &mut sends);
    assert_eq!(sends.len(), 1);
    assert_ne!(sends[0].replica, keys[1]);
}

/// A gather over four shards; both replicas of the last one were unreachable a moment ago.
fn with_suspended_shard(min_fraction: f64) -> Case {
    let mut case = Case::gather(&["a", "b", "c", "d"], min_fraction);
    for id in ["d-30", "d-31"] {
        let key = case.pool.key_of(id).unwrap();
        case.pool.started(0, key);
        case.pool.finished(0, key, UNREACHABLE, 1.0);
    }
    case
}

fn reply_to_all_but_the_last(case: &mut Case, at_us: u64) -> Option<Outcome> {
    let outcomes = (0..3).map(|leg| case.reply(at_us, leg, Reply::Success));
    outcomes.last().unwrap()
}

/// Two of 20 shards had no part for seconds after a short crash, though their replicas were
/// back: both were suspended, and nobody tried them.
#[test]
fn a_shard_whose_replicas_are_all_suspended_is_tried() {
    let mut case = with_suspended_shard(0.75);
    assert_eq!(case.start(), None);
    assert_eq!(case.out.len(), 4);
    assert_eq!(reply_to_all_but_the_last(&mut case, MS), None);
    let outcome = case.reply(2 * MS, 3, Reply::Success);
    assert_eq!(outcome, Some(Outcome::Gather { missing: 0 }));
}

/// A replica that is dark must not hold back the answer.
#[test]
fn a_suspended_replica_is_waited_for_no_longer_than_until_a_hedge() {
    let mut case = with_suspended_shard(0.75);
    case.start();
    assert_eq!(reply_to_all_but_the_last(&mut case, MS), None);
    assert_eq!(case.exchange.next_timer_us(MS), HEDGE_US);
    let outcome = case.timer(HEDGE_US);
    assert_eq!(outcome, Some(Outcome::Gather { missing: 1 }));
}

/// One request at a time tries a suspended replica; the next one goes without it.
#[test]
fn a_suspended_replica_is_tried_by_one_request_at_a_time() {
    let mut case = with_suspended_shard(0.75);
    case.start();
    let service = case.exchange.service(3);
    let other = case.pool.last_resort(0, service).unwrap();
    assert_ne!(other, case.out[3].replica);
    case.pool.started(0, other);
    assert_eq!(case.pool.last_resort(0, service), None);
}

/// What is not likely to be answered is refused at once, and nothing is sent.
#[test]
fn a_gather_that_needs_a_suspended_replica_is_refused() {
    let mut case = with_suspended_shard(1.0);
    let outcome = case.start();
    demand_too_few_shards(&case, outcome);
}

/// While answers were lost, hedges used up the budget, and legs whose answer was lost for
/// certain were not sent again.
#[test]
fn a_hedge_leaves_credit_for_a_retry() {
    let mut case = Case::gather(&["a", "b"], 0.5);
    let service = case.exchange.service(1);
    while case.pool.take_extra(0, service, ExtraReason::Hedge) {}
    case.start();
    case.timer(HEDGE_US);
    assert_eq!(case.out.iter().filter(|send| send.leg == 1).count(), 1);
    case.reply(HEDGE_US, 1, RESET);
    assert_eq!(case.out.iter().filter(|send| send.leg == 1).count(), 1);
    assert!(!case.pool.take_extra(0, service, ExtraReason::Retry));
}

/// The operators' share of extra requests is used, and kept.
#[test]
fn extra_requests_follow_the_share_that_operators_allow() {
    const REQUESTS: u32 = 1_000;
    for share in [0.1, 0.2, 0.5] {
        let mut pool = pool();
        pool.set_extra_allowance(ExtraAllowance {
            share,
            ..ExtraAllowance::default()
        });
        add(&mut pool, "a", 1);
        let service = pool.service_key(&"a".into());
        let mut extra = 0;
        for _ in 0..REQUESTS {
            pool.earn(service);
            extra += u32::from(pool.take_extra(0, service, ExtraReason::Retry));
        }
        let used = f64::from(extra) / f64::from(REQUESTS);
        assert!((share * 0.6..=share).contains(&used), "{used} of {share}");
    }
}

/// A suspended replica may also be cold, leave, or be out; none of that is set aside for a
/// last resort.
#[test]
fn a_last_resort_spares_replicas_that_are_cold_leave_or_are_out() {
    let mut pool = pool();
    pool.apply_service_spec(&ServiceSpec {
        cold_rate_per_s: 1.0,
        max_connections: 50,
        name: "a".into(),
    });
    let mut cold = registration("a", 1, "north");
    cold.cold_for_ms = 60_000;
    let mut draining = registration("a", 2, "north");
    let out = registration("a", 3, "south");
    let keys = [&cold, &draining, &out].map(|it| pool.register(0, it.clone()).unwrap());
    let service = pool.service_key(&"a".into());
    for key in keys {
        pool.started(0, key);
        pool.finished(0, key, UNREACHABLE, 1.0);
    }
    draining.state = RegistrationState::Draining;
    draining.sequence += 1;
    assert_eq!(pool.register(0, draining), None);
    pool.set_evacuated_data_centres(["south".into()].into());
    assert_eq!(pool.last_resort(MS, service), None);
    pool.set_evacuated_data_centres(BTreeSet::new());
    assert_eq!(pool.last_resort(MS, service), Some(keys[2]));
}
