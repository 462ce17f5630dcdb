//! Admission, order and refusal of waiting sub-requests.

mod common;

use common::Driver;
use common::MS;
use common::SECOND;
use common::answered;
use common::attempt;
use common::refused;
use common::request;
use common::sent;
use wigeonhall_gate::GateAction;
use wigeonhall_gate::GateEvent;
use wigeonhall_types::ClassKey;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::RefusalReason;
use wigeonhall_types::SubOutcome;
use wigeonhall_types::SubRequest;
use wigeonhall_types::TargetOutcome;

/// Guards against work waiting that cannot end in time. The typical time is
/// 10 ms and the margin 10 ms, so one that starts at 10 ms ends by 30 ms.
#[test]
fn admits_only_what_ends_in_time() {
    let mut driver = Driver::warm(1);
    driver.submit(1, SECOND);
    let actions = driver.submit(2, 30 * MS - 1);
    let GateAction::Respond { outcome, .. } = &actions[0] else {
        panic!("{actions:?}");
    };
    let expected = SubOutcome::Refused {
        reason: RefusalReason::Overloaded,
        retry_after_us: 1,
    };
    assert_eq!(*outcome, expected);
    assert!(driver.submit(3, 30 * MS).is_empty());
    assert_eq!(refused(&driver.submit(4, 30 * MS)).len(), 1);
    assert_eq!(driver.gate.open_requests(), 2);
}

/// Guards against a hopeless sub-request being held until its deadline.
#[test]
fn refuses_what_no_longer_fits_before_its_deadline() {
    let mut driver = Driver::warm(1);
    driver.submit(1, SECOND);
    driver.submit(2, 60 * MS);
    assert!(refused(&driver.advance(50 * MS)).is_empty());
    let actions = driver.advance(50 * MS + 1);
    assert_eq!(refused(&actions), [(2, RefusalReason::Overloaded)]);
}

/// Guards against starts that ignore deadlines or class weights. The first start
/// is charged to class 0, so class 1 goes next, then three of class 0 to one.
#[test]
fn order_is_by_class_weight_then_deadline() {
    let mut driver = Driver::warm(1);
    driver.submit(0, SECOND);
    for it in 1..=6 {
        driver.handle(GateEvent::Submit(request(it, SECOND - it)));
    }
    for it in 7..=8 {
        driver.submit_class(it, 1);
    }
    let order = (0..8).scan(0, |last, _| {
        let next = sent(&driver.reply(*last, answered()));
        *last = next[0];
        Some(next[0])
    });
    assert_eq!(order.collect::<Vec<_>>(), [7, 6, 5, 4, 8, 3, 2, 1]);
}

/// Guards against one class taking every slot while another waits.
#[test]
fn class_share_binds_only_while_others_wait() {
    let mut driver = Driver::warm(4);
    for it in 0..4 {
        assert_eq!(sent(&driver.submit_class(it, 0)), [it]);
    }
    for it in 4..8 {
        driver.submit_class(it, 0);
        driver.submit_class(it + 10, 1);
    }
    assert_eq!(sent(&driver.reply(0, answered())), [14]);
    assert_eq!(sent(&driver.reply(1, answered())), [15]);
    assert_eq!(sent(&driver.reply(2, answered())), [4]);
    assert_eq!(sent(&driver.reply(14, answered())), [16]);
}

/// Guards against a cancelled waiting sub-request reaching the target.
#[test]
fn cancel_of_a_waiting_one_is_free() {
    let mut driver = Driver::warm(1);
    driver.submit(1, SECOND);
    driver.submit(2, SECOND);
    let actions = driver.handle(GateEvent::Cancel(attempt(2)));
    assert_eq!(refused(&actions), [(2, RefusalReason::Cancelled)]);
    assert_eq!(actions.len(), 1);
    assert!(sent(&driver.reply(1, answered())).is_empty());
}

/// Guards against work that starts at or after its deadline.
#[test]
fn passed_deadline_is_refused() {
    let mut driver = Driver::warm(1);
    driver.now_us = 5;
    let actions = driver.submit(1, 5);
    assert_eq!(refused(&actions), [(1, RefusalReason::DeadlinePassed)]);
}

/// Guards against asking a target for a version it no longer serves, and against
/// relying on a stale list of versions.
#[test]
fn missing_version_is_answered_without_asking() {
    let mut driver = Driver::warm(1);
    let other = |sequence| SubRequest {
        version: Some(IndexVersion(8)),
        ..request(sequence, 10 * SECOND)
    };
    let actions = driver.handle(GateEvent::Submit(other(1)));
    let gone = SubOutcome::VersionGone;
    assert!(matches!(&actions[..], [GateAction::Respond { outcome, .. }] if *outcome == gone));
    driver.now_us = 3 * SECOND;
    let actions = driver.handle(GateEvent::Submit(other(2)));
    assert_eq!(sent(&actions), [2]);
}

/// Guards against a repeated submission running twice or being answered twice.
#[test]
fn repeated_submission_is_ignored() {
    let mut driver = Driver::warm(2);
    assert_eq!(sent(&driver.submit(1, SECOND)), [1]);
    assert!(driver.submit(1, SECOND).is_empty());
    assert_eq!(driver.gate.counters().duplicate_submits, 1);
    assert_eq!(driver.reply(1, answered()).len(), 1);
    assert!(driver.reply(1, answered()).is_empty());
}

/// Guards against waiting work that a shed request left without capacity being
/// held although it no longer fits.
#[test]
fn lost_capacity_refuses_the_last_at_once() {
    let mut driver = Driver::warm(2);
    for it in 0..2 {
        driver.submit(it, SECOND);
    }
    for it in 2..6 {
        assert!(driver.submit(it, 40 * MS).is_empty());
    }
    let shed = TargetOutcome::Shed { retry_after_us: 1 };
    let actions = driver.reply(0, common::reply(shed));
    assert_eq!(refused(&actions)[1..], [(5, RefusalReason::Overloaded)]);
}

/// Guards against a free slot left unused after a refusal ends the competition
/// that held a class to its share.
#[test]
fn refusal_of_one_class_starts_the_other() {
    let mut driver = Driver::warm(3);
    for (it, class) in [(1, 0), (2, 1), (3, 0), (4, 0)] {
        driver.submit_class(it, class);
    }
    let doomed = SubRequest {
        class: ClassKey(1),
        ..request(5, 31 * MS)
    };
    driver.handle(GateEvent::Submit(doomed));
    driver.advance(MS);
    assert!(sent(&driver.reply(3, answered())).is_empty());
    driver.advance(21 * MS);
    let actions = driver.submit(6, 0);
    assert_eq!(refused(&actions)[1..], [(5, RefusalReason::Overloaded)]);
    assert_eq!(sent(&actions), [4]);
}
