//! Writes run at most once.

mod common;

use common::World;
use wigeonhall_node::StatusName;
use wigeonhall_node::unix_ms;
use wigeonhall_platform::PutOutcome;
use wigeonhall_types::Verdict;

/// Guards against a write that is claimed twice or given up after the store took
/// its claim and lost the reply, and against repeats with another answer.
#[test]
fn a_lost_claim_reply_neither_doubles_nor_loses_a_write() {
    let world = World::start(1);
    for lost in 1..=3 {
        for round in 0..10 {
            let id = format!("lost-{lost}-{round}");
            let request = common::write_request(&id, round << 28);
            world.store.lose_write_replies(lost);
            let answer = common::write(world.address(round as usize % 3), &request);
            world.store.lose_write_replies(0);
            assert_eq!(answer.status, StatusName::Whole, "{answer:?}");
            assert_eq!(world.executions(&id), 1);
            for address in world.addresses() {
                let repeat = common::write(address, &common::repeat_of(&request));
                assert_ne!(repeat.verdict, Verdict::NotRun, "{repeat:?}");
                assert_eq!(world.executions(&id), 1);
            }
            common::wait_until("the stored answer", || {
                world.addresses().into_iter().all(|address| {
                    let repeat = common::write(address, &common::repeat_of(&request));
                    repeat.verdict == Verdict::Ran && repeat.snapshot == answer.snapshot
                })
            });
        }
    }
    assert!(world.store.counts().lost_replies >= 30);
    world.assert_limits();
}

/// Guards against a second run of a write that a target ran without a reply.
#[test]
fn a_lost_reply_of_a_target_is_not_sent_again() {
    let world = World::start(1);
    let mut unsure = 0;
    for round in 0..20 {
        let id = format!("unsure-{round}");
        let request = common::write_request(&id, round << 27);
        for target in &world.targets {
            target.lose_replies(1);
        }
        let answer = common::write(world.address(round as usize % 3), &request);
        for target in &world.targets {
            target.lose_replies(0);
        }
        if answer.verdict == Verdict::NotRun {
            assert_eq!(world.executions(&id), 0, "{answer:?}");
            continue;
        }
        assert_eq!(answer.verdict, Verdict::MayHaveRun, "{answer:?}");
        unsure += world.executions(&id);
        for address in world.addresses() {
            let repeat = common::write(address, &common::repeat_of(&request));
            assert_eq!(repeat.verdict, Verdict::MayHaveRun, "{repeat:?}");
        }
        assert!(world.executions(&id) <= 1);
    }
    assert!(unsure > 0);
    world.assert_limits();
}

/// Guards against many callers that send one request id at once at all nodes.
#[test]
fn concurrent_repeats_run_once() {
    let world = World::start(1);
    for round in 0..10 {
        let id = format!("race-{round}");
        let request = common::repeat_of(&common::write_request(&id, round << 28));
        let answers: Vec<_> = std::thread::scope(|scope| {
            let addresses = world.addresses().into_iter().cycle().take(9);
            let request = &request;
            let callers: Vec<_> = addresses
                .map(|it| scope.spawn(move || common::write(it, request)))
                .collect();
            let joined = callers.into_iter().map(|it| it.join().unwrap());
            joined.collect()
        });
        assert_eq!(world.executions(&id), 1, "{answers:?}");
        assert!(answers.iter().all(|it| it.verdict != Verdict::NotRun));
        assert!(answers.iter().any(|it| it.status == StatusName::Whole));
    }
}

/// Guards against claims that fill the store, and against the deletion of claims
/// that a caller may still rely on.
#[test]
fn claims_older_than_25_hours_are_deleted() {
    const HOUR_MS: u64 = 3_600_000;
    let mut world = World::stand_ins(1);
    let api = world.api();
    let now = unix_ms() / HOUR_MS;
    let path = |age: u64, index: u64| format!("claims/{}/claim-{index}", now - age);
    for index in 0..30 {
        for age in [0, 24, 25, 27, 1_000] {
            let stored = api.put(&path(age, index), 0, "{}").unwrap();
            assert!(matches!(stored, PutOutcome::Stored { .. }));
        }
    }
    for index in 0..3 {
        world.start_node(index);
    }
    let held = |age: u64| {
        let held = (0..30).filter(|&it| world.store.object(&path(age, it)).is_some());
        held.count()
    };
    common::wait_until("the deletions", || held(27) + held(1_000) == 0);
    for kept in [0, 24, 25] {
        assert_eq!(held(kept), 30);
    }
    // One node cleans, and each claim is deleted once.
    assert_eq!(world.store.counts().deletes, 60);
}
