//! Tests that unexpected replies are dropped and that work for disconnected callers is
//! cancelled.

mod prelude;

use prelude::*;

// A reply is misdirected if another process run sent its sub-request, or none did.
#[test]
fn counts_and_drops_late_repeated_and_misdirected_replies() {
    let mut harness = Harness::new(2);
    let subs = sub_requests(&harness.read(1, Full));
    harness.reply(&subs[0].1, whole_reply(&subs[0].1));
    assert!(
        harness
            .reply(&subs[0].1, whole_reply(&subs[0].1))
            .is_empty()
    );
    let mut misdirected = subs[1].1.clone();
    misdirected.attempt.boot += 1;
    assert!(
        harness
            .reply(&misdirected, whole_reply(&misdirected))
            .is_empty()
    );
    misdirected = subs[1].1.clone();
    misdirected.attempt.sequence += 100;
    assert!(
        harness
            .reply(&misdirected, whole_reply(&misdirected))
            .is_empty()
    );
    let actions = harness.reply(&subs[1].1, whole_reply(&subs[1].1));
    assert_eq!(answers(&actions).len(), 1);
    assert!(
        harness
            .reply(&subs[1].1, whole_reply(&subs[1].1))
            .is_empty()
    );
    assert_eq!(harness.coordinator.counters().late_replies, 2);
    assert_eq!(harness.coordinator.counters().misdirected_replies, 2);
}

#[test]
fn cancels_a_read_whose_caller_disconnected() {
    let mut harness = Harness::new(3);
    let subs = sub_requests(&harness.read(1, Full));
    harness.reply(&subs[0].1, whole_reply(&subs[0].1));
    let actions = harness.event(QueryEvent::CallerDisconnected(QueryId(1)));
    assert_eq!(cancels(&actions), [subs[1].1.attempt, subs[2].1.attempt]);
    assert!(answers(&actions).is_empty());
    assert_eq!(harness.coordinator.open_requests(), 0);
    assert!(
        harness
            .run_to(1_300_000)
            .iter()
            .all(|it| answers(std::slice::from_ref(it)).is_empty())
    );
}

// If two requests had the same id, one caller would not get its own answer.
#[test]
fn drops_a_request_with_the_id_of_an_open_one() {
    let mut harness = Harness::new(1);
    harness.read(1, Full);
    assert!(harness.read(1, Full).is_empty());
    assert!(harness.write(1, true).is_empty());
    assert_eq!(harness.coordinator.counters().duplicate_requests, 2);
}
