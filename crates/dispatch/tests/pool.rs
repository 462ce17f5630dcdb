//! Guards against work for replicas that leave, are out, cold, replaced or failing.

mod common;

use std::collections::BTreeSet;
use std::sync::Arc;

use wigeonhall_dispatch::NotRunCause;
use wigeonhall_dispatch::Pool;
use wigeonhall_dispatch::RegistrationState;
use wigeonhall_dispatch::Reply;
use wigeonhall_dispatch::ServiceSpec;
use wigeonhall_dispatch::UnknownCause;

use common::MS;
use common::S;
use common::add;
use common::pool;
use common::registration;

fn chosen(pool: &mut Pool, now_us: u64) -> Option<String> {
    let service = pool.service_key(&Arc::from("a"));
    let key = pool.choose(now_us, service, &[])?;
    pool.replica(key).map(|replica| replica.id().to_string())
}

#[test]
fn a_draining_replica_gets_nothing_even_if_it_is_the_last() {
    let mut pool = pool();
    add(&mut pool, "a", 1);
    let mut draining = registration("a", 1, "north");
    draining.state = RegistrationState::Draining;
    draining.sequence = 2;
    pool.register(0, draining);
    assert_eq!(chosen(&mut pool, 0), None);
}

/// Reports arrive out of order; an older "ready" must not reopen a draining replica.
#[test]
fn an_older_report_does_not_reopen_a_draining_replica() {
    let mut pool = pool();
    let mut draining = registration("a", 1, "north");
    draining.state = RegistrationState::Draining;
    draining.sequence = 5;
    pool.register(0, draining);
    pool.register(0, registration("a", 1, "north"));
    assert_eq!(chosen(&mut pool, 0), None);
    let mut earlier_life = registration("a", 1, "north");
    earlier_life.born_unix_ms = 500;
    earlier_life.sequence = 90;
    pool.register(0, earlier_life);
    assert_eq!(chosen(&mut pool, 0), None);
}

/// A replica that starts again under its id counts anew.
#[test]
fn a_later_lifetime_under_the_same_id_is_taken() {
    let mut pool = pool();
    let mut draining = registration("a", 1, "north");
    draining.state = RegistrationState::Draining;
    draining.sequence = 50;
    pool.register(0, draining);
    let mut again = registration("a", 1, "north");
    again.born_unix_ms = 2_000;
    pool.register(0, again);
    assert_eq!(chosen(&mut pool, 0).as_deref(), Some("a-1"));
}

#[test]
fn a_removed_entry_is_dropped_after_its_time_and_back_when_it_returns() {
    let mut pool = pool();
    add(&mut pool, "a", 1);
    pool.unregister("a-1", 2 * S);
    assert_eq!(chosen(&mut pool, S).as_deref(), Some("a-1"));
    assert_eq!(chosen(&mut pool, 2 * S), None);
    pool.register(S, registration("a", 1, "north"));
    assert_eq!(chosen(&mut pool, 3 * S).as_deref(), Some("a-1"));
    assert!(pool.sweep(3 * S).is_empty());
}

#[test]
fn a_list_without_an_entry_removes_the_replica() {
    let mut pool = pool();
    add(&mut pool, "a", 1);
    add(&mut pool, "a", 2);
    pool.register_all(0, vec![registration("a", 2, "north")], S);
    assert_eq!(pool.sweep(S).len(), 1);
    assert_eq!(chosen(&mut pool, S).as_deref(), Some("a-2"));
}

/// The address of a replica that is gone goes to another service.
#[test]
fn a_reused_address_ends_the_former_replica() {
    let mut pool = pool();
    add(&mut pool, "a", 1);
    let mut other = registration("b", 1, "north");
    other.born_unix_ms = 9_000;
    pool.register(0, other);
    assert_eq!(chosen(&mut pool, 0), None);
}

#[test]
fn another_instance_at_the_address_ends_the_replica() {
    let mut pool = pool();
    let key = add(&mut pool, "a", 1);
    pool.started(0, key);
    pool.finished(MS, key, Reply::NotRun(NotRunCause::OtherInstance), 1.0);
    assert_eq!(chosen(&mut pool, MS), None);
    assert_eq!(pool.sweep(MS), [key]);
    assert!(pool.replica(key).is_none());
}

