//! Guards against deadlines that are counted from the time at which a busy node got round
//! to a request, in place of the time at which it came.

use wigeonhall_dispatch::EventPoll;

const SECOND_US: u64 = 1_000_000;

fn look(known_until_us: u64, began_us: u64) -> EventPoll {
    EventPoll {
        began_us,
        known_until_us,
        timer_due_us: began_us + 400_000,
    }
}

/// What a busy loop finds at once may have come right after its look before.
#[test]
fn what_a_busy_loop_finds_may_have_waited_for_all_of_its_work() {
    let look = look(SECOND_US, SECOND_US * 5 / 2);
    let arrival_us = look.earliest_arrival_us(SECOND_US * 5 / 2 + 40);
    assert_eq!(arrival_us, SECOND_US);
}

/// An idle loop is woken by what comes, so nothing waited.
#[test]
fn what_an_idle_loop_finds_has_just_come() {
    let look = look(SECOND_US, SECOND_US + 100);
    let found_us = SECOND_US + 300_000;
    assert_eq!(look.earliest_arrival_us(found_us), found_us);
}

/// A process that was stopped is woken late by its timer, too.
#[test]
fn what_a_stopped_process_finds_may_have_come_when_it_was_stopped() {
    let look = look(SECOND_US, SECOND_US + 100);
    let arrival_us = look.earliest_arrival_us(3 * SECOND_US);
    assert_eq!(arrival_us, SECOND_US + 100);
}

/// A signal ends a look without the events; the next look returns them at once.
#[test]
fn the_look_after_a_stop_returns_what_came_during_the_stop() {
    let stopped = look(SECOND_US, SECOND_US + 100);
    let resumed_us = 3 * SECOND_US;
    let known_until_us = stopped.known_after_us(resumed_us);
    let next = look(known_until_us, resumed_us + 50);
    let arrival_us = next.earliest_arrival_us(resumed_us + 60);
    assert_eq!(arrival_us, SECOND_US + 100);
}
