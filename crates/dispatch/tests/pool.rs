//! Guards against requests to replicas that are draining, evacuated, cold, replaced or
//! failing.

mod common;

use std::collections::BTreeSet;
use std::sync::Arc;

use wigeonhall_dispatch::NotRunCause;
use wigeonhall_dispatch::Pool;
use wigeonhall_dispatch::RegistrationState;
use wigeonhall_dispatch::Reply;
use wigeonhall_dispatch::UnknownCause;

use common::MS;
use common::S;
use common::add;
use common::pool;
use common::registration;
use common::spec_with_cold_start;

fn choose_id(pool: &mut Pool, now_us: u64) -> Option<String> {
    let service = pool.service_key(&Arc::from("a"));
    let key = pool.choose(now_us, service, &[])?;
    pool.replica(key).map(|replica| replica.id().to_string())
}

#[test]
fn draining_replica_gets_no_requests_even_if_it_is_the_only_one() {
    let mut pool = pool();
    add(&mut pool, "a", 1);
    let mut draining = registration("a", 1, "north");
    draining.state = RegistrationState::Draining;
    draining.sequence = 2;
    pool.register(0, draining);
    assert_eq!(choose_id(&mut pool, 0), None);
}

/// Registrations arrive out of order; an older `Ready` must not override a newer `Draining`.
#[test]
fn older_registration_does_not_override_draining() {
    let mut pool = pool();
    let mut draining = registration("a", 1, "north");
    draining.state = RegistrationState::Draining;
    draining.sequence = 5;
    pool.register(0, draining);
    pool.register(0, registration("a", 1, "north"));
    assert_eq!(choose_id(&mut pool, 0), None);
    let mut earlier_incarnation = registration("a", 1, "north");
    earlier_incarnation.started_unix_ms = 500;
    earlier_incarnation.sequence = 90;
    pool.register(0, earlier_incarnation);
    assert_eq!(choose_id(&mut pool, 0), None);
}

/// A replica that restarts under the same id begins a new incarnation with its own sequence
/// numbers.
#[test]
fn later_incarnation_under_the_same_id_is_accepted() {
    let mut pool = pool();
    let mut draining = registration("a", 1, "north");
    draining.state = RegistrationState::Draining;
    draining.sequence = 50;
    pool.register(0, draining);
    let mut restarted = registration("a", 1, "north");
    restarted.started_unix_ms = 2_000;
    pool.register(0, restarted);
    assert_eq!(choose_id(&mut pool, 0).as_deref(), Some("a-1"));
}

#[test]
fn replica_is_dropped_after_its_removal_time_unless_it_registers_again() {
    let mut pool = pool();
    add(&mut pool, "a", 1);
    pool.unregister("a-1", 2 * S);
    assert_eq!(choose_id(&mut pool, S).as_deref(), Some("a-1"));
    assert_eq!(choose_id(&mut pool, 2 * S), None);
    pool.register(S, registration("a", 1, "north"));
    assert_eq!(choose_id(&mut pool, 3 * S).as_deref(), Some("a-1"));
    assert!(pool.sweep(3 * S).is_empty());
}

#[test]
fn replica_missing_from_a_list_is_removed() {
    let mut pool = pool();
    add(&mut pool, "a", 1);
    add(&mut pool, "a", 2);
    pool.register_all(0, vec![registration("a", 2, "north")], S);
    assert_eq!(pool.sweep(S).len(), 1);
    assert_eq!(choose_id(&mut pool, S).as_deref(), Some("a-2"));
}

/// The address of a replica that has stopped is reused by a replica of another service.
#[test]
fn replica_is_dropped_when_another_registers_its_address() {
    let mut pool = pool();
    add(&mut pool, "a", 1);
    let mut other = registration("b", 1, "north");
    other.started_unix_ms = 9_000;
    pool.register(0, other);
    assert_eq!(choose_id(&mut pool, 0), None);
}

