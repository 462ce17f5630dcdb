//! Tests that sub-requests go only to usable replicas, and prefer fast ones. The owner of a replica
//! is the one node through which all requests to the replica go.

mod prelude;

use prelude::*;

/// Reads the only service, replies, and returns the replica that was chosen.
fn replica_of_read(harness: &mut Harness, id: u64) -> u32 {
    let (_, sub) = sub_requests(&harness.read(id, Full)).remove(0);
    harness.reply(&sub, whole_reply(&sub));
    sub.replica.0
}

#[test]
fn prefers_the_local_data_centre_unless_it_is_slower() {
    let mut harness = Harness::new(1);
    for id in 0..20 {
        assert_eq!(replica_of_read(&mut harness, id), 0);
    }
    let held = [range(0, 1_000)];
    // The round trip to the other data centre takes 2 ms.
    harness.report(0, report(&[(1, &held[..])], 1_500, 5_000));
    assert_eq!(replica_of_read(&mut harness, 20), 0);
    harness.report(0, report(&[(1, &held[..])], 2_500, 5_000));
    assert_eq!(replica_of_read(&mut harness, 21), 1);
    assert_eq!(harness.coordinator.counters().routed_local, 21);
    assert_eq!(harness.coordinator.counters().routed_remote, 1);
}

// Reports do not include the load that this node has placed on replicas since, so routing must
// add that load.
#[test]
fn spreads_open_sub_requests_over_replicas() {
    let mut harness = Harness::without_reports(1, 14);
    let held = [range(0, 1_000)];
    for replica in 0..14 {
        harness.report(replica, report(&[(1, &held[..])], 0, 5_000));
    }
    let mut counts = [0; 14];
    for id in 0..28 {
        let (_, sub) = sub_requests(&harness.read(id, Full)).remove(0);
        counts[sub.replica.index()] += 1;
    }
    assert!(
        counts.iter().all(|count| (1..=4).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn sends_nothing_to_replicas_in_unusable_states() {
    let states = [
        ReplicaState::Leaving,
        ReplicaState::Out,
        ReplicaState::Unreachable,
    ];
    for state in states {
        let mut harness = Harness::new(1);
        let held = [range(0, 1_000)];
        let mut unusable = report(&[(1, &held[..])], 0, 100);
        unusable.state = state;
        harness.report(0, unusable.clone());
        assert_eq!(replica_of_read(&mut harness, 1), 1);
        harness.report(1, unusable);
        let answer = only_answer(&harness.read(2, Full));
        assert_eq!(
            answer.status,
            AnswerStatus::Refused(AbsentReason::NoReplica)
        );
    }
}

#[test]
fn sends_nothing_to_a_data_centre_out_of_service() {
    let mut harness = Harness::new(1);
    let mut deployment = deployment(1, 2);
    let key = DataCentreKey(0);
    deployment.data_centres.get_mut(&key).expect("deployed").out = true;
    harness.event(QueryEvent::Deployment(Arc::new(deployment)));
    assert_eq!(replica_of_read(&mut harness, 1), 1);
}

#[test]
fn sends_nothing_to_a_lost_owner_until_it_reports() {
    let mut harness = Harness::new(1);
    harness.event(QueryEvent::NodeLost(NodeKey(0)));
    assert_eq!(replica_of_read(&mut harness, 1), 1);
    harness.report_all(&[1]);
    assert_eq!(replica_of_read(&mut harness, 2), 0);
}

// A replica that sheds load must get time to recover; the backoff doubles each time.
#[test]
fn doubles_the_backoff_of_a_replica_that_sheds() {
    let mut harness = Harness::new(1);
    let mut times = Vec::new();
    let (_, mut sub) = sub_requests(&harness.read(1, Full)).remove(0);
    for id in 1..4 {
        assert_eq!(sub.replica, ReplicaKey(0));
        let retry = sub_requests(&harness.reply(&sub, refused(RefusalReason::Shed)));
        harness.reply(&retry[0].1, whole_reply(&retry[0].1));
        let shed_us = harness.now_us;
        for probe in 1.. {
            harness.run_to(shed_us + probe * 1_000);
            (_, sub) = sub_requests(&harness.read(id * 100 + probe, Full)).remove(0);
            if sub.replica == ReplicaKey(0) {
                break;
            }
            harness.reply(&sub, whole_reply(&sub));
        }
        times.push(harness.now_us - shed_us);
    }
    assert_eq!(times, [5_000, 10_000, 20_000]);
}

// If a hedge always overtakes a slow replica, no reply of that replica shows its latency.
// Routing must learn it from the hedges.
#[test]
fn learns_from_hedges_that_a_replica_is_slow() {
    let mut harness = Harness::new(1);
    let mut to_slow_replica = 0;
    for id in 0..100 {
        let (_, mut sub) = sub_requests(&harness.read(id, Full)).remove(0);
        while sub.replica == ReplicaKey(0) {
            to_slow_replica += 1;
            let wake_us = harness.coordinator.next_wake_us().expect("a hedge is due");
            (_, sub) = sub_requests(&harness.run_to(wake_us)).remove(0);
        }
        harness.now_us += 5_000;
        harness.reply(&sub, whole_reply(&sub));
    }
    assert_eq!(to_slow_replica, 1);
}
