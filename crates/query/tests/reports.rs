//! Guards against decisions on reports that are missing or old.

mod prelude;

use prelude::*;

fn asks(actions: &[QueryAction]) -> Vec<u32> {
    let asks = actions.iter().filter_map(|action| match action {
        QueryAction::AskReports(node) => Some(node.0),
        _ => None,
    });
    asks.collect()
}

#[test]
fn asks_new_owners_at_once() {
    let mut world = World::new(1);
    let actions = world.event(QueryEvent::Owners(table(&deployment(1, 2), 0, 2, 5)));
    assert_eq!(asks(&actions), []);
    let mut world = World::silent(1, 2);
    world.now_us += 30_000;
    let actions = world.event(QueryEvent::Owners(table(&deployment(1, 2), 0, 2, 5)));
    assert_eq!(asks(&actions), [1, 5]);
}

// A partial answer from the first owner that reports would hide the shards of others.
#[test]
fn waits_for_the_reports_of_every_owner() {
    for demand in [Full, Partial] {
        let mut world = World::silent(2, 2);
        world.now_us += 30_000;
        let actions = world.read(1, demand);
        assert_eq!(asks(&actions), [0, 1]);
        assert!(answers(&actions).is_empty());
        let held = [range(0, 1_000)];
        world.report(0, report(&[(1, &held[..])], 0, 5_000));
        assert!(sends(&world.run_to(world.now_us + 2_000)).is_empty());
        world.report_all(&[1]);
        assert_eq!(sends(&world.run_to(world.now_us + 2_000)).len(), 2);
    }
}

#[test]
fn refuses_when_no_report_comes_and_does_not_wait_again() {
    let mut world = World::silent(1, 2);
    assert!(answers(&world.read(1, Full)).is_empty());
    let answer = only_answer(&world.run_to(1_060_000));
    let no_replica = AnswerStatus::Refused(AbsentReason::NoReplica);
    assert_eq!(answer.status, no_replica);
    assert_eq!(only_answer(&world.read(2, Full)).status, no_replica);
}

#[test]
fn refreshes_owners_that_were_not_heard_from_for_a_second() {
    let mut world = World::new(1);
    assert_eq!(asks(&world.run_to(1_999_999)), []);
    assert_eq!(asks(&world.run_to(2_000_000)), [0, 1]);
    world.now_us = 2_500_000;
    world.report_all(&[1]);
    assert_eq!(asks(&world.run_to(3_499_999)), []);
    assert_eq!(asks(&world.run_to(3_500_000)), [0, 1]);
}

// An owner that was lost and answers again is used again.
#[test]
fn keeps_asking_a_lost_owner() {
    let mut world = World::new(1);
    world.event(QueryEvent::NodeLost(NodeKey(0)));
    assert!(asks(&world.run_to(2_000_000)).contains(&0));
}

// Reports of the owner before may arrive after those of the owner now.
#[test]
fn drops_reports_of_an_older_epoch() {
    let mut world = World::new(1);
    let held = [range(0, 1_000)];
    let mut newer = report(&[(2, &held[..])], 0, 5_000);
    newer.epoch = 2;
    for replica in 0..2 {
        world.report(replica, newer.clone());
        world.report(replica, report(&[(1, &held[..])], 0, 5_000));
    }
    let subs = sends(&world.read(1, Full));
    assert_eq!(subs[0].1.version.expect("pinned").0, 2);
    assert_eq!(world.core.counters().stale_facts, 2);
}
