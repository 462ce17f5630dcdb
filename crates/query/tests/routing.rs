//! Guards against work for replicas that take none, and against slow choices.

mod prelude;

use prelude::*;

/// Replica that a read of the one service goes to; the read is answered.
fn chosen(world: &mut World, id: u64) -> u32 {
    let (_, sub) = sends(&world.read(id, Full)).remove(0);
    world.reply(&sub, whole_of(&sub));
    sub.replica.0
}

#[test]
fn prefers_the_own_data_centre_unless_it_is_slower() {
    let mut world = World::new(1);
    for id in 0..20 {
        assert_eq!(chosen(&mut world, id), 0);
    }
    let held = [range(0, 1_000)];
    // The hop to the other data centre and back takes 2 ms.
    world.report(0, report(&[(1, &held[..])], 1_500, 5_000));
    assert_eq!(chosen(&mut world, 20), 0);
    world.report(0, report(&[(1, &held[..])], 2_500, 5_000));
    assert_eq!(chosen(&mut world, 21), 1);
    assert_eq!(world.core.counters().routed_local, 21);
    assert_eq!(world.core.counters().routed_remote, 1);
}

// The reports of replicas that this node itself loads lag behind.
#[test]
fn spreads_open_sub_requests_over_replicas() {
    let mut world = World::silent(1, 14);
    let held = [range(0, 1_000)];
    for replica in 0..14 {
        world.report(replica, report(&[(1, &held[..])], 0, 5_000));
    }
    let mut counts = [0; 14];
    for id in 0..28 {
        let (_, sub) = sends(&world.read(id, Full)).remove(0);
        counts[sub.replica.index()] += 1;
    }
    assert!(
        counts.iter().all(|count| (1..=4).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn sends_nothing_to_replicas_that_take_no_work() {
    let states = [
        ReplicaState::Leaving,
        ReplicaState::Out,
        ReplicaState::Unreachable,
    ];
    for state in states {
        let mut world = World::new(1);
        let held = [range(0, 1_000)];
        let mut leaving = report(&[(1, &held[..])], 0, 100);
        leaving.state = state;
        world.report(0, leaving.clone());
        assert_eq!(chosen(&mut world, 1), 1);
        world.report(1, leaving);
        let answer = only_answer(&world.read(2, Full));
        assert_eq!(
            answer.status,
            AnswerStatus::Refused(AbsentReason::NoReplica)
        );
    }
}

#[test]
fn sends_nothing_to_a_data_centre_that_is_out() {
    let mut world = World::new(1);
    let mut deployment = deployment(1, 2);
    let key = DataCentreKey(0);
    deployment.data_centres.get_mut(&key).expect("deployed").out = true;
    world.event(QueryEvent::Deployment(Arc::new(deployment)));
    assert_eq!(chosen(&mut world, 1), 1);
}

#[test]
fn sends_nothing_to_a_lost_owner_until_it_is_heard_from() {
    let mut world = World::new(1);
    world.event(QueryEvent::NodeLost(NodeKey(0)));
    assert_eq!(chosen(&mut world, 1), 1);
    world.report_all(&[1]);
    assert_eq!(chosen(&mut world, 2), 0);
}

// A replica that sheds must get time to recover, more of it each time.
#[test]
fn puts_a_shedding_replica_back_for_a_growing_time() {
    let mut world = World::new(1);
    let mut times = Vec::new();
    let (_, mut sub) = sends(&world.read(1, Full)).remove(0);
    for id in 1..4 {
        assert_eq!(sub.replica, ReplicaKey(0));
        let retry = sends(&world.reply(&sub, refused(RefusalReason::Shed)));
        world.reply(&retry[0].1, whole_of(&retry[0].1));
        let shed_us = world.now_us;
        for probe in 1.. {
            world.run_to(shed_us + probe * 1_000);
            (_, sub) = sends(&world.read(id * 100 + probe, Full)).remove(0);
            if sub.replica == ReplicaKey(0) {
                break;
            }
            world.reply(&sub, whole_of(&sub));
        }
        times.push(world.now_us - shed_us);
    }
    assert_eq!(times, [5_000, 10_000, 20_000]);
}

// A straggler whose replies always lose to hedges is never heard from in replies.
#[test]
fn learns_from_hedges_that_a_replica_is_slow() {
    let mut world = World::new(1);
    let mut to_straggler = 0;
    for id in 0..100 {
        let (_, mut sub) = sends(&world.read(id, Full)).remove(0);
        while sub.replica == ReplicaKey(0) {
            to_straggler += 1;
            let wake_us = world.core.next_wake_us().expect("a hedge is due");
            (_, sub) = sends(&world.run_to(wake_us)).remove(0);
        }
        world.now_us += 5_000;
        world.reply(&sub, whole_of(&sub));
    }
    assert_eq!(to_straggler, 1);
}
