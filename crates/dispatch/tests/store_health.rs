//! Guards against replicas that are dropped because their entries lapsed in an outage of the
//! store, and against calls to the store while it is unavailable.

use wigeonhall_dispatch::StoreHealth;

const SECOND_US: u64 = 1_000_000;

/// Time after the end of an outage by which entries are restored.
const ENTRIES_RESTORED_US: u64 = 2 * SECOND_US;

#[test]
fn store_is_in_doubt_until_a_later_call_is_answered() {
    let mut health = StoreHealth::default();
    assert!(!health.in_doubt());
    health.answered(SECOND_US);
    assert!(!health.in_doubt());
    health.doubt(2 * SECOND_US);
    assert!(health.in_doubt());
    // An answer to a call sent before the suspected outage does not show that the store is
    // available.
    health.answered(SECOND_US + 1);
    assert!(health.in_doubt());
    health.answered(2 * SECOND_US);
    assert!(!health.in_doubt());
    assert_eq!(health.answered_us(), Some(2 * SECOND_US));
}

/// The watch of the replicas may have been pending throughout an outage in which other calls
/// failed; deletions in its answer were then taken for real ones after 1.2 s.
#[test]
fn replicas_are_kept_after_an_outage_that_another_call_detected() {
    let mut health = StoreHealth::default();
    let normal_us = health.removal_delay_us(0);
    assert!(normal_us < ENTRIES_RESTORED_US);
    health.doubt(10 * SECOND_US);
    assert!(health.removal_delay_us(11 * SECOND_US) > ENTRIES_RESTORED_US);
    health.answered(20 * SECOND_US);
    assert!(health.outage_ended(20 * SECOND_US, 10 * SECOND_US));
    assert!(health.removal_delay_us(20 * SECOND_US + ENTRIES_RESTORED_US) > ENTRIES_RESTORED_US);
    assert_eq!(health.removal_delay_us(23 * SECOND_US), normal_us);
}

/// Each collection reports the end of an outage; watches are sent again only once.
#[test]
fn end_of_an_outage_is_recorded_once() {
    let mut health = StoreHealth::default();
    assert!(health.outage_ended(20, 10));
    assert!(!health.outage_ended(21, 11));
    assert!(health.outage_ended(40, 30));
}
