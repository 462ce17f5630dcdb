//! Tests the admission, order and refusal of waiting sub-requests.
//!
//! In scripts (see `common`), times are in ms: `at` advances with ticks and `skip` without;
//! `submit IDS DEADLINE` sends requests, with `cN` for the class, `vN` for the index version and
//! `wN` for the longest wait in us; `reply` delivers the target's reply. `Driver::warm(slots)`
//! creates a warm replica.

mod common;

use insta::assert_snapshot;

use common::Driver;

/// Guards against waiting sub-requests that cannot finish in time. The typical time is 10 ms
/// and the margin 10 ms, so a sub-request that starts at 10 ms ends by 30 ms.
#[test]
fn admits_only_requests_that_can_finish_in_time() {
    let mut driver = Driver::warm(1);
    assert_snapshot!(driver.run("submit 1 1000\n submit 2 29.999\n submit 3..5 30"));
    assert_eq!(driver.gate.open_request_count(), 2);
}

/// Guards against a sub-request that waits although its entry node could use another replica.
/// The typical time is 10 ms, so the second request for a slot waits that long.
#[test]
fn refuses_as_busy_beyond_the_wait_limit_of_the_entry_node() {
    let script = "submit 1 1000 w0\n submit 2 1000 w9999\n submit 3 1000 w10000\n submit 4 1000";
    assert_snapshot!(Driver::warm(1).run(script));
}

/// Guards against a standing queue that delays every answer until shortly before its deadline.
/// Class 0 may wait 100 s, and each of its requests takes 10 ms.
#[test]
fn limits_the_wait_of_a_class() {
    let mut driver = Driver::warm(1);
    driver.run("submit 0..10002 900000");
    assert_eq!(driver.gate.counters().refused_overloaded, 1);
}

/// Guards against a slow replica that is taken for a fast one because all its requests are
/// cancelled.
#[test]
fn cancelled_requests_raise_the_latency_estimate() {
    let mut driver = Driver::warm(1);
    for id in 0..20 {
        let at_ms = 40 * (id + 1);
        driver.run(&format!(
            "submit {id} 9000\n skip {at_ms}\n reply {id} cancelled"
        ));
    }
    let report = driver.gate.reports(driver.now_us).remove(0).1;
    assert!(report.service_us > 30_000, "{report:?}");
}

/// Guards against a sub-request that is held until its deadline although it can no longer
/// finish.
#[test]
fn refuses_waiting_requests_that_can_no_longer_finish() {
    let script = "submit 1 1000\n submit 2 60\n at 50\n at 50.001";
    assert_snapshot!(Driver::warm(1).run(script));
}

/// Guards against a start order that ignores deadlines or class weights. The first start is
/// charged to class 0, so class 1 goes next, and then three of class 0 for each of class 1.
#[test]
fn order_is_by_class_weight_then_deadline() {
    let mut driver = Driver::warm(1);
    driver.run("submit 0 1000");
    for id in 1..=6 {
        driver.run(&format!("submit {id} {}", 1000 - id));
    }
    driver.run("submit 7..9 1000 c1");
    let order = [0, 7, 6, 5, 4, 8, 3, 2, 1];
    let log = order.map(|id| driver.run(&format!("reply {id} ok")));
    assert_snapshot!(log.concat());
}

/// Guards against a class that occupies every slot while another class waits.
#[test]
fn class_share_applies_only_while_other_classes_wait() {
    let mut driver = Driver::warm(4);
    let script = "submit 0..4 1000\n submit 4..8 1000\n submit 14..18 1000 c1
        reply 0 ok\n reply 1 ok\n reply 2 ok\n reply 14 ok";
    assert_snapshot!(driver.run(script));
}

/// Guards against a cancelled waiting sub-request that is sent to the target.
#[test]
fn cancelled_waiting_request_is_never_sent() {
    let script = "submit 1..3 1000\n cancel 2\n reply 1 ok";
    assert_snapshot!(Driver::warm(1).run(script));
}

/// Guards against a start at or after the deadline.
#[test]
fn request_past_its_deadline_is_refused() {
    assert_snapshot!(Driver::warm(1).run("skip 5\n submit 1 5"));
}

/// Guards against sending requests for a version that the target no longer serves, and against
/// the use of an outdated list of versions.
#[test]
fn gone_version_is_answered_without_a_request_to_the_target() {
    let script = "submit 1 9000 v8\n skip 3000\n submit 2 9000 v8";
    assert_snapshot!(Driver::warm(1).run(script));
}

/// Guards against a duplicate submission that runs or is answered twice.
#[test]
fn duplicate_submission_is_ignored() {
    let mut driver = Driver::warm(2);
    let script = "submit 1 1000\n submit 1 1000\n reply 1 ok\n reply 1 ok";
    assert_snapshot!(driver.run(script));
    assert_eq!(driver.gate.counters().duplicate_submits, 1);
}

/// Guards against holding sub-requests that can no longer finish after a shed request reduced
/// the number that may run at once.
#[test]
fn reduced_limit_refuses_the_last_requests_at_once() {
    let script = "submit 0..2 1000\n submit 2..6 40\n reply 0 shed";
    assert_snapshot!(Driver::warm(2).run(script));
}

/// Guards against a slot that stays free after a refusal. Once only one class waits, its share
/// must no longer limit it.
#[test]
fn refusal_of_one_class_lifts_the_share_of_the_other() {
    let script = "submit 1 1000\n submit 2 1000 c1\n submit 3..5 1000\n submit 5 31 c1
        at 1\n reply 3 ok\n at 21\n submit 6 0";
    assert_snapshot!(Driver::warm(3).run(script));
}

/// Guards against a latency estimate that exceeds every deadline and refuses the requests whose
/// replies could correct it. It is halved for each second without a reply.
#[test]
fn latency_estimate_decays_without_replies() {
    let script = "submit 1 9000\n at 70\n reply 1 ok\n submit 2 100\n submit 3 9000\n at 140
        reply 3 ok\n submit 4 190\n at 1140\n submit 5 1190";
    assert_snapshot!(Driver::warm(1).run(script));
}
