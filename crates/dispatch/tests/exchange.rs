//! Guards against requests that run twice, are refused although they ran, wait for replies
//! that cannot arrive, or are retried and hedged beyond the budget.

mod common;

use wigeonhall_dispatch::GiveUpReason;
use wigeonhall_dispatch::Outcome;
use wigeonhall_dispatch::RefuseReason;
use wigeonhall_dispatch::Reply;
use wigeonhall_dispatch::RouteKind;
use wigeonhall_dispatch::UnknownCause;

use common::DEADLINE_US;
use common::HEDGE_US;
use common::MS;
use common::add;
use common::case::BUSY;
use common::case::Case;
use common::case::RESET;
use common::case::UNREACHABLE;
use common::case::assert_too_few_shards;
use common::exchange;
use common::pool;
use common::service;

#[test]
fn at_most_once_request_with_unknown_result_is_not_retried() {
    let mut case = Case::single(RouteKind::AtMostOnce, 3);
    assert_eq!(case.start(), None);
    let outcome = case.reply(MS, 0, RESET);
    assert_eq!(outcome, Some(Outcome::GiveUp(GiveUpReason::NoAnswer)));
    assert!(case.in_flight.is_empty());
}

#[test]
fn at_most_once_request_is_never_hedged() {
    let mut case = Case::single(RouteKind::AtMostOnce, 3);
    case.start();
    assert_eq!(case.timer(HEDGE_US * 10), None);
    assert_eq!(case.in_flight.len(), 1);
    let outcome = case.timer(DEADLINE_US);
    assert_eq!(outcome, Some(Outcome::GiveUp(GiveUpReason::DeadlinePassed)));
}

#[test]
fn request_that_did_not_run_is_retried_on_another_replica() {
    for kind in [RouteKind::AtMostOnce, RouteKind::Idempotent] {
        let mut case = Case::single(kind, 2);
        case.start();
        let first = case.in_flight[0].replica;
        assert_eq!(case.reply(MS, 0, BUSY), None);
        assert_eq!(case.in_flight.len(), 1);
        assert_ne!(case.in_flight[0].replica, first);
        let outcome = case.reply(2 * MS, 0, Reply::Success);
        assert_eq!(outcome, Some(Outcome::Forward { attempt: 1 }));
    }
}

