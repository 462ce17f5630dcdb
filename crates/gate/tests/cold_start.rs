//! Cold start: its bound, its ramp and what causes it.

mod common;

use common::Driver;
use common::MS;
use common::SECOND;
use common::answered;
use common::answered_by;
use common::cold;
use common::deployment;
use common::refused;
use common::reply;
use common::sent;
use common::warm;
use wigeonhall_types::HandOverState;
use wigeonhall_types::RefusalReason;
use wigeonhall_types::ReplicaState;
use wigeonhall_types::TargetOutcome;

/// Sends `count` sub-requests one after the other, each answered by instance 1
/// after `service_us`; returns how many were sent.
fn run(driver: &mut Driver, first: u64, count: u64, service_us: u64) -> usize {
    let mut total = 0;
    for it in first..first + count {
        let deadline_us = driver.now_us + 10 * SECOND;
        let starts = sent(&driver.submit(it, deadline_us));
        total += starts.len();
        driver.now_us += service_us;
        for start in starts {
            driver.reply(start, answered());
        }
    }
    total
}

/// Guards against a cold replica getting more than its concurrency, and against
/// a ramp that doubles before a full round of successful replies.
#[test]
fn ramp_doubles_by_full_rounds() {
    let mut driver = Driver::new(deployment(8, cold(2, 100)), None);
    let mut next = 0;
    let mut open = Vec::new();
    let mut allowed = Vec::new();
    for _ in 0..7 {
        for _ in 0..10 {
            open.extend(sent(&driver.submit(next, SECOND)));
            next += 1;
        }
        allowed.push((open.len(), driver.report().state));
        // Half of an allowance: two steps make a round.
        for attempt in open.split_off(open.len() / 2) {
            open.extend(sent(&driver.reply(attempt, answered())));
        }
    }
    insta::assert_debug_snapshot!(allowed);
}

/// Guards against more starts than the stated rate in any second.
#[test]
fn rate_holds_in_any_second() {
    let mut driver = Driver::new(deployment(64, cold(1, 3)), None);
    assert_eq!(run(&mut driver, 0, 1, 0), 1);
    // The round doubled the bound to 2 slots and 6 starts per second.
    driver.now_us = 900 * MS;
    let mut starts = vec![0];
    for it in 1..=20 {
        let deadline_us = driver.now_us + 60 * SECOND;
        let sent = sent(&driver.submit(it, deadline_us));
        for start in sent {
            starts.push(driver.now_us);
            driver.reply(start, reply(TargetOutcome::Cancelled));
        }
    }
    while let Some(wake_us) = driver.gate.next_wake_us().filter(|it| *it < 5 * SECOND) {
        let mut open = sent(&driver.advance(wake_us));
        while let Some(start) = open.pop() {
            starts.push(driver.now_us);
            open.extend(sent(&driver.reply(start, reply(TargetOutcome::Cancelled))));
        }
    }
    assert_eq!(starts.len(), 21);
    for pair in starts.windows(7) {
        assert!(pair[6] - pair[0] > SECOND, "{starts:?}");
    }
}

/// Guards against a shed request leaving the ramp as it was. Sheds of one step
/// count once.
#[test]
fn shed_halves_once_per_step() {
    let mut driver = Driver::new(deployment(16, cold(4, 100)), None);
    for it in 0..4 {
        driver.submit(it, SECOND);
    }
    let shed = || reply(TargetOutcome::Shed { retry_after_us: 9 });
    driver.reply(0, shed());
    driver.reply(1, shed());
    driver.reply(2, answered());
    driver.reply(3, answered());
    let started = (4..10).filter(|it| !sent(&driver.submit(*it, SECOND)).is_empty());
    assert_eq!(started.count(), 2);
    assert_eq!(driver.gate.counters().ramp_halved, 1);
}

