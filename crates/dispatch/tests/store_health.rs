//! Guards against replicas that are dropped because their registrations lapsed in an outage of
//! the store, and against calls to the store while it is unavailable.

use wigeonhall_dispatch::StoreHealth;

const SECOND_US: u64 = 1_000_000;

/// Time after the end of an outage by which registrations are restored.
const REGISTRATIONS_RESTORED_US: u64 = 2 * SECOND_US;

#[test]
fn outage_is_suspected_until_a_later_call_gets_a_response() {
    let mut health = StoreHealth::default();
    assert!(!health.outage_suspected());
    health.record_response(SECOND_US);
    assert!(!health.outage_suspected());
    health.suspect_outage(2 * SECOND_US);
    assert!(health.outage_suspected());
    // A response to a call sent before the outage was suspected does not show that the store is
    // available.
    health.record_response(SECOND_US + 1);
    assert!(health.outage_suspected());
    health.record_response(2 * SECOND_US);
    assert!(!health.outage_suspected());
    assert_eq!(health.answered_call_sent_us(), Some(2 * SECOND_US));
}

/// Guards against replicas that are dropped after 1.2 s because the watch of the replicas was
/// pending throughout an outage in which other calls failed, and then reported deletions.
#[test]
fn replicas_are_kept_after_an_outage_that_another_call_detected() {
    let mut health = StoreHealth::default();
    let normal_us = health.removal_delay_us(0);
    assert!(normal_us < REGISTRATIONS_RESTORED_US);
    health.suspect_outage(10 * SECOND_US);
    assert!(health.removal_delay_us(11 * SECOND_US) > REGISTRATIONS_RESTORED_US);
    health.record_response(20 * SECOND_US);
    assert!(health.record_outage_end(20 * SECOND_US, 10 * SECOND_US));
    assert!(
        health.removal_delay_us(20 * SECOND_US + REGISTRATIONS_RESTORED_US)
            > REGISTRATIONS_RESTORED_US
    );
    assert_eq!(health.removal_delay_us(23 * SECOND_US), normal_us);
}

/// Each collection reports the end of an outage; watches must be sent again only once.
#[test]
fn end_of_an_outage_is_recorded_once() {
    let mut health = StoreHealth::default();
    // The first argument is the time of the end, the second that of the beginning.
    assert!(health.record_outage_end(20, 10));
    assert!(!health.record_outage_end(21, 11));
    assert!(health.record_outage_end(40, 30));
}

/// Guards against callers with a single retry that come back before the outage has ended, and
/// against callers that are left too little time for their retry.
#[test]
fn callers_wait_longer_the_longer_an_outage_of_the_store_lasts() {
    let mut health = StoreHealth::default();
    assert_eq!(health.unconfigured_retry_ms(0, Some(8_000)), 200);
    health.suspect_outage(SECOND_US / 10);
    let retry_ms = |health: &StoreHealth, seconds: u64, remaining_ms| {
        health.unconfigured_retry_ms(seconds * SECOND_US, remaining_ms)
    };
    assert_eq!(retry_ms(&health, 1, Some(8_000)), 1_700);
    assert_eq!(retry_ms(&health, 5, Some(8_000)), 2_666);
    assert_eq!(retry_ms(&health, 5, Some(1_000)), 333);
    assert_eq!(retry_ms(&health, 5, Some(100)), 200);
    assert_eq!(retry_ms(&health, 5, None), 700);
    health.record_response(6 * SECOND_US);
    assert_eq!(retry_ms(&health, 6, Some(8_000)), 200);
}
