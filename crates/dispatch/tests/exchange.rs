//! Guards against requests that run twice, are refused falsely, wait in vain or repeat
//! beyond their budget.

mod common;

use wigeonhall_dispatch::GiveUpReason;
use wigeonhall_dispatch::Outcome;
use wigeonhall_dispatch::RefuseReason;
use wigeonhall_dispatch::Reply;
use wigeonhall_dispatch::RouteKind;

use common::DEADLINE_US;
use common::HEDGE_US;
use common::MS;
use common::add;
use common::case::BUSY;
use common::case::Case;
use common::case::RESET;
use common::case::UNREACHABLE;
use common::case::demand_too_few_shards;
use common::exchange;
use common::pool;
use common::service;

#[test]
fn an_unknown_result_is_not_repeated_when_it_must_run_at_most_once() {
    let mut case = Case::single(RouteKind::AtMostOnce, 3);
    assert_eq!(case.start(), None);
    let outcome = case.reply(MS, 0, RESET);
    assert_eq!(outcome, Some(Outcome::GiveUp(GiveUpReason::NoAnswer)));
    assert!(case.out.is_empty());
}

#[test]
fn a_request_that_must_run_at_most_once_is_never_hedged() {
    let mut case = Case::single(RouteKind::AtMostOnce, 3);
    case.start();
    assert_eq!(case.timer(HEDGE_US * 10), None);
    assert_eq!(case.out.len(), 1);
    let outcome = case.timer(DEADLINE_US);
    assert_eq!(outcome, Some(Outcome::GiveUp(GiveUpReason::DeadlinePassed)));
}

#[test]
fn a_request_that_did_not_run_goes_to_another_replica() {
    for kind in [RouteKind::AtMostOnce, RouteKind::Idempotent] {
        let mut case = Case::single(kind, 2);
        case.start();
        let first = case.out[0].replica;
        assert_eq!(case.reply(MS, 0, BUSY), None);
        assert_eq!(case.out.len(), 1);
        assert_ne!(case.out[0].replica, first);
        let outcome = case.reply(2 * MS, 0, Reply::Success);
        assert_eq!(outcome, Some(Outcome::Forward { attempt: 1 }));
    }
}

/// "Not run" is said at once, and only when it is true of every send.
#[test]
fn a_refusal_follows_only_if_no_send_can_have_run() {
    let mut case = Case::single(RouteKind::AtMostOnce, 1);
    case.start();
    let outcome = case.reply(MS, 0, BUSY);
    let refused = |outcome| {
        matches!(
            outcome,
            Some(Outcome::Refuse {
                reason: RefuseReason::Busy,
                ..
            })
        )
    };
    assert!(refused(outcome));

    let mut case = Case::single(RouteKind::Idempotent, 2);
    case.start();
    case.reply(MS, 0, RESET);
    let outcome = case.reply(2 * MS, 0, UNREACHABLE);
    assert_eq!(outcome, Some(Outcome::GiveUp(GiveUpReason::NoAnswer)));
}

#[test]
fn no_replica_means_a_refusal_at_once() {
    let mut case = Case::single(RouteKind::Idempotent, 0);
    let outcome = case.start();
    let refused = matches!(
        outcome,
        Some(Outcome::Refuse {
            reason: RefuseReason::NoReplica,
            retry_after_ms: 50..
        })
    );
    assert!(refused, "{outcome:?}");
}

#[test]
fn a_failure_of_the_request_itself_is_passed_on_without_a_repeat() {
    let mut case = Case::single(RouteKind::Idempotent, 3);
    case.start();
    let outcome = case.reply(MS, 0, Reply::Failed { status: 422 });
    assert_eq!(outcome, Some(Outcome::Forward { attempt: 0 }));
}

#[test]
fn a_failure_of_the_replica_is_repeated_and_the_last_one_passed_on() {
    let mut case = Case::single(RouteKind::Idempotent, 3);
    case.start();
    assert_eq!(case.reply(MS, 0, Reply::Failed { status: 500 }), None);
    let outcome = case.reply(2 * MS, 0, Reply::Failed { status: 503 });
    // The route allows two replicas, and both ran the request.
    assert_eq!(outcome, Some(Outcome::Forward { attempt: 1 }));
    assert!(case.out.is_empty());
}

#[test]
fn a_late_send_is_hedged_once_and_the_first_success_wins() {
    let mut case = Case::single(RouteKind::Idempotent, 3);
    case.start();
    assert_eq!(case.exchange.next_timer_us(0), HEDGE_US);
    assert_eq!(case.timer(HEDGE_US), None);
    assert_eq!(case.timer(HEDGE_US * 2), None);
    assert_eq!(case.out.len(), 2);
    let outcome = case.reply(HEDGE_US * 2, 0, Reply::Success);
    assert_eq!(outcome, Some(Outcome::Forward { attempt: 0 }));
}

