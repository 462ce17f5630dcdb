//! Deadlines and late replies.

mod common;

use common::Fixture;
use common::LONG_TIMEOUT_US;
use common::answered_range;
use common::read;
use common::wait_until;
use wigeonhall_standins::TargetSettings;
use wigeonhall_types::KeyRange;
use wigeonhall_types::TargetOutcome;

/// Timeout that expires during a test, but not before a request is sent on a busy machine.
const SHORT_TIMEOUT_US: u64 = 1_000_000;

/// Guards against a request that never ends because the target does not reply.
#[test]
fn request_without_reply_ends_at_the_deadline_and_closes_the_connection() {
    let fixture = Fixture::start(TargetSettings::default());
    fixture.target.set_hanging(true);
    let reply = fixture.send_and_wait(&read(1, 0, 1), SHORT_TIMEOUT_US);
    assert_eq!(reply.outcome, TargetOutcome::DeadlineExceeded);
    assert_eq!(reply.instance, None);
    wait_until(|| fixture.target.counts().requests == 1);
    wait_until(|| fixture.pool.counters().discarded == 1);
    assert_eq!(fixture.pool.counters().broken, 0);
    fixture.target.set_hanging(false);
}

/// Guards against a waiting request that ends as unreachable because the reply to the request
/// before it was late.
#[test]
fn waiting_request_survives_a_discarded_connection() {
    let fixture = Fixture::start(TargetSettings {
        connections: 2,
        ..TargetSettings::default()
    });
    fixture.target.set_hanging(true);
    let late = fixture.send(&read(1, 0, 1), SHORT_TIMEOUT_US);
    let waiting = fixture.send(&read(2, 0, 1), LONG_TIMEOUT_US);
    let outcome = late.recv().unwrap().outcome;
    assert_eq!(outcome, TargetOutcome::DeadlineExceeded);
    fixture.target.set_hanging(false);
    let outcome = waiting.recv().unwrap().outcome;
    assert!(
        matches!(outcome, TargetOutcome::Answered { .. }),
        "{outcome:?}"
    );
}

/// Guards against a target that runs a request past its deadline because the client did not
/// send the remaining time.
#[test]
fn target_stops_at_the_deadline() {
    let fixture = Fixture::start(TargetSettings {
        service_us: LONG_TIMEOUT_US,
        ..TargetSettings::default()
    });
    let reply = fixture.send_and_wait(&read(1, 0, 1), SHORT_TIMEOUT_US);
    assert_eq!(reply.outcome, TargetOutcome::DeadlineExceeded);
    wait_until(|| fixture.target.counts().deadline_exceeded == 1);
    assert_eq!(fixture.target.counts().running, 0);
}

/// Guards against a request that is sent after its timeout.
#[test]
fn expired_waiting_request_is_not_sent() {
    let fixture = Fixture::start(TargetSettings::default());
    fixture.target.set_hanging(true);
    let running = [1, 2].map(|it| fixture.send(&read(it, 0, 1), LONG_TIMEOUT_US));
    wait_until(|| fixture.target.counts().running == 2);
    let outcome = fixture.send_and_wait(&read(3, 0, 1), 20_000).outcome;
    assert_eq!(outcome, TargetOutcome::Unreachable);
    fixture.target.set_hanging(false);
    for reply in running {
        reply.recv().unwrap();
    }
    assert_eq!(fixture.target.counts().requests, 2);
}

/// Guards against a late reply that is delivered to a later request. With these timeouts, many
/// replies are late.
#[test]
fn late_reply_is_not_delivered_to_another_request() {
    let fixture = Fixture::start(TargetSettings {
        jitter_us: 2_000,
        seed: 11,
        service_us: 500,
        ..TargetSettings::default()
    });
    let mut random = fastrand::Rng::with_seed(12);
    for round in 0..100 {
        let replies = (0..3)
            .map(|it| {
                let start = (round * 3 + it) * 10;
                let timeout_us = random.u64(500..6_000);
                let sub = read(round * 3 + it, start, start + 10);
                (start, fixture.send(&sub, timeout_us))
            })
            .collect::<Vec<_>>();
        for (start, reply) in replies {
            let reply = reply.recv().unwrap();
            if let Some(range) = answered_range(&reply) {
                let end = start + 10;
                assert_eq!(range, KeyRange { start, end });
            }
        }
    }
    let counts = fixture.target.counts();
    assert_eq!(counts.connections_over_limit, 0);
    assert!(counts.max_connections <= 3);
}
