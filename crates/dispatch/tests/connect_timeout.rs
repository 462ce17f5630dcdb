//! Guards against a replica without power that holds each request for as long as the longest
//! timeout, and against a replica that is only slow to accept and counts as unreachable for good.

mod common;

use wigeonhall_dispatch::NotRunCause;
use wigeonhall_dispatch::Pool;
use wigeonhall_dispatch::Reply;

use common::MS;
use common::add;
use common::pool;

const UNREACHABLE: Reply = Reply::NotRun(NotRunCause::Unreachable);

/// Returns a pool that opened connections with this latency.
fn pool_with_connections(latency_us: u64) -> Pool {
    let mut pool = pool();
    let replica = add(&mut pool, "b", 9);
    for _ in 0..100 {
        pool.observe_connect(replica, latency_us);
    }
    pool
}

#[test]
fn without_experience_the_timeout_is_the_longest() {
    let mut pool = pool();
    let replica = add(&mut pool, "a", 1);
    assert_eq!(pool.connect_timeout_us(replica), 500 * MS);
}

#[test]
fn the_timeout_follows_the_latencies_within_its_bounds() {
    for (latency_us, timeouts_ms) in [(MS, 100..=100), (20 * MS, 150..=250), (200 * MS, 500..=500)]
    {
        let mut pool = pool_with_connections(latency_us);
        let replica = add(&mut pool, "a", 1);
        let timeout_ms = pool.connect_timeout_us(replica) / MS;
        assert!(timeouts_ms.contains(&timeout_ms), "{timeout_ms} ms");
    }
}

#[test]
fn the_timeout_doubles_with_each_failure_of_the_replica() {
    let mut pool = pool_with_connections(MS);
    let failing = add(&mut pool, "a", 1);
    let other = add(&mut pool, "a", 2);
    let timeouts_ms = (0..4).map(|_| {
        let timeout_us = pool.connect_timeout_us(failing);
        pool.request_started(0, failing);
        pool.request_finished(0, failing, UNREACHABLE, 1.0);
        timeout_us / MS
    });
    assert_eq!(timeouts_ms.collect::<Vec<u64>>(), [100, 200, 400, 500]);
    assert_eq!(pool.connect_timeout_us(other), 100 * MS);
    pool.request_started(0, failing);
    pool.request_finished(0, failing, Reply::Success, 1.0);
    assert_eq!(pool.connect_timeout_us(failing), 100 * MS);
}