#[test]
fn replica_is_dropped_when_another_instance_responds_at_its_address() {
    let mut pool = pool();
    let key = add(&mut pool, "a", 1);
    pool.request_started(0, key);
    pool.request_finished(MS, key, Reply::NotRun(NotRunCause::OtherInstance), 1.0);
    assert_eq!(choose_id(&mut pool, MS), None);
    assert_eq!(pool.sweep(MS), [key]);
    assert!(pool.replica(key).is_none());
}

/// The key of a dropped replica must not refer to the next replica in the same slot.
#[test]
fn key_of_a_dropped_replica_does_not_refer_to_another() {
    let mut pool = pool();
    let former = add(&mut pool, "a", 1);
    pool.unregister("a-1", 0);
    pool.sweep(0);
    let later = add(&mut pool, "a", 2);
    pool.request_finished(0, former, Reply::NotRun(NotRunCause::OtherInstance), 1.0);
    assert!(pool.replica(former).is_none());
    assert_eq!(choose_id(&mut pool, S).as_deref(), Some("a-2"));
    assert!(pool.replica(later).is_some());
}

#[test]
fn evacuated_data_centre_gets_no_requests_until_the_evacuation_ends() {
    let mut pool = pool();
    add(&mut pool, "a", 1);
    pool.register(0, registration("a", 2, "south"));
    pool.set_evacuated_data_centres(BTreeSet::from(["north".into()]));
    assert_eq!(choose_id(&mut pool, 0).as_deref(), Some("a-2"));
    pool.register(0, registration("a", 3, "north"));
    pool.set_evacuated_data_centres(BTreeSet::from(["north".into(), "south".into()]));
    assert_eq!(choose_id(&mut pool, 0), None);
    pool.set_evacuated_data_centres(BTreeSet::new());
    assert!(choose_id(&mut pool, 0).is_some());
}

#[test]
fn replica_that_registers_in_an_evacuated_data_centre_gets_no_requests() {
    let mut pool = pool();
    pool.set_evacuated_data_centres(BTreeSet::from(["north".into()]));
    add(&mut pool, "a", 1);
    assert_eq!(choose_id(&mut pool, 0), None);
}

/// One refused connection suspends a replica, so that the next request does not run into the
/// same failure.
#[test]
fn unreachable_replica_is_suspended_and_used_again_later() {
    let mut pool = pool();
    let key = add(&mut pool, "a", 1);
    pool.request_started(0, key);
    pool.request_finished(0, key, Reply::NotRun(NotRunCause::Unreachable), 1.0);
    assert_eq!(choose_id(&mut pool, 100 * MS), None);
    assert_eq!(choose_id(&mut pool, 4 * S).as_deref(), Some("a-1"));
}

/// A single pause of a replica must not suspend it; two requests without a response in a row
/// must.
#[test]
fn two_unanswered_requests_suspend_a_replica_and_one_at_a_time_probes_it() {
    let mut pool = pool();
    let key = add(&mut pool, "a", 1);
    let silent = Reply::Unknown(UnknownCause::Silent);
    pool.request_started(0, key);
    pool.request_finished(0, key, silent, 1.0);
    assert!(choose_id(&mut pool, 0).is_some());
    pool.request_started(0, key);
    pool.request_finished(0, key, silent, 1.0);
    assert_eq!(choose_id(&mut pool, 100 * MS), None);
    assert!(choose_id(&mut pool, 3 * S).is_some());
    pool.request_started(3 * S, key);
    assert_eq!(choose_id(&mut pool, 3 * S), None);
    pool.request_finished(3 * S, key, Reply::Success, 1.0);
    assert!(choose_id(&mut pool, 3 * S).is_some());
}

#[test]
fn slow_replica_is_avoided_until_its_samples_decay() {
    let mut pool = pool();
    let slow = add(&mut pool, "a", 1);
    pool.register(0, registration("a", 2, "south"));
    for _ in 0..5 {
        pool.request_started(0, slow);
        pool.request_finished(0, slow, Reply::Success, 8.0);
    }
    assert_eq!(choose_id(&mut pool, MS).as_deref(), Some("a-2"));
    assert_eq!(choose_id(&mut pool, 20 * S).as_deref(), Some("a-1"));
}

