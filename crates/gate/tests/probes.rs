//! Probes, unreachable targets and draining targets.

mod common;

use common::Driver;
use common::MS;
use common::SECOND;
use common::answered;
use common::answered_by;
use common::cold;
use common::deployment;
use common::probes;
use common::refused;
use common::reply;
use common::sent;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::RefusalReason;
use wigeonhall_types::ReplicaState;
use wigeonhall_types::TargetOutcome;
use wigeonhall_types::TargetReply;

/// Guards against an idle replica whose versions are unknown, and against probes
/// of a busy one.
#[test]
fn idle_replica_is_probed_every_second() {
    let mut driver = Driver::new(deployment(2, cold(2, 10)), None);
    driver.probe_reply(answered());
    assert_eq!(driver.report().served[0].version, IndexVersion(7));
    let mut times_ms = Vec::new();
    for step in 1..=40 {
        if probes(&driver.advance(step * 100 * MS)) > 0 {
            times_ms.push(driver.now_us / MS);
            driver.probe_reply(answered());
        }
        if (21..=25).contains(&step) {
            driver.submit(step, SECOND * 9);
            driver.reply(step, answered());
        }
    }
    assert_eq!(times_ms, [1000, 2000, 3500]);
}

/// Guards against an unreachable target being flooded with probes or work, and
/// against full load right after it returns.
#[test]
fn unreachable_backs_off_and_returns_cold() {
    let mut driver = Driver::warm(2);
    driver.probe_reply(answered());
    for it in 1..=3 {
        driver.submit(it, 99 * SECOND);
    }
    let unreachable = || reply(TargetOutcome::Unreachable);
    let actions = driver.reply(1, unreachable());
    let expected = [
        (1, RefusalReason::Unreachable),
        (3, RefusalReason::Unreachable),
    ];
    assert_eq!(refused(&actions), expected);
    assert_eq!(driver.report().state, ReplicaState::Unreachable);
    assert_eq!(driver.report().expected_wait_us, 50 * MS);
    let mut delays_ms = Vec::new();
    for _ in 0..8 {
        let due_us = driver.gate.next_wake_us().unwrap();
        delays_ms.push((due_us - driver.now_us) / MS);
        driver.advance(due_us);
        driver.probe_reply(unreachable());
    }
    driver.reply(2, answered());
    assert_eq!(refused(&driver.submit(4, 99 * SECOND)).len(), 1);
    let due_us = driver.gate.next_wake_us().unwrap();
    assert_eq!(probes(&driver.advance(due_us)), 1);
    driver.probe_reply(answered());
    assert_eq!(driver.report().state, ReplicaState::Cold);
    insta::assert_debug_snapshot!(delays_ms);
}

/// Guards against new work to a draining target, also when a probe that was
/// answered before the drain arrives late.
#[test]
fn draining_target_gets_no_work_until_a_probe_shows_otherwise() {
    for (after, state) in [
        (answered_by(1), ReplicaState::Warm),
        (answered_by(2), ReplicaState::Cold),
    ] {
        let mut driver = Driver::warm(1);
        driver.submit(1, SECOND);
        driver.submit(2, SECOND);
        let actions = driver.reply(1, reply(TargetOutcome::Draining));
        let expected = [(1, RefusalReason::Leaving), (2, RefusalReason::Leaving)];
        assert_eq!(refused(&actions), expected);
        let actions = driver.probe_reply(answered());
        assert_eq!(probes(&actions), 1);
        assert_eq!(driver.report().state, ReplicaState::Leaving);
        driver.probe_reply(reply(TargetOutcome::Draining));
        let actions = driver.submit(3, 9 * SECOND);
        assert_eq!(refused(&actions), [(3, RefusalReason::Leaving)]);
        assert_eq!(probes(&driver.advance(SECOND)), 1);
        driver.probe_reply(after);
        assert_eq!(driver.report().state, state);
        driver.advance(SECOND + MS);
        assert_eq!(sent(&driver.submit(4, 9 * SECOND)), [4]);
    }
}

/// Guards against a target that accepts connections but never replies looking
/// usable, and against one lost probe making a replica cold.
#[test]
fn two_unanswered_probes_make_unreachable() {
    let mut driver = Driver::warm(1);
    let silent = || TargetReply {
        instance: None,
        outcome: TargetOutcome::DeadlineExceeded,
        served: Vec::new(),
    };
    driver.probe_reply(silent());
    assert_eq!(driver.report().state, ReplicaState::Warm);
    assert_eq!(probes(&driver.advance(50 * MS)), 1);
    driver.probe_reply(silent());
    assert_eq!(driver.report().state, ReplicaState::Unreachable);
}

/// Guards against a restart seen only by a probe from before the cold start, and
/// against late replies of the replaced process being taken for another restart.
#[test]
fn unseen_identity_counts_in_any_reply() {
    let mut driver = Driver::warm(4);
    for it in 1..4 {
        driver.submit(it, SECOND);
    }
    driver.reply(1, reply(TargetOutcome::ConnectionLost));
    driver.probe_reply(answered_by(2));
    driver.reply(2, answered_by(1));
    driver.reply(3, reply(TargetOutcome::Draining));
    assert_eq!(driver.gate.counters().cold_instance, 1);
    assert_eq!(driver.report().state, ReplicaState::Cold);
}

/// Guards against requests that time out keeping a silent target from its probe,
/// and against ignoring the refused connection of a probe given up as lost.
#[test]
fn silent_target_is_probed() {
    let mut driver = Driver::warm(1);
    driver.probe_reply(answered());
    driver.submit(1, 900 * MS);
    driver.advance(900 * MS);
    driver.reply(1, reply(TargetOutcome::DeadlineExceeded));
    assert_eq!(probes(&driver.advance(SECOND)), 1);
    driver.advance(6 * SECOND);
    assert_eq!(driver.report().state, ReplicaState::Warm);
    driver.probe_reply(reply(TargetOutcome::Unreachable));
    assert_eq!(driver.report().state, ReplicaState::Unreachable);
}
