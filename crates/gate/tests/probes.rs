//! Tests probes, unreachable targets and draining targets.
//!
//! `Driver::new` takes the slots, the cold bound `cold(slots, requests_per_s)` and the state that
//! a previous owner handed over. In scripts (see `common`), times are in ms: `at` advances with
//! ticks; `submit IDS DEADLINE` sends requests; `reply` and `probed` deliver the target's reply to
//! a request and to a probe; `@2` states its instance.

mod common;

use insta::assert_snapshot;

use common::Driver;
use common::cold;

/// Guards against an idle replica whose versions are not updated, and against probes of a busy
/// one.
#[test]
fn idle_replica_is_probed_every_second() {
    let mut driver = Driver::new(2, cold(2, 10), None);
    let script = "probed ok\n at 1000\n probed ok\n at 2000\n probed ok
        at 2500\n submit 1 9000\n reply 1 ok\n at 4000";
    assert_snapshot!(driver.run(script));
    assert_eq!(driver.gate.reports(0)[0].1.served, common::served());
}

/// Guards against too many probes of an unreachable target or requests to it, and against full
/// load right after it returns.
#[test]
fn unreachable_replica_backs_off_and_returns_cold() {
    let mut driver = Driver::warm(3);
    let script = "probed ok\n submit 1..5 99000\n reply 1 unreachable\n reply 3 unreachable
        report";
    let mut log = driver.run(script);
    for _ in 0..8 {
        let due_us = driver.gate.next_wake_us().unwrap();
        log += &driver.run(&format!("at {}\n probed unreachable", due_us / 1_000));
    }
    let script = "reply 2 ok\n submit 5 99000\n at 20000\n probed ok\n report";
    assert_snapshot!(log + &driver.run(script));
}

/// Guards against new requests to a draining target, even if a probe that was answered before
/// the drain arrives late.
#[test]
fn draining_target_gets_no_work_until_a_probe_succeeds() {
    for instance in 1..3 {
        let script = format!(
            "submit 1..3 1000\n reply 1 draining\n report\n probed ok\n report
            probed draining\n submit 3 9000\n at 1000\n probed ok@{instance}\n report
            at 1001\n submit 4 9000"
        );
        assert_snapshot!(Driver::warm(1).run(&script));
    }
}

/// Guards against a target that counts as usable although it accepts connections and never
/// replies, and against one lost probe that makes a replica cold.
#[test]
fn two_unanswered_probes_make_a_replica_unreachable() {
    let script = "probed timeout\n report\n at 50\n probed timeout\n report";
    assert_snapshot!(Driver::warm(1).run(script));
}

/// Guards against ignoring a restart that only the reply to a probe sent before the replica
/// became cold shows, and against late replies of the replaced process that are taken for another
/// restart.
#[test]
fn unseen_identity_counts_even_in_an_outdated_reply() {
    let mut driver = Driver::warm(4);
    let script = "submit 1..4 1000\n reply 1 lost\n probed ok@2\n reply 2 ok@1
        reply 3 draining@1\n report";
    assert_snapshot!(driver.run(script));
    assert_eq!(driver.gate.counters().cold_instance, 1);
}

/// Guards against timed-out requests that postpone the probe of a silent target, and against
/// ignoring the refused connection of a probe that already counts as lost.
#[test]
fn silent_target_is_probed() {
    let script = "probed ok\n submit 1 900\n at 900\n reply 1 timeout\n at 1000
        at 6000\n report\n probed unreachable\n report";
    assert_snapshot!(Driver::warm(1).run(script));
}