/// Traffic between data centres is charged for.
#[test]
fn own_data_centre_is_preferred_while_its_replicas_are_idle() {
    let mut pool = pool();
    let near = add(&mut pool, "a", 1);
    pool.register(0, registration("a", 2, "south"));
    for _ in 0..50 {
        assert_eq!(choose_id(&mut pool, 0).as_deref(), Some("a-1"));
    }
    pool.request_started(0, near);
    assert_eq!(choose_id(&mut pool, 0).as_deref(), Some("a-2"));
}

/// All nodes together must stay within the stated rate of a cold replica.
#[test]
fn nodes_share_the_rate_of_a_cold_replica() {
    const NODES: u64 = 20;
    const RATE_PER_S: u64 = 10;
    let mut sent = 0;
    for _ in 0..NODES {
        let mut pool = pool();
        pool.set_nodes(NODES as usize);
        pool.apply_service_spec(&spec_with_cold_start(RATE_PER_S as f64, 0));
        let mut cold = registration("a", 1, "north");
        cold.cold_for_ms = 10_000;
        let key = pool.register(0, cold).unwrap();
        for now_us in (0..10 * S).step_by(50_000) {
            if choose_id(&mut pool, now_us).is_some() {
                pool.request_started(now_us, key);
                pool.request_finished(now_us, key, Reply::Success, 1.0);
                sent += 1;
            }
        }
        assert!(choose_id(&mut pool, 11 * S).is_some(), "warm again");
    }
    assert!(sent > 0);
    assert!(sent <= RATE_PER_S * 10, "{sent} requests in 10 s");
}

/// Operators count the requests to a cold replica in any second. One that begins just before the end
/// of the cold start must not get the load of a warm replica after it.
#[test]
fn a_second_that_begins_in_the_cold_start_stays_within_the_rate() {
    const NODES: u64 = 4;
    const COLD_US: u64 = 3 * S;
    let mut sent_us = Vec::new();
    for node in 0..NODES {
        let mut pool = Pool::new("north".into(), node);
        pool.set_nodes(NODES as usize);
        pool.apply_service_spec(&spec_with_cold_start(10.0, 0));
        let mut cold = registration("a", 1, "north");
        cold.cold_for_ms = COLD_US / 1_000;
        let key = pool.register(0, cold).unwrap();
        for now_us in (0..5 * S).step_by(10_000) {
            // A replica repeats its registration while it runs.
            if now_us == COLD_US {
                let mut warm = registration("a", 1, "north");
                warm.sequence = 2;
                pool.register(now_us, warm);
            }
            if choose_id(&mut pool, now_us).is_some() {
                pool.request_started(now_us, key);
                pool.request_finished(now_us, key, Reply::Success, 1.0);
                sent_us.push(now_us);
            }
        }
    }
    sent_us.sort_unstable();
    let within = |begin: u64| {
        let of_second = sent_us.iter().filter(|at| (begin..begin + S).contains(*at));
        of_second.count()
    };
    let begun_cold = sent_us.iter().filter(|at| **at < COLD_US);
    let most = begun_cold.map(|begin| within(*begin)).max();
    assert!(most <= Some(20), "{most:?}");
    assert!(within(4 * S) > 200, "warm again");
}

/// A replica that has been warm all the while repeats its registration; it must not be held back.
#[test]
fn a_repeated_registration_of_a_warm_replica_does_not_limit_its_rate() {
    let mut pool = pool();
    pool.apply_service_spec(&spec_with_cold_start(1.0, 3_000));
    let key = add(&mut pool, "a", 1);
    for sequence in 2..100 {
        let now_us = sequence * 50 * MS;
        let mut repeated = registration("a", 1, "north");
        repeated.sequence = sequence;
        pool.register(now_us, repeated);
        assert!(choose_id(&mut pool, now_us).is_some(), "{sequence}");
        pool.request_started(now_us, key);
        pool.request_finished(now_us, key, Reply::Success, 1.0);
    }
}

