//! Leases with and without the store, pauses, consent and quarantine.

mod common;

use common::MS;
use common::S;
use common::World;

fn one_data_centre(seed: u64) -> World {
    let mut world = World::new(&[("south", "dc-a")], 5, 20, seed);
    world.apply("", &[]);
    (0..5).for_each(|it| world.start(it));
    world.run(15 * S);
    assert!(world.all_owned());
    world
}

fn stays_owned(world: &mut World, seconds: u64) {
    for _ in 0..seconds * 4 {
        world.run(250 * MS);
        assert!(world.all_owned(), "a lease lapsed at {}", world.now);
    }
}

/// Guards against an outage of the store that takes the owners' leases away.
#[test]
fn leases_last_through_an_outage() {
    let mut world = one_data_centre(1);
    world.set_store_down(true);
    stays_owned(&mut world, 60);
    world.set_store_down(false);
    stays_owned(&mut world, 20);
}

/// Guards against leases that lapse when single messages are lost.
#[test]
fn leases_last_on_a_lossy_network() {
    let mut world = one_data_centre(7);
    world.loss = 10;
    stays_owned(&mut world, 60);
    world.set_store_down(true);
    stays_owned(&mut world, 60);
}

/// Guards against a node that needs the store itself although its peers have it.
#[test]
fn a_node_cut_off_from_the_store_relies_on_peers() {
    for node in 0..5 {
        let mut world = one_data_centre(2);
        world.cut_from_store.insert(node);
        stays_owned(&mut world, 20);
    }
}

/// Guards against a minority that keeps its leases while others replace it.
#[test]
fn a_minority_without_the_store_loses_its_leases() {
    let mut world = one_data_centre(3);
    for node in [0, 1] {
        world.group[node] = 1;
        world.cut_from_store.insert(node);
    }
    world.run(4 * S);
    assert!(!world.leased(0) && !world.leased(1));
    world.run(15 * S);
    assert!(world.all_owned(), "the majority took over");
    assert_eq!(world.store.tables["dc-a"].members.len(), 3);
}

/// Guards against a cut-off majority that renews its leases by acknowledgements
/// after it consented to a new table.
#[test]
fn consent_ends_acknowledgement() {
    for seed in 0..30 {
        let mut world = one_data_centre(seed);
        let writer = seed as usize % 5;
        world.crash((writer + 1) % 5);
        // Cuts all but the writer off just around the write of the new table.
        let wait = world.rng.u64(4 * S..7 * S);
        world.run(wait);
        for node in (0..5).filter(|&it| it != writer) {
            world.group[node] = 1;
            world.cut_from_store.insert(node);
        }
        world.run(10 * S);
    }
}

/// Guards against a paused owner that starts work again under its old lease.
#[test]
fn a_paused_owner_has_no_lease_when_it_resumes() {
    let mut world = one_data_centre(4);
    let paused = 2;
    world.pause(paused, 20 * S);
    world.run(4 * S);
    assert!(!world.leased(paused));
    world.run(15 * S);
    assert!(world.all_owned(), "others took over");
    world.run(20 * S);
    assert!(world.all_owned());
}

/// Guards against a restarted member that forgets its consent and acknowledges the
/// replaced table.
#[test]
fn a_restarted_member_does_not_acknowledge_before_a_proof() {
    let mut world = one_data_centre(5);
    world.set_store_down(true);
    world.run(10 * S);
    for node in [0, 1, 2] {
        world.crash(node);
        world.start(node);
    }
    world.run(30 * S);
    for node in 0..5 {
        assert!(!world.leased(node), "no majority remembers its consents");
    }
    world.set_store_down(false);
    world.run(15 * S);
    assert!(world.all_owned());
}

/// Guards against guessing the outcome of a write whose reply was lost.
#[test]
fn a_write_with_a_lost_reply_is_read_back() {
    let mut world = one_data_centre(6);
    world.store.lost_replies = 100;
    world.crash(1);
    world.run(20 * S);
    assert!(world.all_owned());
    let found = world
        .running()
        .map(|it| it.fleet.as_ref().unwrap().counters().writes_found);
    assert!(found.sum::<u64>() > 0);
}
