//! Guards against nodes that fall behind the store, and against bursts of calls.

use wigeonhall_dispatch::call_timeout_ms;
use wigeonhall_dispatch::silence_limit_ms;
use wigeonhall_dispatch::watch_pause_ms;
use wigeonhall_dispatch::watch_timeout_ms;
use wigeonhall_dispatch::watch_wait_ms;

/// After an outage the store returns its history in responses of maximum length. Pauses between
/// them keep a node five seconds behind, so that a draining replica still gets requests.
#[test]
fn node_that_is_behind_does_not_pause() {
    assert_eq!(watch_pause_ms(500, 3_000), 0);
    assert_eq!(watch_pause_ms(0, 3_000), 0);
    assert!(watch_pause_ms(1, 3_000) > 0);
}

/// Two pauses and a repeated call must fit into the time within which a change must be in
/// force.
#[test]
fn pause_takes_less_than_a_third_of_the_time_for_a_change() {
    for bound_ms in [1_000, 3_000, 5_000, 60_000] {
        assert!(watch_pause_ms(1, bound_ms) * 3 < bound_ms);
    }
}

/// A reader may pause and then stop responding; the follower still needs time for a call of
/// its own.
#[test]
fn pause_and_silence_limit_leave_time_for_a_call() {
    for bound_ms in [1_000, 3_000, 5_000, 60_000] {
        let worst_ms = watch_pause_ms(1, bound_ms) + silence_limit_ms(bound_ms);
        assert!(worst_ms * 5 < bound_ms * 3);
    }
    // A bound of 0 must not give a timer without a period, which would end the process.
    assert!(silence_limit_ms(0) > 0);
}

/// A lost answer to a watch was noticed after 18 s; changes made after the disturbance that lost it
/// came into force seconds after their bound.
#[test]
fn lost_watch_is_replaced_before_a_change_after_the_disturbance_is_due() {
    for (bound_ms, stabilization_ms) in [(1_000, 2_000), (3_000, 4_000), (5_000, 4_000)] {
        let lost_ms = watch_timeout_ms(watch_wait_ms(bound_ms, stabilization_ms));
        let due_ms = stabilization_ms + bound_ms;
        assert!(lost_ms + watch_pause_ms(1, bound_ms) < due_ms);
    }
    // A long bound must not let a watch outlast the store's history, nor a short one poll the store.
    assert_eq!(watch_wait_ms(60_000, 60_000), 15_000);
    assert_eq!(watch_wait_ms(0, 0), 1_000);
}

/// A call that returns at once had the timeout of one that waits.
#[test]
fn call_that_does_not_wait_leaves_time_for_another_one() {
    for bound_ms in [3_000, 5_000, 60_000] {
        assert!(call_timeout_ms(bound_ms) < bound_ms);
    }
    assert_eq!(call_timeout_ms(0), 1_000);
}
