//! Guards against requests that run twice, are refused falsely, wait in vain or repeat
//! beyond their budget.

mod common;

use std::collections::BTreeSet;

use wigeonhall_dispatch::Exchange;
use wigeonhall_dispatch::ExtraReason;
use wigeonhall_dispatch::GiveUpReason;
use wigeonhall_dispatch::NotRunCause;
use wigeonhall_dispatch::Outcome;
use wigeonhall_dispatch::Pool;
use wigeonhall_dispatch::RefuseReason;
use wigeonhall_dispatch::Reply;
use wigeonhall_dispatch::RouteKind;
use wigeonhall_dispatch::Send;
use wigeonhall_dispatch::UnknownCause;

use common::DEADLINE_US;
use common::HEDGE_US;
use common::MS;
use common::add;
use common::exchange;
use common::gather;
use common::pool;
use common::service;

const BUSY: Reply = Reply::NotRun(NotRunCause::Busy);
const UNREACHABLE: Reply = Reply::NotRun(NotRunCause::Unreachable);
const RESET: Reply = Reply::Unknown(UnknownCause::Reset);

/// An exchange with its pool and the sends that are out.
struct Case {
    exchange: Exchange,
    out: Vec<Send>,
    pool: Pool,
}

impl Case {
    fn single(kind: RouteKind, replicas: u16) -> Self {
        let mut pool = pool();
        for number in 1..=replicas {
            add(&mut pool, "a", number);
        }
        let exchange = exchange(&mut pool, kind, service("a"));
        Self {
            exchange,
            out: Vec::new(),
            pool,
        }
    }

    /// A gather over `shards` services with two replicas each.
    fn gather(shards: &[&str], min_fraction: f64) -> Self {
        let mut pool = pool();
        for (index, shard) in shards.iter().enumerate() {
            add(&mut pool, shard, 10 * index as u16);
            add(&mut pool, shard, 10 * index as u16 + 1);
        }
        let exchange = exchange(
            &mut pool,
            RouteKind::Idempotent,
            gather(shards, min_fraction),
        );
        Self {
            exchange,
            out: Vec::new(),
            pool,
        }
    }

    fn start(&mut self) -> Option<Outcome> {
        self.exchange.start(&mut self.pool, 0, &mut self.out)
    }

    fn timer(&mut self, now_us: u64) -> Option<Outcome> {
        self.exchange.timer(&mut self.pool, now_us, &mut self.out)
    }

    /// Answers the oldest send of a leg.
    fn reply(&mut self, now_us: u64, leg: usize, reply: Reply) -> Option<Outcome> {
        let index = self.out.iter().position(|send| send.leg == leg).unwrap();
        let send = self.out.remove(index);
        self.pool.finished(now_us, send.replica, reply, 1.0);
        self.exchange
            .reply(&mut self.pool, now_us, send, reply, &mut self.out)
    }
}

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
    let soft_us = case.exchange.next_timer_us(HEDGE_US);
    assert!(soft_us < 120 * MS, "{soft_us}");
    let outcome = case.timer(soft_us);
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
    let refused = matches!(
        outcome,
        Some(Outcome::Refuse {
            reason: RefuseReason::TooFewShards,
            ..
        })
    );
    assert!(refused, "{outcome:?}");
    assert!(case.out.is_empty());
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

/// Sends of one leg on a node that other nodes' answers made `slow` look slow to; each send
/// is followed by a hedge where one is allowed.
fn relayed(slow: &[usize], max_runs: u32, fallback: usize) -> Vec<usize> {
    let mut pool = pool();
    let keys: Vec<_> = (0..5).map(|number| add(&mut pool, "a", number)).collect();
    for index in slow {
        for _ in 0..8 {
            pool.started(0, keys[*index]);
            pool.finished(0, keys[*index], Reply::Success, 8.0);
        }
    }
    let route = common::route(
        &mut pool,
        common::route_spec(RouteKind::Idempotent, gather(&["a"], 1.0)),
    );
    let exchange = Exchange::of_legs(route, &[0], max_runs, DEADLINE_US, DEADLINE_US, HEDGE_US);
    let mut exchange = exchange.with_fallbacks(&[Some(keys[fallback])]);
    let mut sends = Vec::new();
    exchange.start(&mut pool, 0, &mut sends);
    exchange.timer(&mut pool, HEDGE_US, &mut sends);
    exchange.timer(&mut pool, 3 * HEDGE_US, &mut sends);
    let index = |send: &Send| keys.iter().position(|key| *key == send.replica);
    sends.iter().filter_map(index).collect()
}

/// A leg that went from one node to another ran at three replicas where two may run it:
/// the first node passed over the replicas that the second one chose from.
#[test]
fn a_leg_that_changes_nodes_runs_at_no_more_replicas_than_allowed() {
    for max_runs in 1..=4 {
        for fallback in 0..5 {
            for slow in [vec![], vec![fallback], vec![0, 1, 2], vec![1, 2, 3, 4]] {
                let first = relayed(&slow, max_runs, fallback);
                let second = relayed(&[], 1, fallback);
                assert_eq!(second, [fallback]);
                let all: BTreeSet<usize> = first.iter().chain(&second).copied().collect();
                assert!(all.len() <= max_runs as usize, "{first:?} then {second:?}");
                assert!(!first.is_empty());
            }
        }
    }
}