/// A key of a dropped replica must not reach the next one in its place.
#[test]
fn a_key_outlives_its_replica_without_naming_another() {
    let mut pool = pool();
    let former = add(&mut pool, "a", 1);
    pool.unregister("a-1", 0);
    pool.sweep(0);
    let later = add(&mut pool, "a", 2);
    pool.finished(0, former, Reply::NotRun(NotRunCause::OtherInstance), 1.0);
    assert!(pool.replica(former).is_none());
    assert_eq!(chosen(&mut pool, S).as_deref(), Some("a-2"));
    assert!(pool.replica(later).is_some());
}

#[test]
fn a_data_centre_that_is_out_gets_nothing_until_it_is_back() {
    let mut pool = pool();
    add(&mut pool, "a", 1);
    pool.register(0, registration("a", 2, "south"));
    pool.set_evacuated_data_centres(BTreeSet::from(["north".into()]));
    assert_eq!(chosen(&mut pool, 0).as_deref(), Some("a-2"));
    pool.register(0, registration("a", 3, "north"));
    pool.set_evacuated_data_centres(BTreeSet::from(["north".into(), "south".into()]));
    assert_eq!(chosen(&mut pool, 0), None);
    pool.set_evacuated_data_centres(BTreeSet::new());
    assert!(chosen(&mut pool, 0).is_some());
}

#[test]
fn a_replica_that_registers_while_its_data_centre_is_out_gets_nothing() {
    let mut pool = pool();
    pool.set_evacuated_data_centres(BTreeSet::from(["north".into()]));
    add(&mut pool, "a", 1);
    assert_eq!(chosen(&mut pool, 0), None);
}

/// One refused connection is enough: the next request must not wait for another.
#[test]
fn an_unreachable_replica_is_left_alone_and_tried_again_later() {
    let mut pool = pool();
    let key = add(&mut pool, "a", 1);
    pool.started(0, key);
    pool.finished(0, key, Reply::NotRun(NotRunCause::Unreachable), 1.0);
    assert_eq!(chosen(&mut pool, 100 * MS), None);
    assert_eq!(chosen(&mut pool, 4 * S).as_deref(), Some("a-1"));
}

/// A pause of a replica must not take it out; two silences in a row must.
#[test]
fn silence_in_a_row_suspends_and_then_one_request_at_a_time_tries() {
    let mut pool = pool();
    let key = add(&mut pool, "a", 1);
    let silent = Reply::Unknown(UnknownCause::Silent);
    pool.started(0, key);
    pool.finished(0, key, silent, 1.0);
    assert!(chosen(&mut pool, 0).is_some());
    pool.started(0, key);
    pool.finished(0, key, silent, 1.0);
    assert_eq!(chosen(&mut pool, 100 * MS), None);
    assert!(chosen(&mut pool, 3 * S).is_some());
    pool.started(3 * S, key);
    assert_eq!(chosen(&mut pool, 3 * S), None);
    pool.finished(3 * S, key, Reply::Success, 1.0);
    assert!(chosen(&mut pool, 3 * S).is_some());
}

#[test]
fn a_slow_replica_is_avoided_and_tried_again_when_its_past_fades() {
    let mut pool = pool();
    let slow = add(&mut pool, "a", 1);
    pool.register(0, registration("a", 2, "south"));
    for _ in 0..5 {
        pool.started(0, slow);
        pool.finished(0, slow, Reply::Success, 8.0);
    }
    assert_eq!(chosen(&mut pool, MS).as_deref(), Some("a-2"));
    assert_eq!(chosen(&mut pool, 20 * S).as_deref(), Some("a-1"));
}

