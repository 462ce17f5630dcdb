//! Cold starts of targets, in which they take fewer requests than they have slots, a rolling change
//! of index versions, and targets that run past deadlines.

mod common;

use std::thread;
use std::time::Duration;

use common::Cluster;
use common::Load;
use wigeonhall_standins::TargetCounts;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::KeyRange;
use wigeonhall_types::ServedVersion;

/// Guards against more requests from all nodes together than a restarted target can serve during
/// its cold start.
#[test]
fn a_restarted_target_stays_within_its_cold_limits() {
    // Two nodes in each data centre, 12 callers.
    let cluster = Cluster::start(2);
    let load = Load::start(&cluster.addresses(), 12);
    load.wait_for_reads(20);
    for round in 0..3 {
        for name in ["shard-1-a", "shard-2-b", "shard-3-a"] {
            cluster.target(name).restart();
        }
        load.wait_for_reads(50);
        for name in ["shard-1-a", "shard-2-b", "shard-3-a"] {
            let target = cluster.target(name);
            common::wait_until("the end of the cold start", || !target.is_cold());
            assert_eq!(target.counts().restarts, round + 1);
        }
    }
    for (counts, address) in load.stop().iter().zip(cluster.addresses()) {
        counts.assert_whole_within_retry_budget(address);
    }
    cluster.assert_target_limits();
}

/// Guards against concurrent requests at a cold target that restarted while it was idle. The
/// owner can detect this restart only by the broken connections.
#[test]
fn a_target_restarted_while_idle_stays_within_its_cold_limits() {
    let cluster = Cluster::start(1);
    for target in &cluster.targets {
        // Slow targets make concurrent reads overlap.
        target.set_slowdown(50.0);
    }
    for _ in 0..5 {
        let opened_before: Vec<u64> = counts(&cluster, |it| it.connections_opened);
        for target in &cluster.targets {
            target.warm_up();
        }
        for _ in 0..4 {
            common::assert_whole(&common::read(cluster.address(0)).unwrap());
        }
        for target in &cluster.targets {
            target.restart();
        }
        // An owner keeps one connection more than a target has slots, here three.
        common::wait_until("new connections", || {
            let now = counts(&cluster, |it| it.connections_opened);
            now.iter()
                .zip(&opened_before)
                .all(|(now, before)| *now >= before + 3)
        });
        thread::scope(|scope| {
            for address in cluster.addresses().into_iter().cycle().take(9) {
                scope.spawn(move || common::read(address).unwrap());
            }
        });
        cluster.wait_for_whole_reads();
        // Reads end the cold start of the replicas that serve them.
        for address in cluster.addresses().into_iter().cycle().take(60) {
            let _ = common::read(address);
        }
    }
    cluster.assert_target_limits();
}

fn counts(cluster: &Cluster, count: impl Fn(TargetCounts) -> u64) -> Vec<u64> {
    cluster
        .targets
        .iter()
        .map(|it| count(it.counts()))
        .collect()
}

/// Returns a quarter of the key space, with its inner boundaries moved by `shift`.
fn quarter(index: u64, shift: u64) -> KeyRange {
    let end = KeyRange::WHOLE.end;
    let boundary = |index: u64| match index {
        0 => 0,
        4 => end,
        _ => index * end / 4 + shift,
    };
    KeyRange {
        start: boundary(index),
        end: boundary(index + 1),
    }
}

/// Guards against answers that mix versions or ranges while the replicas, each at its own time,
/// load the next version with other ranges and drop the old one.
#[test]
fn a_rolling_version_change_with_other_ranges_keeps_answers_whole() {
    let cluster = Cluster::start(1);
    let load = Load::start(&cluster.addresses(), 6);
    load.wait_for_reads(20);
    // Versions with odd numbers have shifted ranges, except version 1, which the targets serve at
    // first.
    let version = |index: u64, number: u64| ServedVersion {
        ranges: vec![quarter(index, number % 2 * 100_000_000)],
        version: IndexVersion(number),
    };
    let shard_index = |name: &str| {
        name["shard-".len()..="shard-".len()]
            .parse::<u64>()
            .unwrap()
            - 1
    };
    for number in 1..=4 {
        let previous_number = if number == 1 { 1 } else { number };
        for target in &cluster.targets {
            let index = shard_index(&target.name());
            let previous = if number == 1 {
                ServedVersion {
                    ranges: vec![quarter(index, 0)],
                    version: IndexVersion(1),
                }
            } else {
                version(index, previous_number)
            };
            target.set_versions(vec![previous, version(index, number + 1)]);
            thread::sleep(Duration::from_millis(30));
        }
        common::wait_until("answers of the new version", || {
            cluster.addresses().into_iter().all(|it| {
                let answer = common::read(it).unwrap();
                answer.snapshot == Some(IndexVersion(number + 1))
            })
        });
        for target in &cluster.targets {
            let index = shard_index(&target.name());
            target.set_versions(vec![version(index, number + 1)]);
        }
        load.wait_for_reads(50);
    }
    for counts in load.stop() {
        counts.assert_all_whole();
    }
    cluster.assert_target_limits();
}

/// Guards against more requests at a target than its slots if requests still run after their
/// deadline or cancellation, and against slots that are never released.
#[test]
fn a_target_that_overruns_deadlines_stays_within_its_slots() {
    let cluster = Cluster::start(1);
    let overrunning = ["shard-1-a", "shard-1-b"].map(|it| cluster.target(it));
    for target in overrunning {
        // Requests run for up to 0.4 s after their deadline, also when they are cancelled.
        target.set_deadline_overrun_us(400_000);
        target.set_slowdown(1_000.0);
    }
    let mut rounds = 0;
    // Most requests are refused, as the replicas of a shard are slow or cold.
    common::wait_until("requests that outlast their deadline", || {
        rounds += 1;
        thread::scope(|scope| {
            for address in cluster.addresses().into_iter().cycle().take(12) {
                scope.spawn(move || {
                    let mut request = common::read_request();
                    request.deadline_ms = Some(60);
                    common::post(address, "query", &request)
                });
            }
        });
        let addresses = cluster.addresses().into_iter();
        // Requests that ended without proof, such as a reply, that they no longer run at the
        // target.
        let ends_unproved = addresses.map(|it| common::counter(it, "gate", "ends_unproved"));
        rounds >= 20 && ends_unproved.sum::<u64>() > 1
    });
    for target in overrunning {
        target.set_deadline_overrun_us(0);
        target.set_slowdown(1.0);
    }
    cluster.wait_for_whole_reads();
    cluster.assert_target_limits();
}