/// The sum of all repeats stays a share of the first sends, whatever fails.
#[test]
fn repeats_stay_within_the_budget_of_the_service() {
    const REQUESTS: usize = 1_000;
    let mut pool = pool();
    for number in 0..40 {
        add(&mut pool, "a", number);
    }
    let mut extra = 0;
    for _ in 0..REQUESTS {
        let mut exchange = exchange(&mut pool, RouteKind::Idempotent, service("a"));
        let mut sends = Vec::new();
        exchange.start(&mut pool, 0, &mut sends);
        exchange.timer(&mut pool, HEDGE_US, &mut sends);
        extra += sends.len() - 1;
        for send in sends {
            pool.finished(0, send.replica, Reply::Success, 1.0);
        }
    }
    assert!(
        extra * 5 <= REQUESTS,
        "{extra} repeats of {REQUESTS} requests"
    );
    assert!(extra > 0);
}

#[test]
fn a_gather_is_answered_when_all_parts_are_in() {
    let mut case = Case::gather(&["a", "b"], 0.5);
    case.start();
    assert_eq!(case.reply(MS, 0, Reply::Success), None);
    let outcome = case.reply(MS, 1, Reply::Success);
    assert_eq!(outcome, Some(Outcome::Gather { missing: 0 }));
}

/// At the target latency the answer goes out with what is in, not at the deadline.
#[test]
fn a_gather_is_answered_in_time_without_a_late_part() {
    let mut case = Case::gather(&["a", "b", "c", "d"], 0.75);
    case.start();
    for leg in 0..3 {
        assert_eq!(case.reply(MS, leg, Reply::Success), None);
    }
    case.timer(HEDGE_US);
    let soft_deadline_us = case.exchange.next_timer_us(HEDGE_US);
    assert!(soft_deadline_us < 120 * MS, "{soft_deadline_us}");
    let outcome = case.timer(soft_deadline_us);
    assert_eq!(outcome, Some(Outcome::Gather { missing: 1 }));
}

#[test]
fn a_gather_below_its_least_share_waits_beyond_the_target_latency() {
    let mut case = Case::gather(&["a", "b", "c", "d"], 0.75);
    case.start();
    case.reply(MS, 0, Reply::Success);
    case.reply(MS, 1, Reply::Success);
    assert_eq!(case.timer(200 * MS), None);
    let outcome = case.reply(210 * MS, 2, Reply::Success);
    assert_eq!(outcome, Some(Outcome::Gather { missing: 1 }));
}

/// A shard without a replica is not waited for.
#[test]
fn a_gather_is_answered_at_once_without_a_shard_that_has_no_replica() {
    let mut case = Case::gather(&["a", "b", "c", "d"], 0.75);
    for id in ["d-30", "d-31"] {
        case.pool.unregister(id, 0);
    }
    assert_eq!(case.start(), None);
    case.reply(MS, 0, Reply::Success);
    case.reply(MS, 1, Reply::Success);
    let outcome = case.reply(MS, 2, Reply::Success);
    assert_eq!(outcome, Some(Outcome::Gather { missing: 1 }));
}

/// Too few shards can answer: nothing is sent, and the caller hears it at once.
#[test]
fn a_gather_out_of_reach_is_refused_before_it_is_sent() {
    let mut case = Case::gather(&["a", "b", "c", "d"], 0.75);
    for id in ["c-20", "c-21", "d-30", "d-31"] {
        case.pool.unregister(id, 0);
    }
    let outcome = case.start();
    demand_too_few_shards(&case, outcome);
}

/// Parts have run, so the failure must not say "not run".
#[test]
fn a_gather_that_fails_after_parts_ran_is_no_refusal() {
    let mut case = Case::gather(&["a", "b"], 1.0);
    case.start();
    case.reply(MS, 0, Reply::Success);
    case.reply(MS, 1, UNREACHABLE);
    let outcome = case.reply(2 * MS, 1, UNREACHABLE);
    assert_eq!(outcome, Some(Outcome::GiveUp(GiveUpReason::TooFewParts)));
}

#[test]
fn a_hedge_of_one_shard_leaves_the_others_alone() {
    let mut case = Case::gather(&["a", "b"], 1.0);
    case.start();
    case.reply(MS, 0, Reply::Success);
    case.timer(HEDGE_US);
    let legs: Vec<usize> = case.out.iter().map(|send| send.leg).collect();
    assert_eq!(legs, [1, 1]);
    assert_ne!(case.out[0].replica, case.out[1].replica);
}

/// When most legs are late at once, the node itself is; hedges of all of them doubled its
/// work. They are put off once, and then sent, as the replicas may be gone after all.
#[test]
fn hedges_are_put_off_once_when_many_legs_are_late() {
    let shards = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let mut case = Case::gather(&shards, 0.5);
    case.start();
    assert_eq!(case.timer(HEDGE_US), None);
    assert_eq!(case.out.len(), shards.len());
    assert_eq!(case.exchange.next_timer_us(HEDGE_US), HEDGE_US * 2);
    case.timer(HEDGE_US * 2);
    assert_eq!(case.out.len(), shards.len() * 2);
}

/// A single request is refused at once when its replicas are full: the caller is told when
/// to come back, and nothing is held.
#[test]
fn a_single_request_does_not_wait_for_room() {
    let mut case = Case::single(RouteKind::Idempotent, 1);
    case.start();
    let outcome = case.reply(MS, 0, BUSY);
    let refused = matches!(
        outcome,
        Some(Outcome::Refuse {
            reason: RefuseReason::Busy,
            ..
        })
    );
    assert!(refused, "{outcome:?}");
}