/// Bytes between data centres are paid for.
#[test]
fn the_own_data_centre_is_preferred_while_it_has_room() {
    let mut pool = pool();
    let near = add(&mut pool, "a", 1);
    pool.register(0, registration("a", 2, "south"));
    for _ in 0..50 {
        assert_eq!(chosen(&mut pool, 0).as_deref(), Some("a-1"));
    }
    pool.started(0, near);
    assert_eq!(chosen(&mut pool, 0).as_deref(), Some("a-2"));
}

/// All nodes together must stay within what a cold replica tolerates.
#[test]
fn nodes_share_the_rate_of_a_cold_replica() {
    const NODES: u64 = 20;
    const RATE_PER_S: u64 = 10;
    let mut sent = 0;
    for _ in 0..NODES {
        let mut pool = pool();
        pool.set_nodes(NODES as usize);
        pool.apply_service_spec(&ServiceSpec {
            max_connections: 50,
            name: "a".into(),
            cold_rate_per_s: RATE_PER_S as f64,
        });
        let mut cold = registration("a", 1, "north");
        cold.cold_for_ms = 10_000;
        let key = pool.register(0, cold).unwrap();
        for now_us in (0..10 * S).step_by(50_000) {
            if chosen(&mut pool, now_us).is_some() {
                pool.started(now_us, key);
                pool.finished(now_us, key, Reply::Success, 1.0);
                sent += 1;
            }
        }
        assert!(chosen(&mut pool, 10 * S).is_some(), "warm again");
    }
    assert!(sent > 0);
    assert!(sent <= RATE_PER_S * 10, "{sent} requests in 10 s");
}

#[test]
fn a_warm_replica_is_preferred_to_a_cold_one_nearby() {
    let mut pool = pool();
    let mut cold = registration("a", 1, "north");
    cold.cold_for_ms = 5_000;
    pool.register(0, cold);
    pool.register(0, registration("a", 2, "south"));
    assert_eq!(chosen(&mut pool, 0).as_deref(), Some("a-2"));
}

/// A caller that is told when to come back must find the replica open then.
#[test]
fn retry_after_points_at_the_end_of_the_suspension() {
    let mut pool = pool();
    let key = add(&mut pool, "a", 1);
    let service = pool.service_key(&Arc::from("a"));
    pool.started(0, key);
    pool.finished(0, key, Reply::NotRun(NotRunCause::Unreachable), 1.0);
    let wait_ms = pool.retry_after_ms(0, service);
    assert_eq!(chosen(&mut pool, wait_ms * MS - 1), None);
    assert!(chosen(&mut pool, wait_ms * MS).is_some());
}

/// All nodes together opened more connections than replicas accept.
#[test]
fn connections_are_opened_ahead_only_to_the_first_choice() {
    let mut pool = pool();
    let near = add(&mut pool, "a", 1);
    let far = pool.register(0, registration("a", 2, "south")).unwrap();
    let other = add(&mut pool, "b", 3);
    let [a, b] = ["a", "b"].map(|name| pool.service_key(&Arc::from(name)));
    let both = BTreeSet::from([a, b]);
    let ahead = pool.preconnect_candidates(0, &[near, far, other], &both);
    assert_eq!(ahead, [near, other]);
    assert!(pool.preconnect_candidates(0, &[far], &both).is_empty());
    let one = BTreeSet::from([b]);
    assert_eq!(
        pool.preconnect_candidates(0, &[near, far, other], &one),
        [other]
    );
}

/// Replicas that turned half of the requests away kept getting them, and the retries
/// used up the budget of the shard.
#[test]
fn a_replica_that_turns_many_away_gets_less() {
    let mut pool = pool();
    let near = add(&mut pool, "a", 1);
    pool.register(0, registration("a", 2, "south"));
    for index in 0..6 {
        let now_us = index * 50 * MS;
        let reply = if index % 2 == 0 {
            Reply::NotRun(NotRunCause::Busy)
        } else {
            Reply::Success
        };
        pool.started(now_us, near);
        pool.finished(now_us, near, reply, 1.0);
    }
    assert_eq!(chosen(&mut pool, 300 * MS).as_deref(), Some("a-2"));
    assert_eq!(chosen(&mut pool, 20 * S).as_deref(), Some("a-1"));
}
