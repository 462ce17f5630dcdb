//! Guards against callers that return to a service while it still has no room: their second refusal
//! is their last one.

mod common;

use wigeonhall_dispatch::Arrival;
use wigeonhall_dispatch::Exchange;
use wigeonhall_dispatch::Outcome;
use wigeonhall_dispatch::Policy;
use wigeonhall_dispatch::Pool;
use wigeonhall_dispatch::RouteKind;

use common::MS;
use common::S;
use common::pool;
use common::route;
use common::route_spec;
use common::service;

/// Sends a request to a service without replicas; returns the time to wait that its caller is told.
fn refused_ms(pool: &mut Pool, now_us: u64, left_us: u64) -> u64 {
    let route = route(pool, route_spec(RouteKind::AtMostOnce, service("a")));
    let arrival = Arrival {
        arrived_us: now_us,
        ..Arrival::default()
    };
    let mut exchange = Exchange::new(arrival, now_us + left_us, 30 * MS, route);
    match exchange.start(pool, now_us, &mut Vec::new()) {
        Some(Outcome::Refuse { retry_after_ms, .. }) => retry_after_ms,
        outcome => panic!("{outcome:?}"),
    }
}

#[test]
fn callers_wait_as_long_as_the_service_has_refused_requests() {
    let mut pool = pool();
    let first_ms = refused_ms(&mut pool, 10 * S, 60 * S);
    for since_ms in [1_500, 3_000, 4_500] {
        let waits_ms = refused_ms(&mut pool, 10 * S + since_ms * MS, 60 * S);
        assert_eq!(waits_ms, since_ms.max(first_ms));
    }
    // A new period begins after two seconds without a refusal.
    assert_eq!(refused_ms(&mut pool, 20 * S, 60 * S), first_ms);
}

/// A caller that waits longer has too little time left for its next try.
#[test]
fn callers_wait_for_a_third_of_the_time_they_have_left_at_most() {
    let mut pool = pool();
    refused_ms(&mut pool, 10 * S, 8 * S);
    refused_ms(&mut pool, 12 * S, 8 * S);
    refused_ms(&mut pool, 14 * S, 8 * S);
    assert_eq!(refused_ms(&mut pool, 15 * S, 8 * S), 8_000 / 3);
}

#[test]
fn callers_wait_no_longer_if_the_policy_says_so() {
    let mut pool = pool();
    pool.set_policy(Policy {
        prolonged_retries: false,
        ..Policy::default()
    });
    let first_ms = refused_ms(&mut pool, 10 * S, 60 * S);
    assert_eq!(refused_ms(&mut pool, 12 * S, 60 * S), first_ms);
}
