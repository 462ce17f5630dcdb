//! Cancellation of requests.

mod common;

use common::Fixture;
use common::LONG_TIMEOUT_US;
use common::REPLICA;
use common::read;
use common::wait_until;
use wigeonhall_standins::TargetSettings;
use wigeonhall_types::TargetOutcome;

/// Guards against a cancellation that closes the connection of its request.
#[test]
fn cancellation_keeps_the_connection_open() {
    let fixture = Fixture::start(TargetSettings::default());
    fixture.target.set_hanging(true);
    let sub = read(1, 0, 1);
    let reply = fixture.send(&sub, LONG_TIMEOUT_US);
    let other = fixture.send(&read(2, 0, 1), LONG_TIMEOUT_US);
    wait_until(|| fixture.target.counts().running == 2);
    fixture.pool.cancel(REPLICA, sub.attempt);
    let reply = reply.recv().unwrap();
    assert_eq!(reply.outcome, TargetOutcome::Cancelled);
    assert_eq!(reply.instance, Some(fixture.target.instance()));
    fixture.target.set_hanging(false);
    let outcome = other.recv().unwrap().outcome;
    assert!(
        matches!(outcome, TargetOutcome::Answered { .. }),
        "{outcome:?}"
    );
    let counters = fixture.pool.counters();
    // All 3 connections of the default settings remain.
    assert_eq!((counters.opened, counters.broken), (3, 0));
    assert_eq!((counters.cancels, counters.requests), (1, 2));
}

/// Guards against a cancelled request that is sent later, and against a cancellation that is
/// reported as the target's reply although the request was never sent.
#[test]
fn waiting_request_is_cancelled_locally() {
    let fixture = Fixture::start(TargetSettings::default());
    fixture.target.set_hanging(true);
    let running = [1, 2].map(|it| fixture.send(&read(it, 0, 1), LONG_TIMEOUT_US));
    wait_until(|| fixture.target.counts().running == 2);
    let waiting = read(3, 0, 1);
    let reply = fixture.send(&waiting, LONG_TIMEOUT_US);
    fixture.pool.cancel(REPLICA, waiting.attempt);
    let reply = reply.recv().unwrap();
    assert_eq!(reply.outcome, TargetOutcome::Cancelled);
    assert_eq!(reply.instance, None);
    fixture.target.set_hanging(false);
    for reply in running {
        reply.recv().unwrap();
    }
    assert_eq!(fixture.target.counts().requests, 2);
    assert_eq!(fixture.pool.counters().cancels, 0);
}

/// Guards against a cancellation that arrives after the end of its request and affects
/// another request.
#[test]
fn cancellation_of_an_ended_request_has_no_effect() {
    let fixture = Fixture::start(TargetSettings::default());
    let sub = read(1, 0, 1);
    fixture.send_and_wait(&sub, LONG_TIMEOUT_US);
    fixture.pool.cancel(REPLICA, sub.attempt);
    wait_until(|| fixture.target.counts().unknown_cancels == 1);
    let outcome = fixture
        .send_and_wait(&read(2, 0, 1), LONG_TIMEOUT_US)
        .outcome;
    assert!(
        matches!(outcome, TargetOutcome::Answered { .. }),
        "{outcome:?}"
    );
    assert_eq!(fixture.pool.counters().broken, 0);
}

/// Guards against treating a request as ended when only its deadline has passed: the target
/// may continue to run it, and must report so until it ends. The outcome `Cancelled` means that
/// the target accepted the cancellation; the request may still run.
#[test]
fn target_reports_whether_the_request_still_runs() {
    let fixture = Fixture::start(TargetSettings {
        service_us: 3 * LONG_TIMEOUT_US,
        ..TargetSettings::default()
    });
    fixture.target.set_deadline_overrun_us(3 * LONG_TIMEOUT_US);
    let sub = read(1, 0, 1);
    let reply = fixture.send_and_wait(&sub, 500_000);
    assert_eq!(reply.outcome, TargetOutcome::DeadlineExceeded);
    assert_eq!(reply.instance, None);
    let poll_end = || {
        let (send, receive) = std::sync::mpsc::channel();
        fixture
            .pool
            .poll_end(REPLICA, sub.attempt, move |reply| send.send(reply).unwrap());
        receive.recv().unwrap().outcome
    };
    assert_eq!(poll_end(), TargetOutcome::Cancelled);
    assert_eq!(fixture.target.counts().running, 1);
    fixture.target.set_deadline_overrun_us(0);
    wait_until(|| fixture.target.counts().running == 0);
    assert_eq!(poll_end(), TargetOutcome::UnknownAttempt);
}
