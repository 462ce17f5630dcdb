//! Guards against nodes that fall behind the store, and against calls in a burst.

use wigeonhall_dispatch::watch_pause_ms;

/// After an outage the store hands out its history in full answers; pauses between them
/// kept a node five seconds behind, so that a draining replica still got work.
#[test]
fn a_node_that_is_behind_does_not_pause() {
    assert_eq!(watch_pause_ms(500), 0);
    assert_eq!(watch_pause_ms(0), 0);
    assert!(watch_pause_ms(1) > 0);
}
