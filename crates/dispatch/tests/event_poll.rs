//! Guards against deadlines that are counted from the time at which a busy node handled a
//! request instead of the time at which the request arrived.

use wigeonhall_dispatch::EventPoll;

const SECOND_US: u64 = 1_000_000;

/// Creates a poll of a loop that has returned all events up to `known_until_us` and whose timer
/// is due 400 ms after the poll began.
fn poll(known_until_us: u64, began_us: u64) -> EventPoll {
    EventPoll {
        began_us,
        known_until_us,
        timer_due_us: began_us + 400_000,
    }
}

/// An event that a busy loop's poll returns at once may have arrived right after the previous
/// poll.
#[test]
fn event_found_by_a_busy_loop_may_have_arrived_after_the_previous_poll() {
    let poll = poll(SECOND_US, SECOND_US * 5 / 2);
    let arrival_us = poll.earliest_arrival_us(SECOND_US * 5 / 2 + 40);
    assert_eq!(arrival_us, SECOND_US);
}

/// An idle loop is woken by the event, so the event did not wait.
#[test]
fn event_found_by_an_idle_loop_has_just_arrived() {
    let poll = poll(SECOND_US, SECOND_US + 100);
    let found_us = SECOND_US + 300_000;
    assert_eq!(poll.earliest_arrival_us(found_us), found_us);
}

/// A process that was paused wakes after its timer was due, so events may have waited.
#[test]
fn event_found_after_a_pause_may_have_arrived_when_the_poll_began() {
    let poll = poll(SECOND_US, SECOND_US + 100);
    let arrival_us = poll.earliest_arrival_us(3 * SECOND_US);
    assert_eq!(arrival_us, SECOND_US + 100);
}

/// The signal that resumes a paused process ends the poll without events; the next poll returns
/// them at once.
#[test]
fn poll_after_a_pause_returns_events_that_arrived_during_the_pause() {
    let paused = poll(SECOND_US, SECOND_US + 100);
    let resumed_us = 3 * SECOND_US;
    let known_until_us = paused.known_after_us(resumed_us);
    let next = poll(known_until_us, resumed_us + 50);
    let arrival_us = next.earliest_arrival_us(resumed_us + 60);
    assert_eq!(arrival_us, SECOND_US + 100);
}