/// Guards against replies of requests from before a restart counting as progress,
/// and against the restart going unnoticed.
#[test]
fn replies_from_before_do_not_ramp() {
    let mut driver = Driver::warm(8);
    for it in 0..8 {
        assert_eq!(sent(&driver.submit(it, 9 * SECOND)).len(), 1);
    }
    driver.advance(2 * SECOND);
    driver.reply(0, answered_by(2));
    assert_eq!(driver.report().state, ReplicaState::Cold);
    assert!(sent(&driver.submit(8, 9 * SECOND)).is_empty());
    for it in 1..7 {
        assert!(sent(&driver.reply(it, answered_by(1))).is_empty(), "{it}");
    }
    assert_eq!(sent(&driver.reply(7, answered_by(2))), [8]);
    assert_eq!(driver.gate.counters().cold_instance, 1);
    assert!(sent(&driver.submit(9, 9 * SECOND)).is_empty());
    assert_eq!(sent(&driver.reply(8, answered_by(2))), [9]);
}

/// Guards against work to a replica whose connections were reset at full speed.
#[test]
fn connection_loss_makes_cold() {
    let mut driver = Driver::warm(4);
    for it in 0..4 {
        driver.submit(it, 9 * SECOND);
    }
    driver.advance(2 * SECOND);
    for it in 0..4 {
        driver.reply(it, reply(TargetOutcome::ConnectionLost));
    }
    assert_eq!(driver.report().state, ReplicaState::Cold);
    assert_eq!(driver.gate.counters().cold_connection_lost, 1);
    let started = (4..8).filter(|it| !sent(&driver.submit(*it, 9 * SECOND)).is_empty());
    assert_eq!(started.count(), 1);
}

/// Guards against more than the cold rate reaching a target that restarted
/// unnoticed: the starts of the last second may have gone to the new process.
#[test]
fn starts_before_the_notice_count_against_the_rate() {
    let mut driver = Driver::new(deployment(8, cold(8, 10)), Some(warm()));
    driver.advance(2 * SECOND);
    assert_eq!(run(&mut driver, 0, 9, 10 * MS), 9);
    driver.submit(9, 9 * SECOND);
    driver.reply(9, answered_by(2));
    let started = (10..20).filter(|it| !sent(&driver.submit(*it, 9 * SECOND)).is_empty());
    assert_eq!(started.count(), 0);
    let started = sent(&driver.advance(3 * SECOND + 1));
    assert_eq!(started, [10]);
}

/// Guards against a lone straggler being taken for a restart, and against a
/// sustained jump being overlooked.
#[test]
fn only_a_sustained_latency_jump_makes_cold() {
    let mut driver = Driver::warm(2);
    run(&mut driver, 0, 20, 10 * MS);
    for it in 0..5 {
        run(&mut driver, 100 + 10 * it, 2, 200 * MS);
        run(&mut driver, 105 + 10 * it, 1, 10 * MS);
    }
    assert_eq!(driver.report().state, ReplicaState::Warm);
    run(&mut driver, 200, 3, 200 * MS);
    assert_eq!(driver.report().state, ReplicaState::Cold);
    assert_eq!(driver.gate.counters().cold_latency, 1);
}

/// Guards against a new owner repeating, within a second, the starts that its
/// predecessor made at a cold replica.
#[test]
fn handed_over_ramp_waits_out_unknown_starts() {
    let state = HandOverState {
        allowance: 1,
        ..warm()
    };
    let mut driver = Driver::new(deployment(4, cold(1, 10)), Some(state));
    let actions = driver.submit(1, SECOND);
    assert_eq!(refused(&actions), [(1, RefusalReason::ColdStart)]);
    driver.submit(2, 3 * SECOND);
    assert!(sent(&driver.advance(SECOND)).is_empty());
    assert_eq!(sent(&driver.advance(SECOND + 1)), [2]);
}

/// Guards against a halved ramp whose bound equals the slots becoming warm below
/// its bound.
#[test]
fn halved_ramp_is_not_full_below_its_bound() {
    let mut driver = Driver::new(deployment(2, cold(2, 10)), None);
    driver.submit(1, SECOND);
    driver.reply(1, reply(TargetOutcome::Shed { retry_after_us: 1 }));
    for it in 2..4 {
        driver.submit(it, SECOND);
        driver.reply(it, answered());
        assert_eq!(driver.report().state, ReplicaState::Cold);
    }
    driver.submit(4, SECOND);
    driver.reply(4, answered());
    assert_eq!(driver.report().state, ReplicaState::Warm);
}
