//! Guards against replicas that are dropped because their entries lapsed in an outage of
//! the store, and against calls in vain while it is away.

use wigeonhall_dispatch::StoreHealth;

const SECOND_US: u64 = 1_000_000;

/// Entries are back about two seconds after the end of an outage.
const BACK_US: u64 = 2 * SECOND_US;

#[test]
fn calls_wait_until_a_look_that_was_sent_later_is_answered() {
    let mut health = StoreHealth::default();
    assert!(!health.in_doubt());
    health.answered(SECOND_US);
    assert!(!health.in_doubt());
    health.doubt(2 * SECOND_US);
    assert!(health.in_doubt());
    // An answer to a look from before the doubt proves nothing.
    health.answered(SECOND_US + 1);
    assert!(health.in_doubt());
    health.answered(2 * SECOND_US);
    assert!(!health.in_doubt());
    assert_eq!(health.answered_us(), Some(2 * SECOND_US));
}

/// The watch of the replicas may have waited through an outage that other calls met; its
/// deletions were then taken for real ones after 1.2 s.
#[test]
fn replicas_are_kept_after_an_outage_that_another_call_met() {
    let mut health = StoreHealth::default();
    let usual_us = health.removal_delay_us(0);
    assert!(usual_us < BACK_US);
    health.doubt(10 * SECOND_US);
    assert!(health.removal_delay_us(11 * SECOND_US) > BACK_US);
    health.answered(20 * SECOND_US);
    assert!(health.outage_ended(20 * SECOND_US, 10 * SECOND_US));
    assert!(health.removal_delay_us(20 * SECOND_US + BACK_US) > BACK_US);
    assert_eq!(health.removal_delay_us(23 * SECOND_US), usual_us);
}

/// Each collection reports the end; watches are sent again once.
#[test]
fn one_outage_ends_once() {
    let mut health = StoreHealth::default();
    assert!(health.outage_ended(20, 10));
    assert!(!health.outage_ended(21, 11));
    assert!(health.outage_ended(40, 30));
}
