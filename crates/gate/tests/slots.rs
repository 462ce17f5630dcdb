//! Tests slots, connections and the requests of a previous owner.
//!
//! `Driver::new` takes the slots, the cold bound `cold(slots, requests_per_s)` and the state that
//! a previous owner handed over. In scripts (see `common`), times are in ms: `at` advances with
//! ticks and `skip` without; `submit IDS DEADLINE` sends requests; `reply` delivers the target's
//! reply to a request; `end` delivers its reply to a poll whether a request still runs
//! (`cancelled`: it does, `unknown`: it does not).

mod common;

use insta::assert_snapshot;

use common::Driver;
use common::MS;
use common::REPLICA;
use common::attempt;
use common::cold;
use common::warm;
use wigeonhall_types::HandOverState;
use wigeonhall_types::HandedOverRequest;

/// Creates a gate to which a previous owner handed over `running` requests, with ids from 900
/// and deadlines in 40 ms.
fn with_handed_over(running: u64) -> Driver {
    let running = (0..running).map(|it| HandedOverRequest {
        attempt: attempt(900 + it),
        remaining_us: 40 * MS,
    });
    let state = HandOverState {
        running: running.collect(),
        ..warm()
    };
    Driver::new(2, cold(1, 10), Some(state))
}

/// Guards against a cancelled request whose slot is freed before the target stopped it, and
/// against a second cancellation at the target.
#[test]
fn cancelled_request_keeps_its_slot() {
    let script = "submit 1 1000\n cancel 1\n cancel 1\n submit 2 1000\n reply 1 cancelled";
    assert_snapshot!(Driver::warm(1).run(script));
}

/// Guards against a caller that waits past its deadline, against a slot that is reused while
/// the target still runs the request, and against a second answer.
#[test]
fn request_past_its_deadline_is_answered_but_keeps_its_slot() {
    let script = "submit 1 50\n at 49.999\n at 50\n submit 2 1000\n reply 1 ok";
    assert_snapshot!(Driver::warm(1).run(script));
}

/// Guards against a new owner that does not count the running requests of the previous owner.
#[test]
fn handed_over_requests_occupy_slots_until_their_end_is_confirmed() {
    assert_snapshot!(
        with_handed_over(1).run(
            "submit 1..3 1000\n at 39.999\n at 40\n end 900 cancelled\n at 45\n end 900 unknown"
        )
    );
}

/// Guards against a third owner that does not count the running requests of the first one.
#[test]
fn handed_over_requests_are_handed_over_again() {
    assert_snapshot!(with_handed_over(2).run("skip 10\n revoke 2 9"));
}

/// Guards against a hand-over that omits running requests or keeps waiting ones.
#[test]
fn revoke_hands_over_running_requests_at_once() {
    let mut driver = Driver::warm(1);
    assert_snapshot!(driver.run("submit 1..3 300\n revoke 2 9\n reply 1 ok"));
    assert_eq!(driver.gate.open_request_count(), 0);
}

/// Guards against two owners that together exceed the connection limit of the replica, and
/// against more running requests than connections.
#[test]
fn two_owners_stay_within_the_connection_limit() {
    let mut log = String::new();
    for (slots, connections) in [(2, 50), (2, 4), (2, 3), (2, 1), (8, 9)] {
        let mut driver = Driver::new(slots, cold(slots, 99), None);
        let replica = driver.deployment.replicas.get_mut(&REPLICA);
        replica.unwrap().connections = connections;
        driver.run("deploy\n revoke 1");
        log += &driver.run("grant 2\n submit 0..20 1000");
    }
    assert_snapshot!(log);
}
