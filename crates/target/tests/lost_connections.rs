//! Outcomes of requests whose connection breaks before, during or after sending.

mod common;

use std::thread;
use std::time::Duration;

use common::Fixture;
use common::LONG_TIMEOUT_US;
use common::REPLICA;
use common::read;
use common::request_id;
use common::wait_until;
use common::write;
use wigeonhall_standins::TargetSettings;
use wigeonhall_types::TargetOutcome;

/// Guards against a request that is reported as not run although the target ran it and then
/// closed the connection without a reply.
#[test]
fn connection_closed_during_a_request_is_reported_as_lost() {
    let fixture = Fixture::start(TargetSettings::default());
    fixture.target.lose_replies(1);
    let outcome = fixture.send_and_wait(&write(1), LONG_TIMEOUT_US).outcome;
    assert_eq!(outcome, TargetOutcome::ConnectionLost);
    fixture.target.set_hanging(true);
    let reply = fixture.send(&write(2), LONG_TIMEOUT_US);
    wait_until(|| fixture.target.counts().running == 1);
    fixture.target.restart();
    let outcome = reply.recv().unwrap().outcome;
    assert_eq!(outcome, TargetOutcome::ConnectionLost);
    let executions = [1, 2].map(|it| fixture.target.executions(&request_id(it)));
    assert_eq!(executions, [1, 1]);
}

/// Guards against a target restart that the pool does not detect.
#[test]
fn restart_changes_the_instance() {
    let fixture = Fixture::start(TargetSettings::default());
    let before = fixture
        .send_and_wait(&read(1, 0, 1), LONG_TIMEOUT_US)
        .instance;
    fixture.target.restart();
    // The 3 connections of the default settings are opened again.
    wait_until(|| fixture.target.counts().connections_opened == 6);
    let after = fixture
        .send_and_wait(&read(2, 0, 1), LONG_TIMEOUT_US)
        .instance;
    assert_eq!(after, Some(fixture.target.instance()));
    assert_ne!(before, after);
    assert_eq!(fixture.target.counts().restarts, 1);
    let counters = fixture.pool.replica_counters(REPLICA);
    assert_eq!((counters.broken, counters.discarded), (3, 0));
}

/// Guards against a write that runs twice, or is reported with a wrong outcome, when its
/// connections turn out to be broken. A write that is reported as unreachable must not have run.
#[test]
fn outcomes_are_correct_when_connections_break() {
    let fixture = Fixture::start(TargetSettings {
        jitter_us: 300,
        seed: 21,
        ..TargetSettings::default()
    });
    let mut random = fastrand::Rng::with_seed(22);
    for sequence in 0..300 {
        let reply = fixture.send(&write(sequence), LONG_TIMEOUT_US);
        // Breaks the connections during or shortly after a quarter of the requests.
        if random.u8(..) < 64 {
            thread::sleep(Duration::from_micros(random.u64(..400)));
            fixture.target.break_connections();
        }
        let outcome = reply.recv().unwrap().outcome;
        let executions = fixture.target.executions(&request_id(sequence));
        match outcome {
            TargetOutcome::Answered { .. } => assert_eq!(executions, 1),
            TargetOutcome::ConnectionLost => assert!(executions <= 1),
            TargetOutcome::Shed { .. } | TargetOutcome::Unreachable => assert_eq!(executions, 0),
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(fixture.target.max_executions(), 1);
}

/// Guards against a request that gets no reply when the process shuts down.
#[test]
fn runtime_shutdown_ends_every_request_with_one_reply() {
    let fixture = Fixture::start(TargetSettings::default());
    fixture.target.set_hanging(true);
    let sent = [1, 2].map(|it| fixture.send(&write(it), LONG_TIMEOUT_US));
    wait_until(|| fixture.target.counts().running == 2);
    let waiting = fixture.send(&write(3), LONG_TIMEOUT_US);
    fixture.runtime.shutdown_background();
    for reply in sent {
        let outcome = reply.recv().unwrap().outcome;
        assert_eq!(outcome, TargetOutcome::ConnectionLost);
    }
    fixture.pool.close(REPLICA);
    let outcome = waiting.recv().unwrap().outcome;
    assert_eq!(outcome, TargetOutcome::Unreachable);
}

/// Guards against sending a request that was waiting when the connection broke. The target may
/// have restarted: the request was admitted under the limits of the previous process, and the
/// new one may be in a cold start.
#[test]
fn waiting_request_is_not_sent_after_a_connection_breaks() {
    let fixture = Fixture::start(TargetSettings {
        connections: 2,
        service_us: 300_000,
        ..TargetSettings::default()
    });
    // A connection that has served a request is reopened without backoff after a break.
    fixture.send_and_wait(&write(0), LONG_TIMEOUT_US);
    let running = fixture.send(&write(1), LONG_TIMEOUT_US);
    wait_until(|| fixture.pool.counters().requests == 2);
    let waiting = fixture.send(&write(2), LONG_TIMEOUT_US);
    fixture.target.break_connections();
    assert_eq!(
        running.recv().unwrap().outcome,
        TargetOutcome::ConnectionLost
    );
    assert_eq!(waiting.recv().unwrap().outcome, TargetOutcome::Unreachable);
    assert_eq!(fixture.target.executions(&request_id(2)), 0);
    let outcome = fixture.send_and_wait(&write(3), LONG_TIMEOUT_US).outcome;
    assert!(
        matches!(outcome, TargetOutcome::Answered { .. }),
        "{outcome:?}"
    );
}
