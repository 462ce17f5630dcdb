//! Guards against replicas that are dropped because their registrations lapsed in an outage of
//! the store, and against calls to the store while it is unavailable.

use wigeonhall_dispatch::RecoveryTimes;
use wigeonhall_dispatch::StoreHealth;
use wigeonhall_dispatch::silence_limit_ms;
use wigeonhall_dispatch::watch_pause_ms;

const SECOND_US: u64 = 1_000_000;

/// Time after the removal of a replica from which no request may reach it.
const DRAIN_US: u64 = 3 * SECOND_US;

/// Time after the end of an outage by which registrations are restored.
const REGISTRATIONS_RESTORED_US: u64 = 2 * SECOND_US;

/// Returns the state of a node whose replicas renew their registrations every 1.2 s.
fn health() -> StoreHealth {
    StoreHealth::new(1_200, RecoveryTimes::new(4_000))
}

#[test]
fn outage_is_suspected_until_a_later_call_gets_a_response() {
    let mut health = self::health();
    assert!(!health.outage_suspected());
    health.record_response(SECOND_US, SECOND_US);
    assert!(!health.outage_suspected());
    health.suspect_outage(2 * SECOND_US);
    assert!(health.outage_suspected());
    // A response to a call sent before the outage was suspected does not show that the store is
    // available.
    health.record_response(2 * SECOND_US, SECOND_US + 1);
    assert!(health.outage_suspected());
    health.record_response(2 * SECOND_US, 2 * SECOND_US);
    assert!(!health.outage_suspected());
    assert_eq!(health.answered_call_sent_us(), Some(2 * SECOND_US));
}

/// Guards against replicas that are dropped after 1.2 s because the watch of the replicas was
/// pending throughout an outage in which other calls failed, and then reported deletions.
#[test]
fn replicas_are_kept_after_an_outage_that_another_call_detected() {
    let mut health = self::health();
    let delay_us = |health: &StoreHealth, now_us: u64| {
        health.removal_at_us(now_us, 15 * SECOND_US, DRAIN_US) - now_us
    };
    health.record_response(9 * SECOND_US, 9 * SECOND_US);
    health.suspect_outage(10 * SECOND_US);
    assert!(delay_us(&health, 12 * SECOND_US) > REGISTRATIONS_RESTORED_US);
    health.record_response(20 * SECOND_US, 20 * SECOND_US);
    assert!(health.record_outage_end(20 * SECOND_US, 10 * SECOND_US));
    assert!(delay_us(&health, 20 * SECOND_US) > REGISTRATIONS_RESTORED_US);
    // A registration that is not restored by then belongs to a replica that is gone.
    assert_eq!(delay_us(&health, 23 * SECOND_US), 0);
}

/// A lost peer or a single lost response lasts for less than the time in which registrations can
/// lapse; replicas that left were used for 2.3 s all the same, and got requests after the bound.
#[test]
fn loss_of_a_peer_does_not_prolong_the_use_of_removed_replicas() {
    let mut health = self::health();
    health.record_response(10 * SECOND_US, 10 * SECOND_US);
    let normal_us = health.removal_at_us(10 * SECOND_US, 0, DRAIN_US) - 10 * SECOND_US;
    health.suspect_outage(11 * SECOND_US);
    let lost_us = 12 * SECOND_US;
    assert_eq!(
        health.removal_at_us(lost_us, 0, DRAIN_US),
        lost_us + normal_us
    );
    health.record_response(lost_us, lost_us);
    health.record_outage_end(lost_us, 11 * SECOND_US);
    assert_eq!(
        health.removal_at_us(lost_us, 0, DRAIN_US),
        lost_us + normal_us
    );
    assert!(!health.is_settling(lost_us));
}

