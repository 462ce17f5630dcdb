//! The number of open connections, and their loss and return.

mod common;

use common::AMPLE_US;
use common::Fixture;
use common::REPLICA;
use common::read;
use common::wait;
use wigeonhall_standins::TargetSettings;
use wigeonhall_types::TargetOutcome;

fn settings() -> TargetSettings {
    TargetSettings {
        service_us: 1_000,
        ..TargetSettings::default()
    }
}

/// Guards against a connection, or a running request, above the limit when more
/// requests come than connections are open.
#[test]
fn fifty_concurrent_requests_keep_the_connection_limit() {
    let fixture = Fixture::start(settings());
    let replies = (0..50)
        .map(|sequence| fixture.send(&read(sequence, 0, 1), AMPLE_US))
        .collect::<Vec<_>>();
    for reply in replies {
        let outcome = reply.recv().unwrap().outcome;
        assert!(
            matches!(outcome, TargetOutcome::Answered { .. }),
            "{outcome:?}"
        );
    }
    let counts = fixture.target.counts();
    assert_eq!(counts.max_connections, 3);
    assert_eq!(counts.connections_over_limit, 0);
    assert_eq!((counts.max_running, counts.over_slots), (2, 0));
    assert_eq!((counts.requests, counts.answered), (50, 50));
    let counters = fixture.pool.counters();
    assert_eq!((counters.opened, counters.broken), (3, 0));
    assert_eq!(counters.requests, 50);
}

/// Guards against a limit that is exceeded when connections break under load or
/// a replica is closed and opened again while its connections are busy.
#[test]
fn reopening_and_breaks_keep_the_connection_limit() {
    let fixture = Fixture::start(settings());
    let mut replies = Vec::new();
    for sequence in 0..60 {
        replies.push(fixture.send(&read(sequence, 0, 1), AMPLE_US));
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
    wait(|| fixture.pool.counters().open == 3);
    let counts = fixture.target.counts();
    assert_eq!(counts.connections_over_limit, 0);
    assert!(counts.max_connections <= 3);
}

/// Guards against connections that stay open after another node owns the replica.
#[test]
fn close_ends_the_connections_once_they_are_idle() {
    let fixture = Fixture::start(settings());
    fixture.target.set_hanging(true);
    let running = fixture.send(&read(1, 0, 1), AMPLE_US);
    wait(|| fixture.target.counts().running == 1);
    fixture.pool.close(REPLICA);
    wait(|| fixture.pool.counters().open == 1);
    let refused = fixture.call(&read(2, 0, 1), AMPLE_US);
    assert_eq!(refused.outcome, TargetOutcome::Unreachable);
    fixture.target.set_hanging(false);
    let outcome = running.recv().unwrap().outcome;
    assert!(
        matches!(outcome, TargetOutcome::Answered { .. }),
        "{outcome:?}"
    );
    wait(|| fixture.pool.counters().open == 0);
    wait(|| fixture.target.counts().connections_open == 0);
    assert_eq!(fixture.pool.counters().broken, 0);
}

/// Guards against a target that is left without connections after an outage.
#[test]
fn lost_connections_come_back() {
    let fixture = Fixture::start(settings());
    fixture.target.set_refusing_connections(true);
    fixture.target.break_connections();
    wait(|| fixture.pool.counters().broken >= 3);
    fixture.target.set_refusing_connections(false);
    wait(|| {
        let counters = fixture.pool.replica_counters(REPLICA);
        counters.open == 3 && fixture.target.counts().connections_open == 3
    });
    let outcome = fixture.call(&read(1, 0, 1), AMPLE_US).outcome;
    assert!(
        matches!(outcome, TargetOutcome::Answered { .. }),
        "{outcome:?}"
    );
}
