//! Limit of open connections, and reconnection after a loss.

mod common;

use common::Fixture;
use common::LONG_TIMEOUT_US;
use common::REPLICA;
use common::read;
use common::wait_until;
use wigeonhall_standins::TargetSettings;
use wigeonhall_types::TargetOutcome;

fn settings() -> TargetSettings {
    TargetSettings {
        service_us: 1_000,
        ..TargetSettings::default()
    }
}

/// Guards against exceeding the limit of connections or of running requests when more
/// requests arrive than connections are open.
#[test]
fn connection_limit_holds_for_50_concurrent_requests() {
    let fixture = Fixture::start(settings());
    let replies = (0..50)
        .map(|sequence| fixture.send(&read(sequence, 0, 1), LONG_TIMEOUT_US))
        .collect::<Vec<_>>();
    for reply in replies {
        let outcome = reply.recv().unwrap().outcome;
        assert!(
            matches!(outcome, TargetOutcome::Answered { .. }),
            "{outcome:?}"
        );
    }
    // By default, a target allows 3 connections, of which one is for control, and 2 slots.
    let counts = fixture.target.counts();
    assert_eq!(counts.max_connections, 3);
    assert_eq!(counts.connections_over_limit, 0);
    assert_eq!((counts.max_running, counts.over_slots), (2, 0));
    assert_eq!((counts.requests, counts.answered), (50, 50));
    let counters = fixture.pool.counters();
    assert_eq!((counters.opened, counters.broken), (3, 0));
    assert_eq!(counters.requests, 50);
}

/// Guards against exceeding the connection limit when connections break under load, or when
/// a replica is closed and opened again while its connections are busy.
#[test]
fn connection_limit_holds_when_connections_break_or_reopen() {
    let fixture = Fixture::start(settings());
    let mut replies = Vec::new();
    for sequence in 0..60 {
        replies.push(fixture.send(&read(sequence, 0, 1), LONG_TIMEOUT_US));
        match sequence % 6 {
            2 => fixture.target.break_connections(),
            5 => {
                fixture.pool.close(REPLICA);
                fixture.pool.open(REPLICA, fixture.target.address(), 3);
            }
            _ => (),
        }
    }
    for reply in replies {
        reply.recv().unwrap();
    }
    wait_until(|| fixture.pool.counters().open == 3);
    let counts = fixture.target.counts();
    assert_eq!(counts.connections_over_limit, 0);
    assert!(counts.max_connections <= 3);
}

/// Guards against connections that stay open after another node became the owner of the replica
/// (the only node that may send to it), and against a close that breaks a running request.
#[test]
fn close_waits_for_busy_connections() {
    let fixture = Fixture::start(settings());
    fixture.target.set_hanging(true);
    let running = fixture.send(&read(1, 0, 1), LONG_TIMEOUT_US);
    wait_until(|| fixture.target.counts().running == 1);
    fixture.pool.close(REPLICA);
    wait_until(|| fixture.pool.counters().open == 1);
    let refused = fixture.send_and_wait(&read(2, 0, 1), LONG_TIMEOUT_US);
    assert_eq!(refused.outcome, TargetOutcome::Unreachable);
    fixture.target.set_hanging(false);
    let outcome = running.recv().unwrap().outcome;
    assert!(
        matches!(outcome, TargetOutcome::Answered { .. }),
        "{outcome:?}"
    );
    wait_until(|| fixture.pool.counters().open == 0);
    wait_until(|| fixture.target.counts().connections_open == 0);
    assert_eq!(fixture.pool.counters().broken, 0);
}

/// Guards against a target that stays without connections after an outage.
#[test]
fn lost_connections_are_reopened() {
    let fixture = Fixture::start(settings());
    fixture.target.set_refusing_connections(true);
    fixture.target.break_connections();
    wait_until(|| fixture.pool.counters().broken >= 3);
    fixture.target.set_refusing_connections(false);
    wait_until(|| {
        let counters = fixture.pool.replica_counters(REPLICA);
        counters.open == 3 && fixture.target.counts().connections_open == 3
    });
    let outcome = fixture
        .send_and_wait(&read(1, 0, 1), LONG_TIMEOUT_US)
        .outcome;
    assert!(
        matches!(outcome, TargetOutcome::Answered { .. }),
        "{outcome:?}"
    );
}
