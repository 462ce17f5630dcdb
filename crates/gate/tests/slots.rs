//! Slots, connections and inherited requests.

mod common;

use common::Driver;
use common::MS;
use common::REPLICA;
use common::SECOND;
use common::answered;
use common::attempt;
use common::cold;
use common::deployment;
use common::reply;
use common::sent;
use common::warm;
use wigeonhall_gate::GateAction;
use wigeonhall_gate::GateEvent;
use wigeonhall_types::FailureReason;
use wigeonhall_types::HandOverState;
use wigeonhall_types::NodeKey;
use wigeonhall_types::SubOutcome;
use wigeonhall_types::TargetOutcome;

/// Guards against a cancelled request freeing its slot before the target stopped it.
#[test]
fn cancelled_request_keeps_its_slot() {
    let mut driver = Driver::warm(1);
    assert_eq!(sent(&driver.submit(1, SECOND)), [1]);
    let cancel = GateAction::CancelAtTarget {
        attempt: attempt(1),
        replica: REPLICA,
    };
    let actions = driver.handle(GateEvent::Cancel(attempt(1)));
    assert_eq!(actions, std::slice::from_ref(&cancel));
    assert_eq!(driver.handle(GateEvent::Cancel(attempt(1))), []);
    assert!(driver.submit(2, SECOND).is_empty());
    let actions = driver.reply(1, reply(TargetOutcome::Cancelled));
    assert_eq!(sent(&actions), [2]);
}

/// Guards against a request past its deadline keeping its caller waiting, and
/// against its slot being reused while the target still runs it.
#[test]
fn deadline_answers_but_keeps_the_slot() {
    let mut driver = Driver::warm(1);
    driver.submit(1, 50 * MS);
    let actions = driver.advance(50 * MS);
    let failed = SubOutcome::Failed {
        reason: FailureReason::DeadlineExceeded,
    };
    assert!(matches!(actions[0], GateAction::CancelAtTarget { .. }));
    assert!(matches!(&actions[1], GateAction::Respond { outcome, .. } if *outcome == failed));
    assert!(sent(&driver.submit(2, SECOND)).is_empty());
    let actions = driver.reply(1, answered());
    assert_eq!(sent(&actions), [2]);
    assert_eq!(actions.len(), 1, "a second answer: {actions:?}");
}

/// Guards against a new owner overlooking what its predecessor still runs.
#[test]
fn inherited_requests_take_slots_until_their_time_passed() {
    let state = HandOverState {
        running: 1,
        running_for_us: 40 * MS,
        ..warm()
    };
    let mut driver = Driver::new(deployment(2, cold(1, 10)), Some(state));
    assert_eq!(sent(&driver.submit(1, SECOND)), [1]);
    assert!(sent(&driver.submit(2, SECOND)).is_empty());
    assert!(sent(&driver.advance(40 * MS - 1)).is_empty());
    assert_eq!(sent(&driver.advance(40 * MS)), [2]);
}

/// Guards against a third owner overlooking what the first one still runs.
#[test]
fn inherited_requests_are_handed_on() {
    let state = HandOverState {
        running: 2,
        running_for_us: 40 * MS,
        ..warm()
    };
    let mut driver = Driver::new(deployment(2, cold(1, 10)), Some(state));
    driver.now_us = 10 * MS;
    let actions = driver.handle(GateEvent::Revoke {
        epoch: 2,
        replica: REPLICA,
        successor: Some(NodeKey(9)),
    });
    let GateAction::HandOver { state, .. } = &actions[0] else {
        panic!("{actions:?}");
    };
    assert_eq!((state.running, state.running_for_us), (2, 30 * MS));
}

/// Guards against a hand-over that omits running requests or keeps waiting ones.
#[test]
fn revoke_hands_over_the_running_count_at_once() {
    let mut driver = Driver::warm(1);
    driver.submit(1, 300 * MS);
    driver.submit(2, 300 * MS);
    let mut actions = driver.handle(GateEvent::Revoke {
        epoch: 2,
        replica: REPLICA,
        successor: Some(NodeKey(9)),
    });
    for action in &mut actions {
        if let GateAction::HandOver { state, .. } = action {
            state.served.clear();
        }
    }
    insta::assert_debug_snapshot!(actions);
    let actions = driver.reply(1, answered());
    assert!(matches!(
        actions[..],
        [GateAction::Respond { report: None, .. }]
    ));
    assert_eq!(driver.gate.open_requests(), 0);
}

/// Guards against two owners together exceeding the replica's connections.
#[test]
fn two_owners_stay_within_the_connection_limit() {
    for (slots, connections, expected) in [(2, 50, 3), (2, 4, 2), (2, 3, 1), (2, 1, 1), (8, 9, 4)] {
        let mut deployment = deployment(slots, cold(1, 10));
        deployment.replicas.get_mut(&REPLICA).unwrap().connections = connections;
        let mut driver = Driver::new(deployment, None);
        let actions = driver.handle(GateEvent::Revoke {
            epoch: 1,
            replica: REPLICA,
            successor: None,
        });
        assert_eq!(actions, [GateAction::CloseConnections(REPLICA)]);
        let actions = driver.handle(GateEvent::Grant {
            epoch: 2,
            replica: REPLICA,
            state: Some(warm()),
        });
        let open = GateAction::OpenConnections {
            count: expected,
            replica: REPLICA,
        };
        assert_eq!(actions[0], open);
        let started = (0..20).map(|it| sent(&driver.submit(it, SECOND)).len() as u32);
        assert_eq!(started.sum::<u32>(), slots.min(expected));
    }
}
