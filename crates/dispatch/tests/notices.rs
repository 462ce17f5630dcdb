//! Guards against requests to a replica that said in an answer that it leaves, or that it
//! wants to be left alone for a while.

mod common;

use std::collections::BTreeSet;
use std::sync::Arc;

use wigeonhall_dispatch::Availability;
use wigeonhall_dispatch::NotRunCause;
use wigeonhall_dispatch::Notice;
use wigeonhall_dispatch::Pool;
use wigeonhall_dispatch::Reply;
use wigeonhall_dispatch::UnknownCause;

use common::MS;
use common::S;
use common::add;
use common::pool;
use common::registration;

const LEAVING: Notice = Notice {
    hold_off_ms: None,
    leaving: true,
};

const HOLD_OFF: Notice = Notice {
    hold_off_ms: Some(3_000),
    leaving: false,
};

const BUSY: Reply = Reply::NotRun(NotRunCause::Busy);

fn availability(pool: &Pool, now_us: u64) -> Option<Availability> {
    pool.availability(now_us, pool.key_of("a-1")?)
}

/// Whether nothing leads to the replica: no choice, no last resort, no connection ahead.
fn spared(pool: &mut Pool, now_us: u64) -> bool {
    let service = pool.service_key(&Arc::from("a"));
    let keys: Vec<_> = pool.replicas_of(service).to_vec();
    pool.choose(now_us, service, &[]).is_none()
        && pool.last_resort(now_us, service).is_none()
        && pool
            .preconnect_candidates(now_us, &keys, &BTreeSet::from([service]))
            .is_empty()
        && keys.iter().all(|key| !pool.may_still_send(now_us, *key))
}

/// Its entry says `ready` long after; only the answer tells.
#[test]
fn a_replica_that_says_it_leaves_gets_nothing_although_it_is_registered_as_ready() {
    let mut pool = pool();
    let key = add(&mut pool, "a", 1);
    assert!(pool.apply_notice(S, key, LEAVING));
    pool.finished(S, key, Reply::Success, 1.0);
    let mut heartbeat = registration("a", 1, "north");
    heartbeat.sequence = 9;
    pool.register(2 * S, heartbeat);
    assert!(spared(&mut pool, 20 * S));
    assert_eq!(availability(&pool, 20 * S), Some(Availability::Draining));
}

/// An entry that lapsed while the store was away comes back in the same lifetime.
#[test]
fn a_leaving_replica_stays_so_when_its_entry_is_lost_and_comes_back() {
    let mut pool = pool();
    let key = add(&mut pool, "a", 1);
    pool.apply_notice(S, key, LEAVING);
    pool.unregister("a-1", 2 * S);
    pool.sweep(2 * S);
    assert_eq!(availability(&pool, 2 * S), None);
    pool.register_all(3 * S, vec![registration("a", 1, "north")], 5 * S);
    assert!(spared(&mut pool, 4 * S));
}

#[test]
fn a_later_lifetime_under_the_same_id_does_not_leave() {
    let mut pool = pool();
    let key = add(&mut pool, "a", 1);
    pool.apply_notice(S, key, LEAVING);
    let mut again = registration("a", 1, "north");
    again.born_unix_ms += 1;
    pool.register(2 * S, again);
    assert_eq!(availability(&pool, 2 * S), Some(Availability::Ready));
}

/// A success of another request, a lost answer or a later refusal must not shorten it.
#[test]
fn a_replica_that_holds_off_gets_nothing_until_its_time_has_passed() {
    let mut pool = pool();
    let key = add(&mut pool, "a", 1);
    pool.finished(S, key, BUSY, 1.0);
    assert!(pool.apply_notice(S, key, HOLD_OFF));
    pool.finished(S + 5 * MS, key, Reply::Success, 1.0);
    let shorter = Notice {
        hold_off_ms: Some(100),
        leaving: false,
    };
    assert!(!pool.apply_notice(S + 6 * MS, key, shorter));
    pool.finished(S + 6 * MS, key, Reply::Unknown(UnknownCause::Reset), 1.0);
    assert!(spared(&mut pool, 4 * S - 1));
    assert_eq!(
        availability(&pool, 4 * S - 1),
        Some(Availability::HoldingOff)
    );
    let service = pool.service_key(&Arc::from("a"));
    assert_eq!(pool.choose(4 * S, service, &[]), Some(key));
}

/// Callers are told when the first replica takes requests again.
#[test]
fn callers_come_back_when_a_replica_no_longer_holds_off() {
    let mut pool = pool();
    for number in 1..=2 {
        let key = add(&mut pool, "a", number);
        let hold_off = Notice {
            hold_off_ms: Some(400 * u64::from(number)),
            leaving: false,
        };
        pool.apply_notice(0, key, hold_off);
    }
    let service = pool.service_key(&Arc::from("a"));
    assert_eq!(pool.retry_after_ms(100 * MS, service), 300);
}
