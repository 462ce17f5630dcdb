//! Tests that hedges and retries bypass slow and busy replicas, and that their load is
//! bounded.

mod prelude;

use prelude::*;

#[test]
fn hedges_an_overdue_sub_request_and_cancels_the_slower_one() {
    let mut harness = Harness::new(1);
    for id in 0..64 {
        let (_, sub) = sub_requests(&harness.read(id, Full)).remove(0);
        harness.now_us += 5_000;
        harness.reply(&sub, whole_reply(&sub));
    }
    let (_, first) = sub_requests(&harness.read(100, Full)).remove(0);
    let sent_us = harness.now_us;
    let mut hedges = Vec::new();
    while hedges.is_empty() {
        let wake_us = harness.coordinator.next_wake_us().expect("a hedge is due");
        hedges = sub_requests(&harness.run_to(wake_us));
    }
    // All observed replies took 5 ms, and a bucket of the latency histogram is 12.5% wide.
    let delay_us = harness.now_us - sent_us;
    assert!((5_000..6_000).contains(&delay_us), "{delay_us}");
    assert_ne!(hedges[0].1.replica, first.replica);
    let actions = harness.reply(&hedges[0].1, whole_reply(&hedges[0].1));
    assert_eq!(cancels(&actions), [first.attempt]);
    assert_eq!(answers(&actions)[0].status, AnswerStatus::Whole);
    assert_eq!(harness.coordinator.counters().hedges_won, 1);
}

// If a fifth of the sub-requests are slow, hedges must not raise the load by a fifth.
#[test]
fn hedges_at_most_one_in_twenty_after_the_burst() {
    let mut harness = Harness::new(1);
    for id in 0..1_000 {
        let (_, sub) = sub_requests(&harness.read(id, Full)).remove(0);
        let takes_us = if id % 5 == 0 { 100_000 } else { 5_000 };
        harness.run_with_live_owners(harness.now_us + takes_us);
        harness.reply(&sub, whole_reply(&sub));
    }
    // The budget allows one hedge for 20 first sub-requests, and a burst of 5 at the start.
    let hedges = harness.coordinator.counters().hedges;
    assert!((50..=55).contains(&hedges), "{hedges}");
    assert!(harness.coordinator.counters().budget_refusals > 0);
}

#[test]
fn charges_retries_unless_no_target_was_loaded() {
    // Reason, and whether the retry after it is not charged to the budget.
    let cases = [
        (RefusalReason::Overloaded, true),
        (RefusalReason::ColdStart, true),
        (RefusalReason::NoLease, true),
        (RefusalReason::Leaving, true),
        (RefusalReason::Shed, false),
        // Nothing was sent to the target.
        (RefusalReason::Unreachable, true),
    ];
    for (reason, free) in cases {
        let mut harness = Harness::new(1);
        let (_, sub) = sub_requests(&harness.read(1, Full)).remove(0);
        let retry = sub_requests(&harness.reply(&sub, refused(reason)));
        assert_ne!(retry[0].1.replica, sub.replica);
        let counters = harness.coordinator.counters();
        let counts = (counters.retries_free, counters.retries_budget);
        assert_eq!(counts, if free { (1, 0) } else { (0, 1) }, "{reason:?}");
    }
}

// When a node fails, its reads must be retried even if hedges have used up the budget.
#[test]
fn does_not_charge_retries_after_a_lost_owner() {
    let mut harness = Harness::new(1);
    let (_, sub) = sub_requests(&harness.read(1, Full)).remove(0);
    let reason = FailureReason::OwnerLost;
    let retry = sub_requests(&harness.reply(&sub, SubOutcome::Failed { reason }));
    assert_eq!(retry.len(), 1);
    assert_eq!(harness.coordinator.counters().retries_free, 1);
}

// Two replicas at their limit indicate overload. Asking all others as well would only delay the
// refusal, so further retries are limited to the remaining budget.
#[test]
fn charges_retries_after_two_overloaded_refusals() {
    let mut harness = Harness::without_reports(1, 14);
    let held = [range(0, 1_000)];
    for replica in 0..14 {
        harness.report(replica, report(&[(1, &held[..])], 0, 5_000));
    }
    let mut open = sub_requests(&harness.read(1, Full));
    while let Some((_, sub)) = open.pop() {
        let outcome = refused(RefusalReason::Overloaded);
        open.extend(sub_requests(&harness.reply(&sub, outcome)));
    }
    assert_eq!(harness.coordinator.counters().retries_free, 1);
    assert_eq!(harness.coordinator.open_requests(), 0);
}

// A first sub-request must not wait at one replica while another has a free slot, and must not
// alternate between two busy replicas.
#[test]
fn moves_from_a_busy_replica_and_then_waits_at_the_best() {
    let mut harness = Harness::new(1);
    let (_, first) = sub_requests(&harness.read(1, Full)).remove(0);
    assert!(first.start_within_us.is_some());
    let busy = refused(RefusalReason::Busy);
    let held = [range(0, 1_000)];
    let report_with_wait = |wait_us| report(&[(1, &held[..])], wait_us, 5_000);
    harness.report(first.replica.0, report_with_wait(20_000));
    let (_, second) = sub_requests(&harness.reply(&first, busy.clone())).remove(0);
    assert_ne!(second.replica, first.replica);
    assert!(second.start_within_us.is_some());
    harness.report(second.replica.0, report_with_wait(60_000));
    let (_, last) = sub_requests(&harness.reply(&second, busy)).remove(0);
    assert_eq!(last.replica, first.replica);
    assert_eq!(last.start_within_us, None);
    assert_eq!(harness.coordinator.counters().retries_budget, 0);
}

// If a service has only one replica, its sub-requests must wait for a slot, because there is
// no other replica to move to.
#[test]
fn waits_for_a_slot_if_there_is_no_other_replica() {
    let mut harness = Harness::without_reports(1, 1);
    let held = [range(0, 1_000)];
    harness.report(0, report(&[(1, &held[..])], 50_000, 5_000));
    let (_, only) = sub_requests(&harness.read(1, Full)).remove(0);
    assert_eq!(only.start_within_us, None);
}

// Owners that keep refusing must not cause retries without end.
#[test]
fn bounds_the_free_retries_of_a_sub_request() {
    let mut harness = Harness::without_reports(1, 14);
    let held = [range(0, 1_000)];
    for replica in 0..14 {
        harness.report(replica, report(&[(1, &held[..])], 0, 5_000));
    }
    let mut open = sub_requests(&harness.read(1, Full));
    let mut count = 0;
    while let Some((_, sub)) = open.pop() {
        count += 1;
        open.extend(sub_requests(
            &harness.reply(&sub, refused(RefusalReason::Leaving)),
        ));
    }
    // `MAX_FREE_RETRIES` and `MAX_SUB_REQUESTS_PER_LEG`.
    assert_eq!(harness.coordinator.counters().retries_free, 5);
    assert_eq!(count, 8);
    assert_eq!(harness.coordinator.open_requests(), 0);
}
