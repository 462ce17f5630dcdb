//! Tests the state that a new owner restores, and the end of requests without a reply.
//!
//! `Driver::new` takes the slots, the cold bound `cold(slots, requests_per_s)` and the state that
//! a previous owner handed over. In scripts (see `common`), times are in ms: `at` advances with
//! ticks and `skip` without; `submit IDS DEADLINE` sends requests; `reply` and `probed` deliver
//! the target's reply to a request and to a probe; `end` delivers its reply to a poll whether a
//! request still runs (`cancelled`: it does, `unknown`: it does not).

mod common;

use insta::assert_snapshot;

use common::Driver;
use common::REPLICA;
use common::cold;
use wigeonhall_gate::GateAction;
use wigeonhall_gate::GateEvent;
use wigeonhall_types::HandOverState;
use wigeonhall_types::NodeKey;

/// Revokes the replica and returns the state that is sent to the new owner.
fn revoke(driver: &mut Driver) -> HandOverState {
    let mut actions = Vec::new();
    let event = GateEvent::Revoke {
        epoch: 2,
        replica: REPLICA,
        successor: Some(NodeKey(9)),
    };
    driver.gate.handle(driver.now_us, event, &mut actions);
    let states = actions.into_iter().filter_map(|it| match it {
        GateAction::HandOver { state, .. } => Some(state),
        _ => None,
    });
    states.last().expect("a hand-over")
}

/// Guards against a new owner that restarts an unfinished round (the replies after which the
/// limits of a cold replica double), or that starts more requests in a second than the rate
/// together with the previous owner.
#[test]
fn new_owner_continues_an_unfinished_round() {
    let mut old = Driver::new(8, cold(1, 4), None);
    let mut log = old.run(
        "submit 1 9000\n reply 1 ok\n skip 300\n submit 2 9000\n reply 2 ok\n skip 600
        submit 3 9000\n reply 3 ok\n skip 700\n submit 4 9000\n reply 4 ok\n report",
    );
    let mut new = Driver {
        deployment: old.deployment.clone(),
        ..Driver::default()
    };
    // Later than the starts of the previous owner by the clock of this node.
    new.run("deploy\n lease 3600000\n skip 2000");
    new.handle(GateEvent::Grant {
        epoch: 2,
        replica: REPLICA,
        state: Some(revoke(&mut old)),
    });
    log += "-- new owner\n";
    log += &new.run(
        "probed ok\n submit 11 9000\n submit 12 9000\n at 2374.999\n at 2376\n reply 11 ok
        submit 13 9000\n at 3000\n submit 14 9000",
    );
    assert_snapshot!(log);
}

/// Guards against a new owner that sends requests to a target which the previous owner knew to
/// be draining, and against a target that is never used again.
#[test]
fn leaving_state_is_handed_over() {
    let mut old = Driver::warm(2);
    let mut log = old.run("submit 1 1000\n reply 1 draining");
    let mut new = Driver::new(2, cold(1, 10), Some(revoke(&mut old)));
    log += "-- new owner\n";
    log += &new.run("submit 2 1000\n report\n probed draining\n submit 3 9000\n at 1000");
    log += &new.run("probed ok\n submit 4 9000");
    assert_snapshot!(log);
}

/// Guards against a slot that is reused while the target still runs a request past its
/// deadline, and against polls that never end.
#[test]
fn request_without_a_reply_keeps_its_slot() {
    let script = "submit 1 50\n at 50\n reply 1 timeout\n submit 2 1000\n end 1 cancelled
        at 60\n end 1 lost\n end 1 unreachable\n end 7 unknown\n end 1 unknown\n reply 2 ok";
    assert_snapshot!(Driver::warm(1).run(script));
}

/// Guards against a slot that is never freed when a target does not answer polls about a
/// request, and against a slot that is freed while the target says that the request runs. The
/// timeout is 10 s after the last such reply.
#[test]
fn slot_is_freed_after_the_unconfirmed_timeout() {
    let mut driver = Driver::warm(1);
    driver.run("submit 1 50\n at 50\n reply 1 timeout\n at 5000\n end 1 cancelled");
    driver.run("at 14999\n submit 2 90000");
    assert_eq!(driver.gate.replica_loads(driver.now_us)[0].running, 1);
    driver.run("at 15000");
    assert_eq!(driver.gate.counters().ends_given_up, 1);
    assert_eq!(driver.gate.counters().ends_unproved, 1);
}
