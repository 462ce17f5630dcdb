//! Guards against entries that name no replica to use, as no configuration names their service, and
//! yet take the replicas of others out of use.

mod common;

use std::collections::BTreeSet;
use std::sync::Arc;

use wigeonhall_dispatch::Pool;
use wigeonhall_dispatch::Registration;
use wigeonhall_dispatch::RegistrationState;

use common::S;
use common::registration;

/// Number of replicas of the named service `a`.
const REPLICAS: u16 = 3;

fn names(services: &[&str]) -> BTreeSet<Arc<str>> {
    services.iter().map(|name| Arc::from(*name)).collect()
}

/// A pool whose configuration names `a` alone.
fn pool() -> Pool {
    let mut pool = common::pool();
    pool.set_named_services(names(&["a"]));
    pool
}

fn replicas() -> Vec<Registration> {
    let numbers = 1..=REPLICAS;
    numbers.map(|it| registration("a", it, "north")).collect()
}

/// Entries of another service for the addresses of all replicas.
fn foreign_entries(prefix: &str, started_unix_ms: u64) -> Vec<Registration> {
    let foreign = |mut entry: Registration| {
        entry.id = format!("{prefix}{}", entry.id).into();
        entry.service = "uptime-checks".into();
        entry.data_centre = "nowhere".into();
        entry.started_unix_ms = started_unix_ms;
        entry
    };
    replicas().into_iter().map(foreign).collect()
}

#[track_caller]
fn assert_all_ready(pool: &Pool) {
    assert_eq!(pool.counts(S).ready, usize::from(REPLICAS));
    let ids = replicas().into_iter().map(|item| item.id);
    for id in ids {
        assert!(pool.key_of(&id).is_some(), "{id}");
    }
}

/// Plays the entries before and after the replicas, with an earlier, an equal and a later start.
fn for_each_order(play: impl Fn(Vec<Registration>, Vec<Registration>)) {
    for started_unix_ms in [0, 1_000, 9_000] {
        let foreign = foreign_entries("x-", started_unix_ms);
        let in_order = [foreign.clone(), replicas()].concat();
        let reversed = [replicas(), foreign.clone()].concat();
        for all in [in_order, reversed] {
            play(all, foreign.clone());
        }
    }
}

#[test]
fn an_entry_of_an_unnamed_service_does_not_replace_a_replica_at_its_address() {
    for_each_order(|all, foreign| {
        let mut pool = pool();
        for registration in all {
            pool.register(0, registration);
        }
        assert_all_ready(&pool);
        for mut registration in foreign {
            registration.state = RegistrationState::Draining;
            registration.sequence += 1;
            pool.register(0, registration);
        }
        assert_all_ready(&pool);
        assert!(pool.take_replaced().is_empty());
    });
}

#[test]
fn a_list_with_entries_of_an_unnamed_service_keeps_all_replicas() {
    for_each_order(|all, _| {
        let mut pool = pool();
        pool.register_all(0, replicas(), 0);
        pool.register_all(0, all.clone(), 0);
        pool.sweep(0);
        assert_all_ready(&pool);
        pool.register_restored(0, all, 0);
        pool.sweep(0);
        assert_all_ready(&pool);
        pool.register_all(0, replicas(), 0);
        pool.sweep(0);
        assert_all_ready(&pool);
    });
}

#[test]
fn the_removal_of_an_entry_of_an_unnamed_service_removes_no_replica() {
    for_each_order(|all, foreign| {
        let mut pool = pool();
        for registration in all {
            pool.register(0, registration);
        }
        for registration in foreign {
            pool.unregister(&registration.id, 0);
        }
        assert!(pool.sweep(S).is_empty());
        assert_all_ready(&pool);
    });
}

/// A copy is not newer than its original, whichever is applied first.
#[test]
fn a_copy_of_an_entry_under_another_id_does_not_replace_the_replica() {
    for copies_first in [false, true] {
        let mut pool = pool();
        let copies = replicas().into_iter().map(|mut copy| {
            copy.id = format!("copy-{}", copy.id).into();
            copy
        });
        let mut all = [replicas(), copies.collect()];
        if copies_first {
            all.reverse();
        }
        pool.register_all(0, all.concat(), 0);
        for replica in replicas() {
            assert!(pool.key_of(&replica.id).is_some(), "{}", replica.id);
        }
    }
}

#[test]
fn a_replica_is_used_once_a_configuration_names_its_service() {
    let mut pool = pool();
    let later = registration("b", 9, "north");
    assert_eq!(pool.register(0, later.clone()), None);
    assert_eq!(pool.key_of("b-9"), None);
    pool.set_named_services(names(&["a", "b"]));
    assert!(pool.register(0, later).is_some());
}

/// The address of a replica that has ended is used again, by a service that is named.
#[test]
fn a_successor_of_a_named_service_takes_over_the_address() {
    let mut pool = pool();
    pool.set_named_services(names(&["a", "b"]));
    pool.register_all(0, replicas(), 0);
    let mut successor = registration("b", 1, "north");
    successor.started_unix_ms = 9_000;
    pool.register(0, successor);
    assert_eq!(pool.key_of("a-1"), None);
    assert!(pool.key_of("b-1").is_some());
    let replaced = pool.take_replaced();
    assert_eq!(replaced.len(), 1);
    assert_eq!(
        (&*replaced[0].replica, &*replaced[0].successor),
        ("a-1", "b-1")
    );
}

/// A process that starts again under its id, for a service that is not named, is not the former one.
#[test]
fn a_replica_that_starts_again_for_an_unnamed_service_gets_no_requests() {
    let mut pool = pool();
    pool.register_all(0, replicas(), 0);
    let mut again = registration("uptime-checks", 1, "north");
    again.id = "a-1".into();
    again.started_unix_ms = 9_000;
    pool.register(0, again);
    assert_eq!(pool.key_of("a-1"), None);
}

/// The replicas of a service that is no longer named are still told apart, such as draining ones,
/// while earlier requests run.
#[test]
fn a_replica_whose_service_is_no_longer_named_can_report_that_it_drains() {
    let mut pool = pool();
    pool.register_all(0, replicas(), 0);
    pool.set_named_services(names(&["b"]));
    let mut draining = registration("a", 1, "north");
    draining.state = RegistrationState::Draining;
    draining.sequence += 1;
    pool.register(0, draining);
    let key = pool.key_of("a-1").unwrap();
    assert!(!pool.is_usable(0, key));
    assert!(pool.is_usable(0, pool.key_of("a-2").unwrap()));
}
