//! Leases with and without the store, pauses, consent and quarantine.

mod common;

use common::MS;
use common::S;
use common::Simulation;

fn one_data_centre(seed: u64) -> Simulation {
    let mut sim = Simulation::new(&[("south", "dc-a")], 5, 20, seed);
    sim.apply("", &[]);
    (0..5).for_each(|it| sim.start(it));
    sim.run(15 * S);
    assert!(sim.all_owned());
    sim
}

fn stays_owned(sim: &mut Simulation, seconds: u64) {
    for _ in 0..seconds * 4 {
        sim.run(250 * MS);
        assert!(sim.all_owned(), "a lease lapsed at {}", sim.now);
    }
}

/// Guards against an outage of the store that takes the owners' leases away.
#[test]
fn leases_last_through_an_outage() {
    let mut sim = one_data_centre(1);
    sim.set_store_down(true);
    stays_owned(&mut sim, 60);
    sim.set_store_down(false);
    stays_owned(&mut sim, 20);
}

/// Guards against leases that lapse when single messages are lost.
#[test]
fn leases_last_on_a_lossy_network() {
    let mut sim = one_data_centre(7);
    sim.loss = 10;
    stays_owned(&mut sim, 60);
    sim.set_store_down(true);
    stays_owned(&mut sim, 60);
}

/// Guards against a node that needs the store itself although its peers have it.
#[test]
fn a_node_cut_off_from_the_store_relies_on_peers() {
    for node in 0..5 {
        let mut sim = one_data_centre(2);
        sim.cut_from_store.insert(node);
        stays_owned(&mut sim, 20);
    }
}

/// Guards against a minority that keeps its leases while others replace it.
#[test]
fn a_minority_without_the_store_loses_its_leases() {
    let mut sim = one_data_centre(3);
    for node in [0, 1] {
        sim.group[node] = 1;
        sim.cut_from_store.insert(node);
    }
    sim.run(4 * S);
    assert!(!sim.leased(0) && !sim.leased(1));
    sim.run(15 * S);
    assert!(sim.all_owned(), "the majority took over");
    assert_eq!(sim.store.tables["dc-a"].members.len(), 3);
}

/// Guards against a cut-off majority that renews its leases by acknowledgements
/// after it consented to a new table.
#[test]
fn consent_ends_acknowledgement() {
    for seed in 0..30 {
        let mut sim = one_data_centre(seed);
        let writer = seed as usize % 5;
        sim.crash((writer + 1) % 5);
        // Cuts all but the writer off just around the write of the new table.
        let wait = sim.rng.u64(4 * S..7 * S);
        sim.run(wait);
        for node in (0..5).filter(|&it| it != writer) {
            sim.group[node] = 1;
            sim.cut_from_store.insert(node);
        }
        sim.run(10 * S);
    }
}

/// Guards against a paused owner that starts work again under its old lease.
#[test]
fn a_paused_owner_has_no_lease_when_it_resumes() {
    let mut sim = one_data_centre(4);
    let paused = 2;
    sim.pause(paused, 20 * S);
    sim.run(4 * S);
    assert!(!sim.leased(paused));
    sim.run(15 * S);
    assert!(sim.all_owned(), "others took over");
    sim.run(20 * S);
    assert!(sim.all_owned());
}

/// Guards against a restarted member that forgets its consent and acknowledges the
/// replaced table.
#[test]
fn a_restarted_member_does_not_acknowledge_before_a_proof() {
    let mut sim = one_data_centre(5);
    sim.set_store_down(true);
    sim.run(10 * S);
    for node in [0, 1, 2] {
        sim.crash(node);
        sim.start(node);
    }
    sim.run(30 * S);
    for node in 0..5 {
        assert!(!sim.leased(node), "no majority remembers its consents");
    }
    sim.set_store_down(false);
    sim.run(15 * S);
    assert!(sim.all_owned());
}

/// Guards against guessing the outcome of a write whose reply was lost.
#[test]
fn a_write_with_a_lost_reply_is_read_back() {
    let mut sim = one_data_centre(6);
    sim.store.lost_replies = 100;
    sim.crash(1);
    sim.run(20 * S);
    assert!(sim.all_owned());
    let found = sim
        .running()
        .map(|it| it.fleet.as_ref().unwrap().counters().writes_found);
    assert!(found.sum::<u64>() > 0);
}
