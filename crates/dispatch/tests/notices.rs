//! Guards against requests to a replica that announced in a response that it is draining or
//! asked for a hold-off, a time without requests.

mod common;

use std::collections::BTreeSet;
use std::sync::Arc;

use wigeonhall_dispatch::Availability;
use wigeonhall_dispatch::NotRunCause;
use wigeonhall_dispatch::Notice;
use wigeonhall_dispatch::Pool;
use wigeonhall_dispatch::RateLimit;
use wigeonhall_dispatch::Reply;
use wigeonhall_dispatch::UnknownCause;

use common::MS;
use common::S;
use common::add;
use common::pool;
use common::registration;

const DRAINING: Notice = Notice {
    hold_off_ms: None,
    draining: true,
    rate_limit: RateLimit::Unknown,
};

const HOLD_OFF: Notice = Notice {
    hold_off_ms: Some(3_000),
    draining: false,
    rate_limit: RateLimit::Unknown,
};

const BUSY: Reply = Reply::NotRun(NotRunCause::Busy);

fn availability(pool: &Pool, now_us: u64) -> Option<Availability> {
    pool.availability(now_us, pool.key_of("a-1")?)
}

/// Whether the service's replicas get nothing: they are not chosen, not used as a last
/// resort, and no connection is opened in advance.
fn gets_nothing(pool: &mut Pool, now_us: u64) -> bool {
    let service = pool.service_key(&Arc::from("a"));
    let keys: Vec<_> = pool.replicas_of(service).to_vec();
    pool.choose(now_us, service, &[]).is_none()
        && pool.last_resort(now_us, service).is_none()
        && pool
            .preconnect_candidates(now_us, &keys, &BTreeSet::from([service]))
            .is_empty()
        && keys.iter().all(|key| !pool.may_still_send(now_us, *key))
}

/// The registration of a draining replica may still be `Ready` long afterwards; only the
/// response announces it.
#[test]
fn replica_that_announces_draining_gets_no_requests_although_its_registration_is_ready() {
    let mut pool = pool();
    let key = add(&mut pool, "a", 1);
    assert!(pool.apply_notice(S, S, key, DRAINING));
    // 1.0 is the ratio of the latency to the route's mean.
    pool.request_finished(S, key, Reply::Success, 1.0);
    let mut heartbeat = registration("a", 1, "north");
    heartbeat.sequence = 9;
    pool.register(2 * S, heartbeat);
    assert!(gets_nothing(&mut pool, 20 * S));
    assert_eq!(availability(&pool, 20 * S), Some(Availability::Draining));
}

/// A registration that lapsed during an outage of the store is restored by the same incarnation.
#[test]
fn draining_replica_is_still_draining_after_its_registration_lapses_and_is_restored() {
    let mut pool = pool();
    let key = add(&mut pool, "a", 1);
    pool.apply_notice(S, S, key, DRAINING);
    pool.unregister("a-1", 2 * S);
    pool.sweep(2 * S);
    assert_eq!(availability(&pool, 2 * S), None);
    pool.register_all(3 * S, vec![registration("a", 1, "north")], 5 * S);
    assert!(gets_nothing(&mut pool, 4 * S));
}

#[test]
fn later_incarnation_under_the_same_id_is_not_draining() {
    let mut pool = pool();
    let key = add(&mut pool, "a", 1);
    pool.apply_notice(S, S, key, DRAINING);
    let mut restarted = registration("a", 1, "north");
    restarted.started_unix_ms += 1;
    pool.register(2 * S, restarted);
    assert_eq!(availability(&pool, 2 * S), Some(Availability::Ready));
}

/// A success of another request, a lost response or a later, shorter hold-off must not end the
/// hold-off early.
#[test]
fn replica_gets_no_requests_until_its_hold_off_ends() {
    let mut pool = pool();
    let key = add(&mut pool, "a", 1);
    pool.request_finished(S, key, BUSY, 1.0);
    assert!(pool.apply_notice(S, S, key, HOLD_OFF));
    pool.request_finished(S + 5 * MS, key, Reply::Success, 1.0);
    let shorter = Notice {
        hold_off_ms: Some(100),
        ..Notice::default()
    };
    assert!(!pool.apply_notice(S + 6 * MS, S, key, shorter));
    pool.request_finished(S + 6 * MS, key, Reply::Unknown(UnknownCause::Reset), 1.0);
    assert!(gets_nothing(&mut pool, 4 * S - 1));
    assert_eq!(
        availability(&pool, 4 * S - 1),
        Some(Availability::HoldingOff)
    );
    let service = pool.service_key(&Arc::from("a"));
    assert_eq!(pool.choose(4 * S, service, &[]), Some(key));
}

/// The retry time for callers is the earliest end of a hold-off.
#[test]
fn callers_may_retry_when_the_first_hold_off_ends() {
    let mut pool = pool();
    for number in 1..=2 {
        let key = add(&mut pool, "a", number);
        let hold_off = Notice {
            hold_off_ms: Some(400 * u64::from(number)),
            ..Notice::default()
        };
        pool.apply_notice(0, 0, key, hold_off);
    }
    let service = pool.service_key(&Arc::from("a"));
    assert_eq!(pool.retry_after_ms(100 * MS, service), 300);
}
