//! Writes run at most once: a write runs only after its request id was recorded in the store, by a
//! claim.

mod common;

use common::Cluster;
use wigeonhall_node::StatusName;
use wigeonhall_node::unix_ms;
use wigeonhall_platform::ChangeOutcome;
use wigeonhall_types::Verdict;

/// Guards against a write that runs twice or fails after the store accepted its claim and the
/// reply was lost, and against repeats that get another answer.
#[test]
fn a_write_runs_once_if_its_claim_reply_is_lost() {
    let cluster = Cluster::start(1);
    for lost in 1..=3 {
        for round in 0..10 {
            let id = format!("claim-reply-lost-{lost}-{round}");
            // The shifted key spreads the writes over the shards.
            let request = common::write_request(&id, round << 28);
            cluster.store.lose_write_replies(lost);
            let answer = common::write(cluster.address(round as usize % 3), &request);
            cluster.store.lose_write_replies(0);
            assert_eq!(answer.status, StatusName::Whole, "{answer:?}");
            assert_eq!(cluster.executions(&id), 1);
            for address in cluster.addresses() {
                let repeat = common::write(address, &common::repeat_of(&request));
                assert_ne!(repeat.verdict, Verdict::NotRun, "{repeat:?}");
                assert_eq!(cluster.executions(&id), 1);
            }
            common::wait_until("the stored answer", || {
                cluster.addresses().into_iter().all(|address| {
                    let repeat = common::write(address, &common::repeat_of(&request));
                    repeat.verdict == Verdict::Ran && repeat.snapshot == answer.snapshot
                })
            });
        }
    }
    assert!(cluster.store.counts().lost_replies >= 30);
    cluster.assert_target_limits();
}

/// Guards against a second run of a write after a target ran it and the reply was lost.
#[test]
fn a_write_is_not_resent_if_its_target_reply_is_lost() {
    let cluster = Cluster::start(1);
    let mut runs_with_lost_reply = 0;
    for round in 0..20 {
        let id = format!("reply-lost-{round}");
        let request = common::write_request(&id, round << 27);
        for target in &cluster.targets {
            target.lose_replies(1);
        }
        let answer = common::write(cluster.address(round as usize % 3), &request);
        for target in &cluster.targets {
            target.lose_replies(0);
        }
        if answer.verdict == Verdict::NotRun {
            assert_eq!(cluster.executions(&id), 0, "{answer:?}");
            continue;
        }
        assert_eq!(answer.verdict, Verdict::MayHaveRun, "{answer:?}");
        runs_with_lost_reply += cluster.executions(&id);
        for address in cluster.addresses() {
            let repeat = common::write(address, &common::repeat_of(&request));
            assert_eq!(repeat.verdict, Verdict::MayHaveRun, "{repeat:?}");
        }
        assert!(cluster.executions(&id) <= 1);
    }
    assert!(runs_with_lost_reply > 0);
    cluster.assert_target_limits();
}

/// Guards against several runs of a write that callers send with one request id to all nodes
/// at the same time.
#[test]
fn concurrent_repeats_run_once() {
    let cluster = Cluster::start(1);
    for round in 0..10 {
        let id = format!("race-{round}");
        let request = common::repeat_of(&common::write_request(&id, round << 28));
        let answers: Vec<_> = std::thread::scope(|scope| {
            let addresses = cluster.addresses().into_iter().cycle().take(9);
            let request = &request;
            let callers: Vec<_> = addresses
                .map(|it| scope.spawn(move || common::write(it, request)))
                .collect();
            let joined = callers.into_iter().map(|it| it.join().unwrap());
            joined.collect()
        });
        assert_eq!(cluster.executions(&id), 1, "{answers:?}");
        assert!(answers.iter().all(|it| it.verdict != Verdict::NotRun));
        assert!(answers.iter().any(|it| it.status == StatusName::Whole));
    }
}

/// Guards against old claims that fill the store, and against the deletion of claims that still
/// protect a caller's repeats.
#[test]
fn claims_older_than_25_hours_are_deleted() {
    const HOUR_MS: u64 = 3_600_000;
    let mut cluster = Cluster::start_stand_ins(1);
    let api = cluster.api();
    let now = unix_ms() / HOUR_MS;
    let path = |age: u64, index: u64| format!("claims/{}/claim-{index}", now - age);
    for index in 0..30 {
        for age in [0, 24, 25, 27, 1_000] {
            let stored = api.put(&path(age, index), 0, "{}").unwrap();
            assert!(matches!(stored, ChangeOutcome::Stored { .. }));
        }
    }
    for index in 0..3 {
        cluster.start_node(index);
    }
    let stored = |age: u64| {
        let found = (0..30).filter(|&it| cluster.store.object(&path(age, it)).is_some());
        found.count()
    };
    common::wait_until("the deletions", || stored(27) + stored(1_000) == 0);
    for kept in [0, 24, 25] {
        assert_eq!(stored(kept), 30);
    }
    // A single node runs the clean-up, so each claim is deleted once.
    assert_eq!(cluster.store.counts().deletes, 60);
}
