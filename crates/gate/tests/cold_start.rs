//! Tests the limits of a cold replica, the ramp that raises them and the causes of a cold start.
//!
//! `Driver::new` takes the slots, the cold bound `cold(slots, requests_per_s)` and the state that
//! a previous owner handed over. In scripts (see `common`), times are in ms: `at` advances with
//! ticks and `skip` without; `submit IDS DEADLINE` sends requests; `reply` and `end` deliver the
//! target's reply to a request and to a poll whether it still runs; `@2` states its instance;
//! `report` logs the load that the gate reports for the replica.
//!
//! The cold bound limits both the concurrency and the rate; level 0 of the ramp is the bound. A
//! round is the successful replies after which the ramp doubles the limits, and a step the time
//! between two changes of them.

mod common;

use insta::assert_snapshot;

use common::Driver;
use common::MS;
use common::SECOND;
use common::cold;
use common::warm;
use wigeonhall_types::HandOverState;
use wigeonhall_types::RampState;
use wigeonhall_types::RoundState;

/// Serves sub-requests one after the other, each in `service_ms`.
fn serve(driver: &mut Driver, ids: std::ops::Range<u64>, service_ms: u64) -> String {
    let serve_one = |id| {
        let end_ms = driver.now_us / MS + service_ms;
        driver.run(&format!(
            "submit {id} 99000\n skip {end_ms}\n reply {id} ok"
        ))
    };
    ids.map(serve_one).collect()
}

/// Guards against a cold replica with more running requests than its limit, and against a ramp
/// that doubles before a full round of successful replies.
#[test]
fn ramp_doubles_after_each_full_round() {
    let mut driver = Driver::new(8, cold(2, 3), None);
    let mut log = String::new();
    for id in 0..10 {
        log += &serve(&mut driver, id..id + 1, 1_000);
        log += &driver.run("report");
    }
    assert_snapshot!(log);
}

/// Guards against more starts than the configured rate in any second. One reply is not a full
/// round, which takes the 3 replies that the rate allows in a second, so the cold bound stays
/// in force.
#[test]
fn starts_stay_within_the_rate_in_any_second() {
    let mut driver = Driver::new(64, cold(1, 3), None);
    serve(&mut driver, 0..1, 900);
    let mut starts_us = vec![0];
    let mut log = driver.run("submit 1..21 60000");
    loop {
        while let Some((_, start)) = log.split_once("send ") {
            starts_us.push(driver.now_us);
            let id = start.split(|it: char| !it.is_numeric()).next().unwrap();
            log = format!("{start}{}", driver.run(&format!("reply {id} cancelled")));
        }
        let wake_us = driver.gate.next_wake_us().unwrap();
        if wake_us >= 5 * SECOND {
            break;
        }
        log = driver.run(&format!("at {}", wake_us as f64 / 1e3));
    }
    // 3 starts a second for 5 s.
    assert_eq!(starts_us.len(), 15);
    for starts_us in starts_us.windows(4) {
        assert!(starts_us[3] - starts_us[0] > SECOND, "{starts_us:?}");
    }
}

/// Guards against a ramp that ignores shed requests. Those of one step halve the limits once, so
/// 2 of 4 requests may still run at once.
#[test]
fn sheds_in_one_step_halve_the_ramp_once() {
    let mut driver = Driver::new(16, cold(4, 100), None);
    let script = "submit 0..4 1000\n reply 0..2 shed\n reply 2..4 ok\n submit 4..10 1000";
    assert_snapshot!(driver.run(script));
    assert_eq!(driver.gate.counters().ramp_halved, 1);
}

/// Guards against replies to requests sent before a restart that advance the ramp, and against
/// a restart that is not noticed.
#[test]
fn replies_from_before_a_restart_do_not_advance_the_ramp() {
    let mut driver = Driver::warm(8);
    let script = "submit 0..8 9000\n at 2000\n reply 0 ok@2\n report\n submit 8..10 9000
        reply 1..7 ok\n reply 7 ok@2\n report\n reply 8 ok@2\n report";
    assert_snapshot!(driver.run(script));
    assert_eq!(driver.gate.counters().cold_instance, 1);
}

/// Guards against full load on a replica whose connections were reset.
#[test]
fn connection_loss_restarts_the_ramp() {
    let mut driver = Driver::warm(4);
    let script = "submit 0..4 9000\n at 2000\n reply 0..4 lost\n report\n submit 4..8 9000
        end 0 unknown\n end 1 unknown\n end 2 unknown\n end 3 unknown";
    assert_snapshot!(driver.run(script));
    assert_eq!(driver.gate.counters().cold_connection_lost, 1);
}

/// Guards against more starts than the cold rate at a target whose restart was noticed late:
/// the starts of the last second may have gone to the new process.
#[test]
fn starts_before_a_noticed_restart_count_against_the_rate() {
    let mut driver = Driver::new(8, cold(8, 10), Some(warm()));
    driver.run("at 2000");
    serve(&mut driver, 0..9, 10);
    let script = "submit 9 9000\n reply 9 ok@2\n submit 10..20 9000\n at 3000\n at 3000.001";
    assert_snapshot!(driver.run(script));
}

/// Guards against a single straggler that is taken for a restart, and against a sustained
/// latency jump that is not noticed.
#[test]
fn only_a_sustained_latency_jump_restarts_the_ramp() {
    let mut driver = Driver::warm(2);
    serve(&mut driver, 0..20, 10);
    for id in 0..5 {
        serve(&mut driver, 100 + 10 * id..102 + 10 * id, 200);
        serve(&mut driver, 105 + 10 * id..106 + 10 * id, 10);
    }
    let warm = driver.run("report");
    serve(&mut driver, 200..203, 200);
    assert_snapshot!(warm + &driver.run("report"));
    assert_eq!(driver.gate.counters().cold_latency, 1);
}

/// Guards against a new owner that does not count the starts of the previous owner in the last
/// second, so that both together exceed the rate of a cold replica.
#[test]
fn starts_of_the_previous_owner_count_against_the_rate() {
    let state = HandOverState {
        ramp: RampState::Cold {
            level: 0,
            round: RoundState::default(),
        },
        ..warm()
    };
    let mut driver = Driver::new(4, cold(1, 10), Some(state));
    let script = "submit 1 1000\n submit 2 3000\n at 1000\n at 1000.001";
    assert_snapshot!(driver.run(script));
}

/// Guards against a halved ramp that becomes warm below its cold bound when the bound equals
/// the slots.
#[test]
fn halved_ramp_stays_cold_below_its_bound() {
    let mut driver = Driver::new(2, cold(2, 10), None);
    let mut log = driver.run("submit 1 1000\n reply 1 shed\n report");
    for id in 2..18 {
        log += &serve(&mut driver, id..id + 1, 260);
        log += &driver.run("report");
    }
    assert_snapshot!(log);
}
