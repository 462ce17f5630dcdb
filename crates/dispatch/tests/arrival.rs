//! Guards against gathers that are answered too late to reach their caller in time, or earlier than
//! the way to their caller needs.

mod common;

use wigeonhall_dispatch::Arrival;
use wigeonhall_dispatch::Exchange;
use wigeonhall_dispatch::Pool;
use wigeonhall_dispatch::RoundTrip;
use wigeonhall_dispatch::RouteKind;

use common::MS;
use common::route;
use common::route_spec;
use common::service;

/// Target latency of the route.
const TARGET_US: u64 = 120 * MS;

fn due_us(arrival: Arrival) -> u64 {
    let mut pool = Pool::new("north".into(), 7);
    let route = route(&mut pool, route_spec(RouteKind::Idempotent, service("a")));
    Exchange::new(arrival, 1_000 * MS, 30 * MS, route).soft_deadline_us()
}

fn callers_at(mean_us: u64) -> Arrival {
    Arrival {
        round_trip: RoundTrip {
            deviation_us: mean_us / 4,
            mean_us,
        },
        ..Arrival::default()
    }
}

/// A fixed reserve makes every gather late that waits for its last parts, if its caller is far away.
#[test]
fn answers_to_far_callers_are_due_earlier() {
    for round_trip_us in [MS, 6 * MS, 16 * MS, 30 * MS] {
        let arrival = callers_at(round_trip_us);
        // Three ways between caller and node come before the arrival, and one after the answer.
        let reaches_us = due_us(arrival) + 2 * round_trip_us;
        assert!(reaches_us <= TARGET_US, "{round_trip_us}: {reaches_us}");
    }
}

#[test]
fn an_answer_on_a_reused_connection_is_due_one_round_trip_later() {
    let new = callers_at(16 * MS);
    let reused = Arrival {
        connection_reused: true,
        ..new
    };
    assert_eq!(due_us(reused) - due_us(new), 16 * MS);
}

/// An answer that is due at the mean of its way to the caller is late half of the time.
#[test]
fn answers_are_due_before_the_mean_of_their_way() {
    let reused = Arrival {
        connection_reused: true,
        ..callers_at(6 * MS)
    };
    assert!(due_us(reused) + 6 * MS + 2 * MS < TARGET_US);
}

/// A node with little of a core is often at work on another request when an answer is due.
#[test]
fn a_node_with_little_processor_time_answers_earlier() {
    let small = Arrival {
        processor_share: 0.1,
        ..callers_at(MS)
    };
    assert_eq!(due_us(callers_at(MS)) - due_us(small), 3 * MS);
}

#[test]
fn a_slow_node_answers_earlier() {
    let slow = Arrival {
        answer_lag_us: 7 * MS,
        ..callers_at(MS)
    };
    assert_eq!(due_us(callers_at(MS)) - due_us(slow), 7 * MS);
}

/// A caller so far away that no answer is in time still gets more than the first part.
#[test]
fn a_gather_waits_for_a_third_of_the_target_latency_at_least() {
    assert_eq!(due_us(callers_at(100 * MS)), TARGET_US / 3);
}