/// The delay counted from the time at which a node received a removal, so that it came on top of
/// what the reader's pause and the search for another reader had taken.
#[test]
fn age_of_a_removal_and_its_delay_stay_within_the_bound() {
    for drain_us in [SECOND_US / 2, DRAIN_US, 60 * SECOND_US] {
        for age_us in (0..4 * SECOND_US).step_by(SECOND_US as usize / 10) {
            let now_us = 10 * SECOND_US;
            let at_us = health().removal_at_us(now_us, age_us, drain_us);
            assert!(at_us == now_us || age_us + at_us - now_us < drain_us);
        }
    }
}

/// The times that follow one another between a removal in the store and the last request must fit
/// into its bound, also if the reader of a node falls silent while it pauses.
#[test]
fn loss_of_a_reader_leaves_time_for_another_one_within_the_bound() {
    for bound_ms in [1_000, 3_000, 5_000, 60_000] {
        let age_us = (watch_pause_ms(1, bound_ms) + silence_limit_ms(bound_ms)) * 1_000;
        let now_us = 100 * SECOND_US;
        let delay_us = health().removal_at_us(now_us, age_us, bound_ms * 1_000) - now_us;
        let search_us = bound_ms * 1_000 / 10;
        assert!(age_us + search_us + delay_us <= bound_ms * 1_000 || delay_us == 0);
    }
}

/// Each collection reports the end of an outage; watches must be sent again only once.
#[test]
fn end_of_an_outage_is_recorded_once() {
    let mut health = self::health();
    // The first argument is the time of the end, the second that of the beginning.
    assert!(health.record_outage_end(20, 10));
    assert!(!health.record_outage_end(21, 11));
    assert!(health.record_outage_end(40, 30));
}

/// Guards against callers with a single retry that come back before the outage has ended, and
/// against callers that are left too little time for their retry.
#[test]
fn callers_wait_longer_the_longer_an_outage_of_the_store_lasts() {
    let mut health = self::health();
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
    health.record_response(6 * SECOND_US, 6 * SECOND_US);
    assert_eq!(retry_ms(&health, 6, Some(8_000)), 200);
}

/// Versions were held back for 2.3 s from the moment at which the node noticed the end.
#[test]
fn versions_of_an_outage_are_held_back_for_less_than_the_stabilization_time() {
    let lost_us = 20 * SECOND_US;
    for noticed_us in (lost_us..=lost_us + 2 * SECOND_US).step_by(SECOND_US as usize / 10) {
        let mut health = self::health();
        health.suspect_outage(10 * SECOND_US);
        health.record_failure(lost_us);
        health.record_response(noticed_us, noticed_us);
        assert!(health.is_settling(noticed_us));
        assert!(!health.is_settling(lost_us + 4 * SECOND_US * 9 / 10));
    }
}

/// A call that failed before the response that ends an outage arrived hid the outage.
#[test]
fn a_failed_call_does_not_hide_that_registrations_may_have_lapsed() {
    let mut health = self::health();
    health.record_response(10 * SECOND_US, 10 * SECOND_US);
    health.suspect_outage(13 * SECOND_US);
    let sent_us = 13 * SECOND_US;
    health.suspect_outage(sent_us + 20_000);
    health.record_response(sent_us + 50_000, sent_us);
    health.record_response(sent_us + 80_000, sent_us + 60_000);
    assert!(health.is_settling(sent_us + 80_000));
}

/// A failure of an earlier outage ended the hold of versions after a later one at once.
#[test]
fn a_failure_before_an_outage_does_not_end_the_hold_of_versions_after_it() {
    let mut restored = self::health();
    restored.record_failure(10 * SECOND_US);
    restored.record_response(60 * SECOND_US, 60 * SECOND_US);
    restored.record_restoration(61 * SECOND_US);
    assert!(restored.is_settling(61 * SECOND_US));
    let mut lapsed = self::health();
    lapsed.record_failure(10 * SECOND_US);
    lapsed.record_response(60 * SECOND_US, 60 * SECOND_US);
    lapsed.suspect_outage(70 * SECOND_US);
    lapsed.record_response(71 * SECOND_US, 71 * SECOND_US);
    assert!(lapsed.is_settling(71 * SECOND_US));
}
