//! Cancellation.

mod common;

use common::AMPLE_US;
use common::Fixture;
use common::REPLICA;
use common::read;
use common::wait;
use wigeonhall_standins::TargetSettings;
use wigeonhall_types::TargetOutcome;

/// Guards against a cancellation that costs the connection of its request.
#[test]
fn cancellation_keeps_the_connection() {
    let fixture = Fixture::start(TargetSettings::default());
    fixture.target.set_hanging(true);
    let sub = read(1, 0, 1);
    let reply = fixture.send(&sub, AMPLE_US);
    let other = fixture.send(&read(2, 0, 1), AMPLE_US);
    wait(|| fixture.target.counts().running == 2);
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
    assert_eq!((counters.opened, counters.broken), (3, 0));
    assert_eq!((counters.cancels, counters.requests), (1, 2));
}

/// Guards against a cancelled request that is sent later, and against one that
/// is reported as confirmed by the target although it was never sent.
#[test]
fn waiting_request_is_cancelled_without_the_target() {
    let fixture = Fixture::start(TargetSettings::default());
    fixture.target.set_hanging(true);
    let running = [1, 2].map(|it| fixture.send(&read(it, 0, 1), AMPLE_US));
    wait(|| fixture.target.counts().running == 2);
    let waiting = read(3, 0, 1);
    let reply = fixture.send(&waiting, AMPLE_US);
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

/// Guards against a cancellation that comes after the end of its request and
/// disturbs another one.
#[test]
fn cancellation_of_an_ended_request_does_nothing() {
    let fixture = Fixture::start(TargetSettings::default());
    let sub = read(1, 0, 1);
    fixture.call(&sub, AMPLE_US);
    fixture.pool.cancel(REPLICA, sub.attempt);
    wait(|| fixture.target.counts().unknown_cancels == 1);
    let outcome = fixture.call(&read(2, 0, 1), AMPLE_US).outcome;
    assert!(
        matches!(outcome, TargetOutcome::Answered { .. }),
        "{outcome:?}"
    );
    assert_eq!(fixture.pool.counters().broken, 0);
}

/// Guards against a late request that is taken as ended: the target works on after the
/// sender gave up, and says so until it ends.
#[test]
fn target_says_whether_a_request_still_runs() {
    let fixture = Fixture::start(TargetSettings {
        service_us: 3 * AMPLE_US,
        ..TargetSettings::default()
    });
    fixture.target.set_overrun_us(3 * AMPLE_US);
    let sub = read(1, 0, 1);
    let reply = fixture.call(&sub, 500_000);
    assert_eq!(reply.outcome, TargetOutcome::DeadlineExceeded);
    assert_eq!(reply.instance, None);
    let ask = || {
        let (send, receive) = std::sync::mpsc::channel();
        fixture
            .pool
            .poll_end(REPLICA, sub.attempt, move |reply| send.send(reply).unwrap());
        receive.recv().unwrap().outcome
    };
    assert_eq!(ask(), TargetOutcome::Cancelled);
    assert_eq!(fixture.target.counts().running, 1);
    fixture.target.set_overrun_us(0);
    wait(|| fixture.target.counts().running == 0);
    assert_eq!(ask(), TargetOutcome::UnknownAttempt);
}
