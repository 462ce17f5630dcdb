//! Guards against nodes that take back what they know when the store is restored from a copy some
//! seconds old, which lacks the newest writes until their writers repeat them.

mod common;

use std::collections::BTreeSet;
use std::sync::Arc;

use wigeonhall_dispatch::Pool;
use wigeonhall_dispatch::RegistrationState;

use common::MS;
use common::S;
use common::add;
use common::pool;
use common::registration;

fn choose_id(pool: &mut Pool, now_us: u64) -> Option<String> {
    let service = pool.service_key(&Arc::from("a"));
    let key = pool.choose(now_us, service, &[])?;
    pool.replica(key).map(|replica| replica.id().to_string())
}

fn out(names: &[&str]) -> BTreeSet<Arc<str>> {
    names.iter().map(|name| Arc::from(*name)).collect()
}

#[test]
fn an_evacuation_that_the_copy_lacks_holds_until_it_is_written_again() {
    let mut pool = pool();
    add(&mut pool, "a", 1);
    pool.set_evacuated_data_centres(out(&["north"]));
    pool.restore_evacuated_data_centres(S, out(&["south"]));
    pool.register(S, registration("a", 2, "south"));
    pool.sweep(S + 500 * MS);
    assert_eq!(choose_id(&mut pool, S + 500 * MS), None);
    pool.set_evacuated_data_centres(out(&["north", "south"]));
    pool.sweep(10 * S);
    assert_eq!(choose_id(&mut pool, 10 * S), None);
    pool.set_evacuated_data_centres(out(&["south"]));
    assert_eq!(choose_id(&mut pool, 10 * S).as_deref(), Some("a-1"));
}

/// The operator had ended the evacuation before the store went away, or does not write it again.
#[test]
fn an_evacuation_that_is_not_written_again_ends() {
    let mut pool = pool();
    add(&mut pool, "a", 1);
    pool.set_evacuated_data_centres(out(&["north"]));
    pool.restore_evacuated_data_centres(S, out(&[]));
    assert_eq!(choose_id(&mut pool, 2 * S), None);
    pool.sweep(4 * S);
    assert_eq!(choose_id(&mut pool, 4 * S).as_deref(), Some("a-1"));
}

/// The copy still has the registration of a replica that has left since.
#[test]
fn a_replica_that_has_left_gets_no_requests_again() {
    let mut pool = pool();
    for number in 1..=3 {
        add(&mut pool, "a", number);
    }
    pool.unregister("a-1", S);
    pool.sweep(S);
    pool.unregister("a-2", 3 * S);
    let mut draining = registration("a", 3, "north");
    draining.sequence = 2;
    draining.state = RegistrationState::Draining;
    pool.register(S, draining);
    let copy = (1..=3).map(|number| registration("a", number, "north"));
    pool.register_restored(2 * S, copy.collect(), 5 * S);
    pool.sweep(3 * S);
    assert_eq!(choose_id(&mut pool, 3 * S), None);
}

/// A replica that was only cut off from the store for some time registers again.
#[test]
fn a_replica_that_writes_again_after_the_restoration_gets_requests() {
    let mut pool = pool();
    add(&mut pool, "a", 1);
    pool.unregister("a-1", S);
    pool.sweep(S);
    pool.register_restored(2 * S, vec![registration("a", 1, "north")], 5 * S);
    assert_eq!(choose_id(&mut pool, 2 * S), None);
    let mut again = registration("a", 1, "north");
    again.sequence = 2;
    pool.register(3 * S, again);
    assert_eq!(choose_id(&mut pool, 3 * S).as_deref(), Some("a-1"));
}

/// A registration that the copy lacks is written again within seconds.
#[test]
fn a_replica_that_the_copy_lacks_stays_in_use_until_it_is_missed() {
    let mut pool = pool();
    add(&mut pool, "a", 1);
    pool.register_restored(S, Vec::new(), 3 * S);
    assert_eq!(choose_id(&mut pool, 2 * S).as_deref(), Some("a-1"));
    pool.register(2 * S, registration("a", 1, "north"));
    pool.sweep(4 * S);
    assert_eq!(choose_id(&mut pool, 4 * S).as_deref(), Some("a-1"));
}
