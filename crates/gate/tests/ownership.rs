//! Tests the effects of the lease, of grants and revocations, and of deployments.
//!
//! `Driver::new` takes the slots, the cold bound `cold(slots, requests_per_s)` and the state that
//! a previous owner handed over. In scripts (see `common`), times are in ms: `at` advances with
//! ticks and `skip` without; `submit IDS DEADLINE` sends requests; `reply` and `probed` deliver
//! the target's reply to a request and to a probe.

mod common;

use insta::assert_snapshot;

use common::Driver;
use common::REPLICA;
use common::cold;
use common::warm;

/// Guards against a start at or after the end of the lease, and against sub-requests that wait
/// without a lease.
#[test]
fn nothing_starts_or_waits_without_a_lease() {
    let script = "lease 30\n submit 1..3 1000\n at 29.999\n at 30\n submit 3 1000
        reply 1 ok\n lease 1000\n submit 4 1000";
    assert_snapshot!(Driver::warm(1).run(script));
}

/// Guards against starts by an owner that was paused: the reply that frees the slot arrives
/// before the tick that would notice the end of the lease.
#[test]
fn reply_after_the_end_of_the_lease_starts_nothing() {
    let script = "lease 30\n submit 1..3 1000\n skip 40\n reply 1 ok";
    assert_snapshot!(Driver::warm(1).run(script));
}

/// Guards against new requests to a replica that operators took out of service, against ending
/// its running requests, and against a return above or below the cold bound.
#[test]
fn replica_out_of_service_gets_no_work() {
    let mut driver = Driver::new(3, cold(2, 10), Some(warm()));
    driver.run("probed ok\n submit 1..5 1000");
    driver.deployment.replicas.get_mut(&REPLICA).unwrap().out = true;
    let script = "deploy\n report\n submit 5 1000\n reply 1..4 ok\n at 5000";
    let mut log = driver.run(script);
    driver.deployment.replicas.get_mut(&REPLICA).unwrap().out = false;
    log += &driver.run("deploy\n report\n submit 6..9 9000");
    assert_snapshot!(log);
}

/// Guards against an older deployment that arrives late and replaces a newer one.
#[test]
fn older_deployment_is_ignored() {
    let mut driver = Driver::warm(1);
    driver.deployment = common::deployment(9, cold(1, 10));
    driver.deployment.generation = 0;
    assert_snapshot!(driver.run("deploy\n submit 1..3 1000"));
    assert_eq!(driver.gate.counters().stale_deployments, 1);
}

/// Guards against the start of a request to a replica that another node owns.
#[test]
fn request_for_a_replica_that_is_not_owned_is_refused() {
    let script = "revoke 3\n submit 1 1000\n submit 2 1000 r5";
    assert_snapshot!(Driver::warm(1).run(script));
}

/// Guards against a repeated or late message that revokes a replica or resets its state.
#[test]
fn stale_ownership_is_ignored() {
    let mut driver = Driver::warm(1);
    assert_snapshot!(driver.run("grant 4\n revoke 3\n report"));
    assert_eq!(driver.gate.reports(0)[0].1.epoch, 4);
    assert_eq!(driver.gate.counters().stale_ownership, 1);
}
