//! Tests that sub-requests reach the right owner and are not lost while owners change or fail. The
//! owner of a replica is the one node through which all requests to the replica go.

mod prelude;

use prelude::*;

#[test]
fn keeps_open_sub_requests_at_the_old_owner() {
    let mut harness = Harness::new(1);
    let subs = sub_requests(&harness.read(1, Full));
    assert_eq!(subs[0].0, NodeKey(0));
    // Node 5 becomes the owner of the replicas of data centre 0, in epoch 2.
    let actions = harness.event(QueryEvent::Owners(table(&deployment(1, 2), 0, 2, 5)));
    assert!(sub_requests(&actions).is_empty());
    let actions = harness.reply(&subs[0].1, whole_reply(&subs[0].1));
    assert_eq!(answers(&actions)[0].status, AnswerStatus::Whole);
    let subs = sub_requests(&harness.read(2, Full));
    assert_eq!((subs[0].0, subs[0].1.epoch), (NodeKey(5), 2));
}

#[test]
fn retries_reads_of_a_lost_owner_elsewhere() {
    let mut harness = Harness::new(1);
    let subs = sub_requests(&harness.read(1, Full));
    let retry = sub_requests(&harness.event(QueryEvent::NodeLost(NodeKey(0))));
    assert_eq!(retry.len(), 1);
    assert_eq!(retry[0].0, NodeKey(1));
    assert_eq!(harness.coordinator.counters().retries_free, 1);
    assert!(
        harness
            .reply(&subs[0].1, whole_reply(&subs[0].1))
            .is_empty()
    );
    let actions = harness.reply(&retry[0].1, whole_reply(&retry[0].1));
    assert_eq!(answers(&actions)[0].status, AnswerStatus::Whole);
}

// The old owner may apply a new ownership table and refuse a sub-request that was sent to it
// before. The retry must go to the new owner of the same replica.
#[test]
fn sends_to_the_new_owner_after_not_owner() {
    let mut harness = Harness::new(1);
    harness.event(QueryEvent::NodeLost(NodeKey(1)));
    let subs = sub_requests(&harness.read(1, Full));
    harness.event(QueryEvent::Owners(table(&deployment(1, 2), 0, 2, 5)));
    let retry = sub_requests(&harness.reply(&subs[0].1, refused(RefusalReason::NotOwner)));
    assert_eq!(retry[0].0, NodeKey(5));
    assert_eq!(retry[0].1.replica, subs[0].1.replica);
    assert_eq!(harness.coordinator.counters().retries_free, 1);
}

#[test]
fn drops_older_ownership_tables() {
    let mut harness = Harness::new(1);
    harness.event(QueryEvent::Owners(table(&deployment(1, 2), 0, 3, 5)));
    harness.event(QueryEvent::Owners(table(&deployment(1, 2), 0, 2, 6)));
    assert_eq!(sub_requests(&harness.read(1, Full))[0].0, NodeKey(5));
    assert_eq!(harness.coordinator.counters().stale_facts, 1);
}