/// The node that was asked knows the replicas better than the node that asks.
#[test]
fn a_fallback_that_is_known_to_be_slow_is_left_for_the_hedge() {
    for _ in 0..20 {
        let used = relayed(&[2], 2, 2);
        assert_ne!(used[0], 2);
        assert_eq!(used[1..], [2]);
    }
}

#[test]
fn a_leg_whose_fallback_is_gone_still_gets_a_part() {
    let mut pool = pool();
    let keys: Vec<_> = (0..3).map(|number| add(&mut pool, "a", number)).collect();
    pool.unregister("a-1", 0);
    let route = common::route(
        &mut pool,
        common::route_spec(RouteKind::Idempotent, gather(&["a"], 1.0)),
    );
    let exchange = Exchange::of_legs(route, &[0], 2, DEADLINE_US, DEADLINE_US, HEDGE_US);
    let mut exchange = exchange.with_fallbacks(&[Some(keys[1])]);
    let mut sends = Vec::new();
    exchange.start(&mut pool, 0, &mut sends);
    exchange.timer(&mut pool, HEDGE_US, &mut sends);
    assert_eq!(sends.len(), 1);
    assert_ne!(sends[0].replica, keys[1]);
}

/// A gather over four shards; both replicas of the last one were unreachable a moment ago.
fn with_suspended_shard(min_fraction: f64) -> Case {
    let mut case = Case::gather(&["a", "b", "c", "d"], min_fraction);
    for id in ["d-30", "d-31"] {
        let key = case.pool.key_of(id).unwrap();
        case.pool.started(0, key);
        case.pool.finished(0, key, UNREACHABLE, 1.0);
    }
    case
}

fn reply_to_all_but_the_last(case: &mut Case, at_us: u64) -> Option<Outcome> {
    let outcomes = (0..3).map(|leg| case.reply(at_us, leg, Reply::Success));
    outcomes.last().unwrap()
}

/// Two of 20 shards had no part for seconds after a short crash, though their replicas were
/// back: both were suspended, and nobody tried them.
#[test]
fn a_shard_whose_replicas_are_all_suspended_is_tried() {
    let mut case = with_suspended_shard(0.75);
    assert_eq!(case.start(), None);
    assert_eq!(case.out.len(), 4);
    assert_eq!(reply_to_all_but_the_last(&mut case, MS), None);
    let outcome = case.reply(2 * MS, 3, Reply::Success);
    assert_eq!(outcome, Some(Outcome::Gather { missing: 0 }));
}

/// A replica that is dark must not hold back the answer.
#[test]
fn a_suspended_replica_is_waited_for_no_longer_than_until_a_hedge() {
    let mut case = with_suspended_shard(0.75);
    case.start();
    assert_eq!(reply_to_all_but_the_last(&mut case, MS), None);
    assert_eq!(case.exchange.next_timer_us(MS), HEDGE_US);
    let outcome = case.timer(HEDGE_US);
    assert_eq!(outcome, Some(Outcome::Gather { missing: 1 }));
}

/// One request at a time tries a suspended replica; the next one goes without it.
#[test]
fn a_suspended_replica_is_tried_by_one_request_at_a_time() {
    let mut case = with_suspended_shard(0.75);
    case.start();
    let service = case.exchange.service(3);
    let other = case.pool.last_resort(0, service).unwrap();
    assert_ne!(other, case.out[3].replica);
    case.pool.started(0, other);
    assert_eq!(case.pool.last_resort(0, service), None);
}

/// What is not likely to be answered is refused at once, and nothing is sent.
#[test]
fn a_gather_that_needs_a_suspended_replica_is_refused() {
    let mut case = with_suspended_shard(1.0);
    let outcome = case.start();
    let refused = matches!(
        outcome,
        Some(Outcome::Refuse {
            reason: RefuseReason::TooFewShards,
            ..
        })
    );
    assert!(refused, "{outcome:?}");
    assert!(case.out.is_empty());
}

/// While answers were lost, hedges used up the budget, and legs whose answer was lost for
/// certain were not sent again.
#[test]
fn a_hedge_leaves_credit_for_a_retry() {
    let mut case = Case::gather(&["a", "b"], 0.5);
    let service = case.exchange.service(1);
    while case.pool.take_extra(service, ExtraReason::Hedge) {}
    case.start();
    case.timer(HEDGE_US);
    assert_eq!(case.out.iter().filter(|send| send.leg == 1).count(), 1);
    case.reply(HEDGE_US, 1, RESET);
    assert_eq!(case.out.iter().filter(|send| send.leg == 1).count(), 1);
    assert!(!case.pool.take_extra(service, ExtraReason::Retry));
}

/// The operators' share of extra requests is used, and kept.
#[test]
fn extra_requests_follow_the_share_that_operators_allow() {
    const REQUESTS: u32 = 1_000;
    for share in [0.1, 0.2, 0.5] {
        let mut pool = pool();
        pool.set_extra_share(share);
        add(&mut pool, "a", 1);
        let service = pool.service_key(&"a".into());
        let mut extra = 0;
        for _ in 0..REQUESTS {
            pool.earn(service);
            extra += u32::from(pool.take_extra(service, ExtraReason::Retry));
        }
        let used = f64::from(extra) / f64::from(REQUESTS);
        assert!((share * 0.6..=share).contains(&used), "{used} of {share}");
    }
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
