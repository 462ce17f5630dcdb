//! Guards against replicas that start again under their id and get the load of warm ones until their
//! registration arrives, which crashes them.

mod common;

use std::sync::Arc;

use wigeonhall_dispatch::Availability;
use wigeonhall_dispatch::NotRunCause;
use wigeonhall_dispatch::Pool;
use wigeonhall_dispatch::ReplicaKey;
use wigeonhall_dispatch::Reply;
use wigeonhall_dispatch::UnknownCause;

use common::MS;
use common::S;
use common::add;
use common::registration;
use common::spec_with_cold_start;

const COLD_START_MS: u64 = 3_000;

const RATE_PER_S: f64 = 10.0;

const REFUSED: Reply = Reply::NotRun(NotRunCause::ConnectionRefused);

/// Returns the pool of one of several nodes that share the rate of cold replicas, and a warm replica.
fn pool_of(node: u64, nodes: usize, cold_start_ms: u64) -> (Pool, ReplicaKey) {
    let mut pool = Pool::new("north".into(), node);
    pool.set_nodes(nodes);
    pool.apply_service_spec(&spec_with_cold_start(RATE_PER_S, cold_start_ms));
    let key = add(&mut pool, "a", 1);
    (pool, key)
}

/// Sends requests every 5 ms, as far as the pool allows it; returns their times.
fn send(pool: &mut Pool, from_us: u64, until_us: u64, reply: Reply) -> Vec<u64> {
    let service = pool.service_key(&Arc::from("a"));
    let mut sent_us = Vec::new();
    for now_us in (from_us..until_us).step_by(5 * MS as usize) {
        if let Some(key) = pool.choose(now_us, service, &[]) {
            pool.request_started(now_us, key);
            pool.request_finished(now_us, key, reply, 1.0);
            sent_us.push(now_us);
        }
    }
    sent_us
}

/// Returns whether the pool would send a request at each of many moments of a short time.
fn takes_all(pool: &mut Pool, from_us: u64) -> bool {
    send(pool, from_us, from_us + S, Reply::Success).len() == 200
}

/// Four nodes find a replica down for 0.5 to 4.5 s. Their registrations do not change meanwhile.
#[test]
fn a_replica_that_refused_connections_gets_the_rate_of_a_cold_one() {
    const NODES: u64 = 4;
    for down_ms in [500, 800, 1_200, 2_000, 4_500] {
        let restarted_us = S + down_ms * MS;
        let mut sent_us = Vec::new();
        for node in 0..NODES {
            let (mut pool, _) = pool_of(node, NODES as usize, COLD_START_MS);
            send(&mut pool, 0, S, Reply::Success);
            send(&mut pool, S, restarted_us, REFUSED);
            let cold_until_us = restarted_us + COLD_START_MS * MS;
            // A second that begins in the cold start may end after it.
            let until_us = cold_until_us + S;
            sent_us.extend(send(&mut pool, restarted_us, until_us, Reply::Success));
            assert!(takes_all(&mut pool, restarted_us + 10 * S), "{down_ms}");
        }
        sent_us.sort_unstable();
        let ends = 0..sent_us.len();
        let most = ends.map(|end| end + 1 - sent_us.partition_point(|at| at + S <= sent_us[end]));
        let allowed = (RATE_PER_S * 1.5) as usize + 5;
        let most = most.max().unwrap_or_default();
        assert!((1..=allowed).contains(&most), "{down_ms}: {most}");
    }
}

/// The last registration of the process that has ended may arrive after the next one has started.
#[test]
fn a_registration_of_the_former_process_does_not_end_the_cold_start() {
    let (mut pool, _) = pool_of(1, 1, COLD_START_MS);
    send(&mut pool, 0, 100 * MS, REFUSED);
    let mut late = registration("a", 1, "north");
    late.sequence = 2;
    assert_eq!(pool.register(S, late), None);
    assert!(!takes_all(&mut pool, S));
}

/// A process that is warm, by what it says of itself, must not be held back.
#[test]
fn the_registration_of_a_new_process_takes_the_place_of_the_presumption() {
    let (mut pool, _) = pool_of(1, 1, COLD_START_MS);
    send(&mut pool, 0, 100 * MS, REFUSED);
    let mut next = registration("a", 1, "north");
    next.started_unix_ms += 1;
    assert!(pool.register(S, next).is_some());
    assert!(takes_all(&mut pool, S));
}

/// A crash under a request is known before any connection is refused.
#[test]
fn a_replica_that_crashed_under_a_request_gets_the_rate_of_a_cold_one() {
    let (mut pool, key) = pool_of(1, 1, COLD_START_MS);
    pool.request_started(0, key);
    pool.request_finished(0, key, Reply::Unknown(UnknownCause::Crashed), 1.0);
    assert!(!takes_all(&mut pool, S));
}

/// Replicas that pause, that cannot be reached, or that close a connection have not started again.
#[test]
fn other_failures_do_not_make_a_replica_cold() {
    let failures = [
        Reply::Failed { status: 500 },
        Reply::NotRun(NotRunCause::Busy),
        Reply::NotRun(NotRunCause::Unreachable),
        Reply::Unknown(UnknownCause::Reset),
        Reply::Unknown(UnknownCause::Silent),
    ];
    for failure in failures {
        let (mut pool, key) = pool_of(1, 1, COLD_START_MS);
        pool.request_started(0, key);
        pool.request_finished(0, key, failure, 1.0);
        assert!(takes_all(&mut pool, S), "{failure:?}");
    }
}

/// Where no cold start is stated, replicas take all requests as soon as they are back.
#[test]
fn without_a_stated_cold_start_no_replica_is_held_back() {
    let (mut pool, key) = pool_of(1, 1, 0);
    pool.request_started(0, key);
    pool.request_finished(0, key, REFUSED, 1.0);
    assert!(takes_all(&mut pool, S));
}

/// A node with a small share of the rate may send nothing for long, and would never learn that the
/// replica is the old one.
#[test]
fn a_replica_that_refused_a_connection_once_is_not_held_back_for_good() {
    let (mut pool, key) = pool_of(1, 100_000, COLD_START_MS);
    pool.request_started(0, key);
    pool.request_finished(0, key, REFUSED, 1.0);
    assert_eq!(pool.availability(20 * S, key), Some(Availability::Cold));
    assert!(takes_all(&mut pool, 31 * S));
}
