//! Guards against the wrong body or connection being closed in favour of others.

use wigeonhall_dispatch::ConnectionState;
use wigeonhall_dispatch::IncompleteBodies;
use wigeonhall_dispatch::connection_limit;
use wigeonhall_dispatch::connection_to_close;

const SECOND_US: u64 = 1_000_000;

#[test]
fn bodies_that_arrive_at_an_ordinary_speed_are_not_closed() {
    let mut bodies = IncompleteBodies::default();
    for started_us in 0..100 {
        bodies.add(started_us * 1_000);
    }
    assert_eq!(bodies.close_slowest(400_000), None);
}

#[test]
fn the_slowest_body_is_closed_first_and_of_equal_ones_the_oldest() {
    let mut bodies = IncompleteBodies::default();
    let fast = bodies.add(0);
    let newer = bodies.add(SECOND_US);
    let older = bodies.add(SECOND_US / 2);
    let slow = bodies.add(0);
    bodies.received(fast, 200_000);
    bodies.received(slow, 100);
    let now_us = 2 * SECOND_US;
    let closed: Vec<_> = (0..5).map(|_| bodies.close_slowest(now_us)).collect();
    let expected = [Some(older), Some(newer), Some(slow), Some(fast), None];
    assert_eq!(closed, expected);
}

/// Guards against a new body that is closed, as it has the index of one that ended.
#[test]
fn a_body_at_the_index_of_a_closed_one_starts_anew() {
    let mut bodies = IncompleteBodies::default();
    let first = bodies.add(0);
    assert_eq!(bodies.close_slowest(SECOND_US), Some(first));
    bodies.remove(first);
    bodies.remove(first);
    let second = bodies.add(SECOND_US);
    let third = bodies.add(SECOND_US);
    assert_ne!(second, third);
    assert_eq!(bodies.close_slowest(SECOND_US + 1), None);
    assert_eq!(bodies.close_slowest(2 * SECOND_US), Some(second));
}

#[test]
fn connections_without_any_request_are_closed_before_others() {
    let idle = |used| ConnectionState::Idle { used };
    let states = [
        (0, ConnectionState::Busy, 0),
        (1, idle(true), 1),
        (2, ConnectionState::Head, 2),
        (3, idle(false), 9),
        (4, idle(false), 8),
        (5, ConnectionState::Closing, 10),
    ];
    let mut open = states.to_vec();
    let mut order = Vec::new();
    while let Some(key) = connection_to_close(open.iter().copied(), 10) {
        order.push(key);
        open.retain(|(other, _, _)| *other != key);
    }
    assert_eq!(order, [5, 4, 3, 2, 1]);
}

/// Callers that connect again at once displaced others whose first request was on its way.
#[test]
fn connections_whose_first_request_may_be_on_its_way_are_closed_last() {
    let idle = |used| ConnectionState::Idle { used };
    let mut open = vec![
        (1, idle(false), 21),
        (2, ConnectionState::Head, 21),
        (3, ConnectionState::Busy, 1),
        (4, ConnectionState::Body, 22),
        (5, ConnectionState::Body, 2),
        (6, idle(false), 3),
        (7, idle(true), 21),
    ];
    let mut order = Vec::new();
    while let Some(key) = connection_to_close(open.iter().copied(), 20) {
        order.push(key);
        open.retain(|(other, _, _)| *other != key);
    }
    assert_eq!(order, [6, 7, 5, 4, 2, 1]);
}

#[test]
fn callers_leave_half_of_the_descriptors() {
    assert_eq!(connection_limit(Some(2_870)), 1_435);
    assert_eq!(connection_limit(None), usize::MAX);
}