/// A refusal states that the request did not run, so it must be true of every sub-request.
#[test]
fn request_is_refused_only_if_no_sub_request_can_have_run() {
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
fn request_without_a_replica_is_refused_at_once() {
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
fn status_below_500_is_forwarded_without_a_retry() {
    let mut case = Case::single(RouteKind::Idempotent, 3);
    case.start();
    let outcome = case.reply(MS, 0, Reply::Failed { status: 422 });
    assert_eq!(outcome, Some(Outcome::Forward { attempt: 0 }));
}

#[test]
fn server_error_is_retried_and_the_last_error_is_forwarded() {
    let mut case = Case::single(RouteKind::Idempotent, 3);
    case.start();
    assert_eq!(case.reply(MS, 0, Reply::Failed { status: 500 }), None);
    let outcome = case.reply(2 * MS, 0, Reply::Failed { status: 503 });
    // The route allows two replicas, and both ran the request.
    assert_eq!(outcome, Some(Outcome::Forward { attempt: 1 }));
    assert!(case.in_flight.is_empty());
}

#[test]
fn late_sub_request_is_hedged_once_and_the_first_success_is_forwarded() {
    let mut case = Case::single(RouteKind::Idempotent, 3);
    case.start();
    assert_eq!(case.exchange.next_timer_us(0), HEDGE_US);
    assert_eq!(case.timer(HEDGE_US), None);
    assert_eq!(case.timer(HEDGE_US * 2), None);
    assert_eq!(case.in_flight.len(), 2);
    let outcome = case.reply(HEDGE_US * 2, 0, Reply::Success);
    assert_eq!(outcome, Some(Outcome::Forward { attempt: 0 }));
}

/// The number of extra sub-requests (hedges and retries) is limited to a fraction of the first
/// requests, even if every request is late.
#[test]
fn extra_sub_requests_stay_within_the_budget_of_the_service() {
    const REQUESTS: usize = 1_000;
    let mut pool = pool();
    for number in 0..40 {
        add(&mut pool, "a", number);
    }
    let mut extra = 0;
    for _ in 0..REQUESTS {
        let mut exchange = exchange(&mut pool, RouteKind::Idempotent, service("a"));
        let mut sub_requests = Vec::new();
        exchange.start(&mut pool, 0, &mut sub_requests);
        exchange.timer(&mut pool, HEDGE_US, &mut sub_requests);
        extra += sub_requests.len() - 1;
        for sub_request in sub_requests {
            pool.request_finished(0, sub_request.replica, Reply::Success, 1.0);
        }
    }
    assert!(
        extra * 5 <= REQUESTS,
        "{extra} extra sub-requests for {REQUESTS} requests"
    );
    assert!(extra > 0);
}

#[test]
fn gather_is_answered_when_all_parts_are_received() {
    let mut case = Case::gather(&["a", "b"], 0.5);
    case.start();
    assert_eq!(case.reply(MS, 0, Reply::Success), None);
    let outcome = case.reply(MS, 1, Reply::Success);
    assert_eq!(outcome, Some(Outcome::Gather { missing: 0 }));
}

/// A gather is answered at the target latency with the parts received by then; it does not
/// wait until the deadline.
#[test]
fn gather_is_answered_at_the_target_latency_without_a_late_part() {
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
fn gather_below_its_minimum_fraction_waits_beyond_the_target_latency() {
    let mut case = Case::gather(&["a", "b", "c", "d"], 0.75);
    case.start();
    case.reply(MS, 0, Reply::Success);
    case.reply(MS, 1, Reply::Success);
    assert_eq!(case.timer(200 * MS), None);
    let outcome = case.reply(210 * MS, 2, Reply::Success);
    assert_eq!(outcome, Some(Outcome::Gather { missing: 1 }));
}

/// A gather does not wait for a shard that has no replica.
#[test]
fn gather_does_not_wait_for_a_shard_without_a_replica() {
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

/// If too few shards can answer, the request is refused at once and nothing is sent.
#[test]
fn gather_with_too_few_available_shards_is_refused_before_anything_is_sent() {
    let mut case = Case::gather(&["a", "b", "c", "d"], 0.75);
    for id in ["c-20", "c-21", "d-30", "d-31"] {
        case.pool.unregister(id, 0);
    }
    let outcome = case.start();
    assert_too_few_shards(&case, outcome);
}

/// A refusal states that the request did not run, which is false once a part has run.
#[test]
fn gather_that_fails_after_a_part_ran_is_not_refused() {
    let mut case = Case::gather(&["a", "b"], 1.0);
    case.start();
    case.reply(MS, 0, Reply::Success);
    case.reply(MS, 1, UNREACHABLE);
    let outcome = case.reply(2 * MS, 1, UNREACHABLE);
    assert_eq!(outcome, Some(Outcome::GiveUp(GiveUpReason::TooFewParts)));
}

#[test]
fn only_late_shards_are_hedged() {
    let mut case = Case::gather(&["a", "b"], 1.0);
    case.start();
    case.reply(MS, 0, Reply::Success);
    case.timer(HEDGE_US);
    let legs: Vec<usize> = case
        .in_flight
        .iter()
        .map(|sub_request| sub_request.leg)
        .collect();
    assert_eq!(legs, [1, 1]);
    assert_ne!(case.in_flight[0].replica, case.in_flight[1].replica);
}

/// If many legs are late at once, the cause is usually the node itself, and hedging all of
/// them doubles its load. Hedges are postponed once, and then sent, because the replicas may
/// have failed after all.
#[test]
fn hedges_are_postponed_once_if_many_legs_are_late() {
    let shards = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let mut case = Case::gather(&shards, 0.5);
    case.start();
    case.reply(MS, 0, Reply::Success);
    assert_eq!(case.timer(HEDGE_US), None);
    assert_eq!(case.in_flight.len(), shards.len() - 1);
    assert_eq!(case.exchange.next_timer_us(HEDGE_US), HEDGE_US * 2);
    case.timer(HEDGE_US * 2);
    assert_eq!(case.in_flight.len(), (shards.len() - 1) * 2);
}

/// If no part has arrived, the request itself may be the cause: one that crashes the replicas that
/// run it crashed two of each shard, since all legs were hedged before the first crash.
#[test]
fn hedges_but_one_are_postponed_again_if_no_part_has_arrived() {
    let shards = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let mut case = Case::gather(&shards, 0.5);
    case.start();
    assert_eq!(case.timer(HEDGE_US), None);
    assert_eq!(case.in_flight.len(), shards.len());
    assert_eq!(case.exchange.next_timer_us(HEDGE_US), HEDGE_US * 2);
    case.timer(HEDGE_US * 2);
    assert_eq!(case.in_flight.len(), shards.len() + 1);
    assert_eq!(case.exchange.next_timer_us(HEDGE_US * 2), HEDGE_US * 3);
    case.timer(HEDGE_US * 3);
    assert_eq!(case.in_flight.len(), shards.len() * 2);
}

/// Two replicas that crash under one request stop it: no retry, no hedge, and an answer at once.
#[test]
fn gather_is_given_up_after_two_crashes() {
    let mut case = Case::gather(&["a", "b", "c", "d"], 1.0);
    case.start();
    let crashed = Reply::Unknown(UnknownCause::Crashed);
    assert_eq!(case.reply(MS, 0, crashed), None);
    let sent = case.in_flight.len();
    let outcome = case.reply(2 * MS, 1, crashed);
    assert_eq!(outcome, Some(Outcome::GiveUp(GiveUpReason::TooFewParts)));
    assert_eq!(case.in_flight.len(), sent - 1);
    assert!(case.exchange.crashes_replicas());
}

/// A request to one service is refused at once if its replicas have no capacity, with a time
/// after which the caller may retry; the node does not queue it.
#[test]
fn request_to_one_service_does_not_wait_for_capacity() {
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
