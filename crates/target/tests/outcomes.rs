//! Mapping of target replies to outcomes.

mod common;

use std::net::SocketAddr;

use common::Fixture;
use common::LONG_TIMEOUT_US;
use common::REPLICA;
use common::read;
use common::request_id;
use common::wait_until;
use common::write;
use wigeonhall_standins::HealthFreshness;
use wigeonhall_standins::TargetSettings;
use wigeonhall_standins::rows_in_range;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::KeyRange;
use wigeonhall_types::ServedVersion;
use wigeonhall_types::TargetOutcome;

/// Guards against rows of another version, or of keys that the target does not hold.
#[test]
fn answer_has_the_rows_of_the_requested_version() {
    let held = KeyRange {
        start: 1 << 30,
        end: 1 << 31,
    };
    let served = vec![ServedVersion {
        ranges: vec![held],
        version: IndexVersion(1),
    }];
    let fixture = Fixture::start(TargetSettings {
        versions: served.clone(),
        ..TargetSettings::default()
    });
    // Adds version 2 and keeps the newest two versions.
    fixture.target.roll_version(IndexVersion(2), 2);
    let reply = fixture.send_and_wait(&read(1, 0, 3 << 29), LONG_TIMEOUT_US);
    let range = KeyRange {
        start: 1 << 30,
        end: 3 << 29,
    };
    // The default row spacing is 1 << 24.
    let rows = rows_in_range(range, IndexVersion(1), 1 << 24);
    assert_eq!(rows.len(), 32);
    let expected = TargetOutcome::Answered {
        ranges: vec![range],
        rows,
        version: IndexVersion(1),
    };
    assert_eq!(reply.outcome, expected);
    assert_eq!(reply.instance, Some(fixture.target.instance()));
    assert_eq!(reply.served.len(), 2);
    assert_eq!(reply.served[0], served[0]);
}

/// Guards against a request for a retired version that the target runs or that is reported as
/// run.
#[test]
fn retired_version_is_gone_and_not_run() {
    let fixture = Fixture::start(TargetSettings::default());
    // Adds version 2 and keeps only the newest version.
    fixture.target.roll_version(IndexVersion(2), 1);
    let reply = fixture.send_and_wait(&write(1), LONG_TIMEOUT_US);
    assert_eq!(reply.outcome, TargetOutcome::VersionGone);
    assert_eq!(reply.served[0].version, IndexVersion(2));
    assert_eq!(fixture.target.executions(&request_id(1)), 0);
}

/// Guards against a request that is reported as run although the target refused it while
/// draining or shed it, and against a drain that interrupts a running request.
#[test]
fn draining_and_shedding_targets_run_no_new_request() {
    let fixture = Fixture::start(TargetSettings::default());
    fixture.target.set_hanging(true);
    let running = fixture.send(&write(1), LONG_TIMEOUT_US);
    wait_until(|| fixture.target.counts().running == 1);
    fixture.target.set_draining(true);
    let outcome = fixture.send_and_wait(&write(2), LONG_TIMEOUT_US).outcome;
    assert_eq!(outcome, TargetOutcome::Draining);
    assert_eq!(fixture.probe().outcome, TargetOutcome::Draining);
    fixture.target.set_hanging(false);
    let outcome = running.recv().unwrap().outcome;
    assert!(
        matches!(outcome, TargetOutcome::Answered { .. }),
        "{outcome:?}"
    );
    fixture.target.set_shedding(true);
    let outcome = fixture.send_and_wait(&write(3), LONG_TIMEOUT_US).outcome;
    assert!(matches!(outcome, TargetOutcome::Shed { .. }), "{outcome:?}");
    let executions = [1, 2, 3].map(|it| fixture.target.executions(&request_id(it)));
    assert_eq!(executions, [1, 0, 0]);
    let counts = fixture.target.counts();
    assert_eq!((counts.refused_draining, counts.shed), (1, 1));
    assert_eq!(fixture.pool.counters().broken, 0);
}

/// Guards against taking the reply to one request for the reply to another.
#[test]
fn misdirected_reply_is_a_bad_reply() {
    let fixture = Fixture::start(TargetSettings::default());
    fixture.target.misdirect_replies(1);
    let reply = fixture.send_and_wait(&read(1, 0, 1), LONG_TIMEOUT_US);
    assert_eq!(reply.outcome, TargetOutcome::BadReply);
    assert_eq!(reply.instance, None);
    wait_until(|| fixture.pool.counters().discarded == 1);
    assert_eq!(fixture.pool.counters().broken, 0);
    let outcome = fixture
        .send_and_wait(&read(2, 0, 1), LONG_TIMEOUT_US)
        .outcome;
    assert!(
        matches!(outcome, TargetOutcome::Answered { .. }),
        "{outcome:?}"
    );
}

/// Guards against a request that waits for its whole timeout although nothing listens at the
/// address, and against a request that gets no reply.
#[test]
fn unreachable_target_is_reported_as_unreachable() {
    let fixture = Fixture::start(TargetSettings::default());
    let unused_address = SocketAddr::from(([127, 0, 0, 9], 1));
    fixture.pool.open(REPLICA, unused_address, 3);
    let outcome = fixture.send_and_wait(&write(1), LONG_TIMEOUT_US).outcome;
    assert_eq!(outcome, TargetOutcome::Unreachable);
    assert!(fixture.pool.counters().connect_failures > 0);
    assert_eq!(fixture.probe().outcome, TargetOutcome::Unreachable);
    fixture.pool.close(REPLICA);
    let outcome = fixture.send_and_wait(&write(2), LONG_TIMEOUT_US).outcome;
    assert_eq!(outcome, TargetOutcome::Unreachable);
    assert_eq!(fixture.target.counts().requests, 0);
}

/// Guards against a stand-in whose health endpoint is more reliable than the platform's,
/// which may be stale or wrong.
#[test]
fn stand_in_health_can_be_stale_or_wrong() {
    let fixture = Fixture::start(TargetSettings::default());
    // The health endpoint keeps reporting the state at the start, before any change.
    fixture
        .target
        .set_health(HealthFreshness::Frozen { changes: 0 });
    fixture.target.set_draining(true);
    let outcome = fixture.probe().outcome;
    assert!(
        matches!(outcome, TargetOutcome::Answered { .. }),
        "{outcome:?}"
    );
    let hour_us = 3_600_000_000;
    fixture
        .target
        .set_health(HealthFreshness::Lagging { lag_us: hour_us });
    let outcome = fixture.probe().outcome;
    assert!(
        matches!(outcome, TargetOutcome::Answered { .. }),
        "{outcome:?}"
    );
    fixture.target.set_health(HealthFreshness::Current);
    assert_eq!(fixture.probe().outcome, TargetOutcome::Draining);
}
