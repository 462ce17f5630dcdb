//! Tests that reads bypass unresponsive owners: frozen, partitioned, or dead and not yet detected.
//! The owner of a replica is the one node through which all requests to the replica go.

mod prelude;

use prelude::*;

/// Uses up the budget of the only service with overdue sub-requests at owner 0.
fn use_up_budget(harness: &mut Harness) {
    let mut id = 1_000;
    while harness.coordinator.counters().budget_refusals == 0 {
        let (_, sub) = sub_requests(&harness.read(id, Full)).remove(0);
        let hedges = sub_requests(&harness.run_to(harness.now_us + 20_000));
        harness.reply(&sub, whole_reply(&sub));
        for (_, hedge) in hedges {
            harness.reply(&hedge, whole_reply(&hedge));
        }
        id += 1;
    }
}

// While an owner is frozen and not yet declared dead, its reads must succeed even if the
// budget is used up.
#[test]
fn hedges_away_from_an_unresponsive_owner_without_budget() {
    let mut harness = Harness::new(1);
    use_up_budget(&mut harness);
    harness.now_us += 1_000;
    let (node, sub) = sub_requests(&harness.read(1, Full)).remove(0);
    let hedges = sub_requests(&harness.run_to(harness.now_us + 150_000));
    assert_eq!(harness.coordinator.counters().hedges_free, 1);
    assert_ne!(hedges[0].0, node);
    assert_ne!(hedges[0].1.replica, sub.replica);
    // No reply is expected from the first sub-request, so the hedge waits for a slot.
    assert_eq!(hedges[0].1.start_within_us, None);
    let actions = harness.reply(&hedges[0].1, whole_reply(&hedges[0].1));
    assert_eq!(only_answer(&actions).status, AnswerStatus::Whole);
}

// New reads must avoid an unresponsive owner while another owner replies, and must use it
// again once it sends a report.
#[test]
fn prefers_other_owners_until_an_unresponsive_one_reports() {
    let mut harness = Harness::new(1);
    let (node, first) = sub_requests(&harness.read(1, Full)).remove(0);
    let mut hedges = Vec::new();
    while harness.coordinator.counters().owners_silent == 0 {
        hedges.extend(sub_requests(&harness.run_to(harness.now_us + 1_000)));
    }
    harness.reply(&hedges[0].1, whole_reply(&hedges[0].1));
    let (other, sub) = sub_requests(&harness.read(2, Full)).remove(0);
    assert_ne!(other, node);
    harness.reply(&sub, whole_reply(&sub));
    let held = [range(0, WIDTH)];
    // Each report halves the lateness (moving average of the time by which replies were overdue)
    // that the first sub-request caused; it lowers the rank of the replica.
    for _ in 0..16 {
        harness.report(first.replica.0, report(&[(1, &held[..])], 0, 5_000));
    }
    let (back, _) = sub_requests(&harness.read(3, Full)).remove(0);
    assert_eq!(back, node);
}

// Hedges for a slow target must be charged to the budget if its owner is responsive.
#[test]
fn charges_hedges_for_a_slow_target_of_a_responsive_owner() {
    let mut harness = Harness::new(1);
    use_up_budget(&mut harness);
    harness.now_us += 1_000;
    let (_, sub) = sub_requests(&harness.read(1, Full)).remove(0);
    let held = [range(0, WIDTH)];
    for _ in 0..15 {
        assert!(sub_requests(&harness.run_to(harness.now_us + 10_000)).is_empty());
        harness.report(sub.replica.0, report(&[(1, &held[..])], 0, 5_000));
    }
    let counters = harness.coordinator.counters();
    assert_eq!((counters.hedges_free, counters.owners_silent), (0, 0));
}

// Hedges must not be refused with `Busy` until the deadline passes, although the other replica
// would accept a hedge that waits for a slot.
#[test]
fn hedges_wait_for_a_slot_after_two_busy_refusals() {
    let mut harness = Harness::new(1);
    let (_, first) = sub_requests(&harness.read(1, Full)).remove(0);
    let held = [range(0, WIDTH)];
    let mut waits = Vec::new();
    while waits.len() < 3 {
        harness.report(first.replica.0, report(&[(1, &held[..])], 0, 5_000));
        for (_, hedge) in sub_requests(&harness.run_to(harness.now_us + 5_000)) {
            waits.push(hedge.start_within_us.is_some());
            harness.reply(&hedge, refused(RefusalReason::Busy));
        }
    }
    assert_eq!(waits, [true, true, false]);
}

// A hedge that its owner refuses must be followed by another one.
#[test]
fn hedges_again_after_a_refused_hedge() {
    let mut harness = Harness::without_reports(1, 3);
    let held = [range(0, WIDTH)];
    for replica in 0..3 {
        harness.report(replica, report(&[(1, &held[..])], 0, 5_000));
    }
    sub_requests(&harness.read(1, Full));
    let mut hedged = Vec::new();
    while hedged.len() < 2 {
        for (_, hedge) in sub_requests(&harness.run_to(harness.now_us + 5_000)) {
            hedged.push(hedge.replica);
            harness.reply(&hedge, refused(RefusalReason::Unreachable));
        }
    }
    assert_ne!(hedged[0], hedged[1]);
}
