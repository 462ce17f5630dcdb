//! Tests that missing reports are awaited and old reports are refreshed or dropped. The owner of a
//! replica, the one node through which all requests to it go, describes the replica in reports.

mod prelude;

use prelude::*;

fn asked_owners(actions: &[QueryAction]) -> Vec<u32> {
    let owners = actions.iter().filter_map(|action| match action {
        QueryAction::AskReports(node) => Some(node.0),
        _ => None,
    });
    owners.collect()
}

#[test]
fn asks_new_owners_for_reports_immediately() {
    // Node 5 becomes the owner of the replicas of data centre 0, in epoch 2.
    let mut harness = Harness::new(1);
    let actions = harness.event(QueryEvent::Owners(table(&deployment(1, 2), 0, 2, 5)));
    assert_eq!(asked_owners(&actions), []);
    let mut harness = Harness::without_reports(1, 2);
    harness.now_us += 30_000;
    let actions = harness.event(QueryEvent::Owners(table(&deployment(1, 2), 0, 2, 5)));
    assert_eq!(asked_owners(&actions), [1, 5]);
}

// A partial answer based on the first owner that reports would omit the shards of the other
// owners.
#[test]
fn waits_for_the_reports_of_every_owner() {
    for demand in [Full, Partial] {
        let mut harness = Harness::without_reports(2, 2);
        harness.now_us += 30_000;
        let actions = harness.read(1, demand);
        assert_eq!(asked_owners(&actions), [0, 1]);
        assert!(answers(&actions).is_empty());
        let held = [range(0, 1_000)];
        harness.report(0, report(&[(1, &held[..])], 0, 5_000));
        assert!(sub_requests(&harness.run_to(harness.now_us + 2_000)).is_empty());
        harness.report_all(&[1]);
        assert_eq!(
            sub_requests(&harness.run_to(harness.now_us + 2_000)).len(),
            2
        );
    }
}

#[test]
fn refuses_when_no_report_comes_and_does_not_wait_again() {
    let mut harness = Harness::without_reports(1, 2);
    assert!(answers(&harness.read(1, Full)).is_empty());
    // The read arrives at 1 s and waits 50 ms for reports.
    let answer = only_answer(&harness.run_to(1_060_000));
    let no_replica = AnswerStatus::Refused(AbsentReason::NoReplica);
    assert_eq!(answer.status, no_replica);
    assert_eq!(only_answer(&harness.read(2, Full)).status, no_replica);
}

#[test]
fn refreshes_reports_after_one_second() {
    let mut harness = Harness::new(1);
    assert_eq!(asked_owners(&harness.run_to(1_999_999)), []);
    assert_eq!(asked_owners(&harness.run_to(2_000_000)), [0, 1]);
    harness.now_us = 2_500_000;
    harness.report_all(&[1]);
    assert_eq!(asked_owners(&harness.run_to(3_499_999)), []);
    assert_eq!(asked_owners(&harness.run_to(3_500_000)), [0, 1]);
}

// Only a report makes an owner that was declared lost usable again, so it must still be asked for
// reports.
#[test]
fn keeps_asking_a_lost_owner() {
    let mut harness = Harness::new(1);
    harness.event(QueryEvent::NodeLost(NodeKey(0)));
    assert!(asked_owners(&harness.run_to(2_000_000)).contains(&0));
}

// Reports of the previous owner may arrive after those of the current owner.
#[test]
fn drops_reports_of_an_older_epoch() {
    let mut harness = Harness::new(1);
    let held = [range(0, 1_000)];
    let mut newer = report(&[(2, &held[..])], 0, 5_000);
    newer.epoch = 2;
    for replica in 0..2 {
        harness.report(replica, newer.clone());
        harness.report(replica, report(&[(1, &held[..])], 0, 5_000));
    }
    let subs = sub_requests(&harness.read(1, Full));
    assert_eq!(subs[0].1.version.expect("pinned").0, 2);
    assert_eq!(harness.coordinator.counters().stale_facts, 2);
}
