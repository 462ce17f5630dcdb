//! Lease, ownership and deployment.

mod common;

use common::Driver;
use common::MS;
use common::REPLICA;
use common::SECOND;
use common::answered;
use common::cold;
use common::deployment;
use common::probes;
use common::refused;
use common::request;
use common::sent;
use common::warm;
use std::sync::Arc;
use wigeonhall_gate::GateAction;
use wigeonhall_gate::GateEvent;
use wigeonhall_types::RefusalReason;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::ReplicaState;
use wigeonhall_types::SubRequest;

fn set_out(driver: &mut Driver, out: bool) -> Vec<GateAction> {
    let mut deployment = deployment(2, cold(2, 10));
    deployment.replicas.get_mut(&REPLICA).unwrap().out = out;
    driver.handle(GateEvent::Deployment(Arc::new(deployment)))
}

/// Guards against a start at the end of the lease or after it, and against work
/// that waits without a lease.
#[test]
fn nothing_starts_or_waits_without_a_lease() {
    let mut driver = Driver::warm(1);
    driver.handle(GateEvent::LeaseUntil(30 * MS));
    assert_eq!(sent(&driver.submit(1, SECOND)), [1]);
    driver.submit(2, SECOND);
    assert!(refused(&driver.advance(30 * MS - 1)).is_empty());
    let actions = driver.advance(30 * MS);
    assert_eq!(refused(&actions), [(2, RefusalReason::NoLease)]);
    let actions = driver.submit(3, SECOND);
    assert_eq!(refused(&actions), [(3, RefusalReason::NoLease)]);
    assert_eq!(driver.reply(1, answered()).len(), 1);
    driver.handle(GateEvent::LeaseUntil(SECOND));
    assert_eq!(sent(&driver.submit(4, SECOND)), [4]);
}

/// Guards against a paused owner: the reply that frees the slot comes before the
/// tick that would have noticed the end of the lease.
#[test]
fn reply_after_the_lease_starts_nothing() {
    let mut driver = Driver::warm(1);
    driver.handle(GateEvent::LeaseUntil(30 * MS));
    driver.submit(1, SECOND);
    driver.submit(2, SECOND);
    driver.now_us = 40 * MS;
    let actions = driver.reply(1, answered());
    assert!(sent(&actions).is_empty());
    assert_eq!(refused(&actions), [(2, RefusalReason::NoLease)]);
}

/// Guards against new work to a replica that operators took out, against ending
/// its running work, and against full load when it returns.
#[test]
fn replica_out_of_service() {
    let mut driver = Driver::warm(1);
    driver.submit(1, SECOND);
    driver.submit(2, SECOND);
    let actions = set_out(&mut driver, true);
    assert_eq!(refused(&actions), [(2, RefusalReason::Out)]);
    assert!(actions.contains(&GateAction::CloseConnections(REPLICA)));
    assert_eq!(driver.report().state, ReplicaState::Out);
    let actions = driver.submit(3, SECOND);
    assert_eq!(refused(&actions), [(3, RefusalReason::Out)]);
    assert_eq!(driver.reply(1, answered()).len(), 1);
    driver.probe_reply(answered());
    assert_eq!(probes(&driver.advance(5 * SECOND)), 0);
    let actions = set_out(&mut driver, false);
    assert_eq!(probes(&actions), 1);
    assert_eq!(driver.report().state, ReplicaState::Cold);
    for it in 4..6 {
        assert_eq!(
            sent(&driver.submit(it, 9 * SECOND)),
            [it],
            "below the bound"
        );
    }
}

/// Guards against a deployment that arrives late reverting a newer one.
#[test]
fn older_deployment_is_ignored() {
    let mut driver = Driver::warm(1);
    let mut older = deployment(9, cold(1, 10));
    older.generation = 0;
    driver.handle(GateEvent::Deployment(Arc::new(older)));
    assert_eq!(driver.gate.counters().stale_deployments, 1);
    assert_eq!(sent(&driver.submit(1, SECOND)), [1]);
    assert!(sent(&driver.submit(2, SECOND)).is_empty());
}

/// Guards against answering for a replica that another node owns.
#[test]
fn replica_that_is_not_owned() {
    let mut driver = Driver::warm(1);
    let revoke = GateEvent::Revoke {
        epoch: 3,
        replica: REPLICA,
        successor: None,
    };
    driver.handle(revoke);
    let actions = driver.submit(1, SECOND);
    assert_eq!(refused(&actions), [(1, RefusalReason::NotOwner)]);
    assert!(matches!(
        actions[0],
        GateAction::Respond { report: None, .. }
    ));
    let unknown = SubRequest {
        replica: ReplicaKey(5),
        ..request(2, SECOND)
    };
    let actions = driver.handle(GateEvent::Submit(unknown));
    assert_eq!(refused(&actions), [(2, RefusalReason::UnknownReplica)]);
}

/// Guards against a message that is repeated or late taking a replica away or
/// resetting what is known of it.
#[test]
fn stale_ownership_is_ignored() {
    let mut driver = Driver::new(deployment(1, cold(1, 10)), Some(warm()));
    driver.handle(GateEvent::Grant {
        epoch: 4,
        replica: REPLICA,
        state: None,
    });
    driver.handle(GateEvent::Revoke {
        epoch: 3,
        replica: REPLICA,
        successor: None,
    });
    assert_eq!(driver.report().epoch, 4);
    assert_eq!(driver.report().state, ReplicaState::Warm);
    assert_eq!(driver.gate.counters().stale_ownership, 1);
}
