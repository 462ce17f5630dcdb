//! Guards against replies that reach the wrong request, and work for callers that left.

mod prelude;

use prelude::*;

#[test]
fn counts_and_drops_late_repeated_and_misdirected_replies() {
    let mut world = World::new(2);
    let subs = sends(&world.read(1, Full));
    world.reply(&subs[0].1, whole_of(&subs[0].1));
    assert!(world.reply(&subs[0].1, whole_of(&subs[0].1)).is_empty());
    let mut stranger = subs[1].1.clone();
    stranger.attempt.boot += 1;
    assert!(world.reply(&stranger, whole_of(&stranger)).is_empty());
    stranger = subs[1].1.clone();
    stranger.attempt.sequence += 100;
    assert!(world.reply(&stranger, whole_of(&stranger)).is_empty());
    let actions = world.reply(&subs[1].1, whole_of(&subs[1].1));
    assert_eq!(answers(&actions).len(), 1);
    assert!(world.reply(&subs[1].1, whole_of(&subs[1].1)).is_empty());
    assert_eq!(world.core.counters().late_replies, 2);
    assert_eq!(world.core.counters().misdirected_replies, 2);
}

#[test]
fn cancels_a_read_whose_caller_is_gone() {
    let mut world = World::new(3);
    let subs = sends(&world.read(1, Full));
    world.reply(&subs[0].1, whole_of(&subs[0].1));
    let actions = world.event(QueryEvent::CallerGone(QueryId(1)));
    assert_eq!(cancels(&actions), [subs[1].1.attempt, subs[2].1.attempt]);
    assert!(answers(&actions).is_empty());
    assert_eq!(world.core.open_requests(), 0);
    assert!(
        world
            .run_to(1_300_000)
            .iter()
            .all(|it| answers(std::slice::from_ref(it)).is_empty())
    );
}

// Two requests with one id would leave one caller without an answer of its own.
#[test]
fn drops_a_request_with_the_id_of_an_open_one() {
    let mut world = World::new(1);
    world.read(1, Full);
    assert!(world.read(1, Full).is_empty());
    assert!(world.write(1, true).is_empty());
    assert_eq!(world.core.counters().duplicate_requests, 2);
}
