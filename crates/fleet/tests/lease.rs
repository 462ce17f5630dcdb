//! Tests leases with and without the store, during pauses and around consent and
//! quarantine.
//!
//! A node without a proof that its ownership table is the newest loses its lease after 3 s, and
//! the other nodes replace it as owner some seconds later.

mod common;

use common::MS;
use common::SECOND;
use common::Simulation;

/// Starts 5 nodes that own 20 replicas in one data centre.
fn one_data_centre(seed: u64) -> Simulation {
    let mut sim = Simulation::new(&[("south", "dc-a")], 5, 20, seed);
    sim.apply("", &[]);
    (0..5).for_each(|it| sim.start(it));
    sim.run(15 * SECOND);
    assert!(sim.all_owned());
    sim
}

fn assert_owned_for(sim: &mut Simulation, seconds: u64) {
    for _ in 0..seconds * 4 {
        sim.run(250 * MS);
        assert!(sim.all_owned(), "a lease expired at {}", sim.now);
    }
}

/// Guards against owners that lose their leases in a store outage.
#[test]
fn leases_last_through_an_outage() {
    let mut sim = one_data_centre(1);
    sim.set_store_down(true);
    assert_owned_for(&mut sim, 60);
    sim.set_store_down(false);
    assert_owned_for(&mut sim, 20);
}

/// Guards against leases that expire when single messages are lost.
#[test]
fn leases_last_on_a_lossy_network() {
    let mut sim = one_data_centre(7);
    sim.loss_percent = 10;
    assert_owned_for(&mut sim, 60);
    sim.set_store_down(true);
    assert_owned_for(&mut sim, 60);
}

/// Guards against a node that needs to reach the store itself although its peers reach it.
#[test]
fn a_node_cut_off_from_the_store_relies_on_peers() {
    for node in 0..5 {
        let mut sim = one_data_centre(2);
        sim.store_unreachable_from.insert(node);
        assert_owned_for(&mut sim, 20);
    }
}

/// Guards against a minority that keeps its leases while the majority replaces it as owner.
#[test]
fn a_minority_without_the_store_loses_its_leases() {
    let mut sim = one_data_centre(3);
    for node in [0, 1] {
        sim.partition[node] = 1;
        sim.store_unreachable_from.insert(node);
    }
    sim.run(4 * SECOND);
    assert!(!sim.leased(0) && !sim.leased(1));
    sim.run(15 * SECOND);
    assert!(sim.all_owned(), "the majority took over");
    assert_eq!(sim.store.tables["dc-a"].members.len(), 3);
}

/// Guards against a majority, cut off from the store, that renews its leases by
/// acknowledgements after it consented to a new table. The simulation checks that no replica
/// has two owners.
#[test]
fn consent_ends_acknowledgement() {
    for seed in 0..30 {
        let mut sim = one_data_centre(seed);
        let writer = seed as usize % 5;
        sim.crash((writer + 1) % 5);
        // Partitions all nodes but the writer off around the write of the new table.
        let wait = sim.rng.u64(4 * SECOND..7 * SECOND);
        sim.run(wait);
        for node in (0..5).filter(|&it| it != writer) {
            sim.partition[node] = 1;
            sim.store_unreachable_from.insert(node);
        }
        sim.run(10 * SECOND);
    }
}

/// Guards against a paused owner that resumes work under its expired lease.
#[test]
fn a_paused_owner_has_no_lease_when_it_resumes() {
    let mut sim = one_data_centre(4);
    let paused = 2;
    sim.pause(paused, 20 * SECOND);
    sim.run(4 * SECOND);
    assert!(!sim.leased(paused));
    sim.run(15 * SECOND);
    assert!(sim.all_owned(), "others took over");
    sim.run(20 * SECOND);
    assert!(sim.all_owned());
}

/// Guards against a restarted member that has lost its consent and acknowledges the
/// replaced table.
#[test]
fn a_restarted_member_does_not_acknowledge_before_a_proof() {
    let mut sim = one_data_centre(5);
    sim.set_store_down(true);
    sim.run(10 * SECOND);
    for node in [0, 1, 2] {
        sim.crash(node);
        sim.start(node);
    }
    sim.run(30 * SECOND);
    for node in 0..5 {
        assert!(
            !sim.leased(node),
            "a majority restarted and may not acknowledge"
        );
    }
    sim.set_store_down(false);
    sim.run(15 * SECOND);
    assert!(sim.all_owned());
}

/// Guards against assuming an outcome for a write whose reply was lost.
#[test]
fn a_write_with_a_lost_reply_is_read_back() {
    let mut sim = one_data_centre(6);
    sim.store.unreliable_write_percent = 100;
    sim.crash(1);
    sim.run(20 * SECOND);
    assert!(sim.all_owned());
    let found = sim
        .running()
        .map(|it| it.fleet.as_ref().unwrap().counters().writes_found);
    assert!(found.sum::<u64>() > 0);
}