/// All nodes turn at once to a cold replica that they have not used so far, as its sibling stops.
#[test]
fn unused_shares_of_a_cold_rate_are_not_made_up_for_at_once() {
    const WINDOW_US: u64 = S;
    for (nodes, rate_per_s) in [(15, 4.0), (100, 4.0), (100, 10.0), (300, 10.0)] {
        let mut sent_us = Vec::new();
        for seed in 0..nodes {
            let mut pool = Pool::new("north".into(), seed);
            pool.set_nodes(nodes as usize);
            pool.apply_service_spec(&spec_with_cold_start(rate_per_s, 0));
            let mut cold = registration("a", 1, "north");
            cold.cold_for_ms = 70_000;
            let key = pool.register(0, cold).unwrap();
            for now_us in (60 * S..65 * S).step_by(20_000) {
                if choose_id(&mut pool, now_us).is_some() {
                    pool.request_started(now_us, key);
                    sent_us.push(now_us);
                }
            }
        }
        sent_us.sort_unstable();
        let most = (0..sent_us.len())
            .map(|end| end + 1 - sent_us.partition_point(|at| at + WINDOW_US <= sent_us[end]))
            .max();
        let allowed = (1.5 * rate_per_s) as usize + 5;
        assert!(most <= Some(allowed), "{nodes}, {rate_per_s}: {most:?}");
        assert!(sent_us.len() as f64 >= rate_per_s * 5.0 * 0.5, "{nodes}");
    }
}

#[test]
fn warm_replica_is_preferred_to_a_cold_one_in_the_own_data_centre() {
    let mut pool = pool();
    let mut cold = registration("a", 1, "north");
    cold.cold_for_ms = 5_000;
    pool.register(0, cold);
    pool.register(0, registration("a", 2, "south"));
    assert_eq!(choose_id(&mut pool, 0).as_deref(), Some("a-2"));
}

/// A caller that retries at the stated time must find the replica available.
#[test]
fn retry_after_is_the_end_of_the_suspension() {
    let mut pool = pool();
    let key = add(&mut pool, "a", 1);
    let service = pool.service_key(&Arc::from("a"));
    pool.request_started(0, key);
    pool.request_finished(0, key, Reply::NotRun(NotRunCause::Unreachable), 1.0);
    let wait_ms = pool.retry_after_ms(0, service);
    assert_eq!(choose_id(&mut pool, wait_ms * MS - 1), None);
    assert!(choose_id(&mut pool, wait_ms * MS).is_some());
}

/// If every node opened connections to all replicas in advance, their number would exceed what
/// replicas accept.
#[test]
fn connections_are_opened_in_advance_only_to_the_first_choice() {
    let mut pool = pool();
    let near = add(&mut pool, "a", 1);
    let far = pool.register(0, registration("a", 2, "south")).unwrap();
    let other = add(&mut pool, "b", 3);
    let [a, b] = ["a", "b"].map(|name| pool.service_key(&Arc::from(name)));
    let both = BTreeSet::from([a, b]);
    let candidates = pool.preconnect_candidates(0, &[near, far, other], &both);
    assert_eq!(candidates, [near, other]);
    assert!(pool.preconnect_candidates(0, &[far], &both).is_empty());
    let one = BTreeSet::from([b]);
    assert_eq!(
        pool.preconnect_candidates(0, &[near, far, other], &one),
        [other]
    );
}

/// If replicas that refuse half of their requests are still chosen, the retries exhaust the
/// budget of the shard.
#[test]
fn replica_that_refuses_many_requests_is_chosen_less() {
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
        pool.request_started(now_us, near);
        pool.request_finished(now_us, near, reply, 1.0);
    }
    assert_eq!(choose_id(&mut pool, 300 * MS).as_deref(), Some("a-2"));
    assert_eq!(choose_id(&mut pool, 20 * S).as_deref(), Some("a-1"));
}
