//! Guards against nodes that fall behind the store, and against calls in a burst.

use wigeonhall_dispatch::silence_limit_ms;
use wigeonhall_dispatch::watch_pause_ms;

/// After an outage the store hands out its history in full answers; pauses between them
/// kept a node five seconds behind, so that a draining replica still got work.
#[test]
fn a_node_that_is_behind_does_not_pause() {
    assert_eq!(watch_pause_ms(500, 3_000), 0);
    assert_eq!(watch_pause_ms(0, 3_000), 0);
    assert!(watch_pause_ms(1, 3_000) > 0);
}

/// Two pauses and a call that is repeated must fit into the time that operators allow.
#[test]
fn a_pause_leaves_most_of_the_time_that_a_change_has() {
    for bound_ms in [1_000, 3_000, 5_000, 60_000] {
        assert!(watch_pause_ms(1, bound_ms) * 3 < bound_ms);
    }
}

/// A reader may pause, and then fall silent; the follower still needs time for a call.
#[test]
fn a_pause_and_a_silence_leave_time_for_a_call() {
    for bound_ms in [1_000, 3_000, 5_000, 60_000] {
        let worst_ms = watch_pause_ms(1, bound_ms) + silence_limit_ms(bound_ms);
        assert!(worst_ms * 5 < bound_ms * 3);
    }
    // Settings without a bound ended the process: a timer needs a period.
    assert!(silence_limit_ms(0) > 0);
}
