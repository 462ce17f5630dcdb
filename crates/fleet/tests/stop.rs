//! Planned shutdown.

mod common;

use common::MS;
use common::S;
use common::Simulation;

/// Guards against a stop that leaves replicas without an owner for a lease time.
#[test]
fn a_stopping_node_hands_over_and_stops() {
    let mut sim = Simulation::settled(15, 1);
    sim.stop(4);
    sim.run(2 * S);
    assert!(sim.nodes[4].stopped);
    assert!(sim.nodes[4].grants.is_empty());
    assert!(sim.all_owned(), "hand-overs grant at once");
}

/// Guards against a stop that waits for the store for ever.
#[test]
fn a_stop_without_the_store_is_bounded() {
    let mut sim = Simulation::settled(15, 2);
    sim.set_store_down(true);
    sim.stop(4);
    sim.run(6 * S);
    assert!(sim.nodes[4].stopped);
    assert!(sim.nodes[4].grants.is_empty());
}

/// Guards against a rolling restart that interrupts ownership.
#[test]
fn several_stops_at_once_share_tables() {
    let mut sim = Simulation::settled(15, 3);
    let before = sim.store.tables["dc-a"].epoch;
    for node in [0, 3, 6] {
        sim.stop(node);
        sim.run(50 * MS);
    }
    sim.run(4 * S);
    assert!([0, 3, 6].iter().all(|&it| sim.nodes[it].stopped));
    assert!(sim.all_owned());
    assert!(sim.store.tables["dc-a"].epoch - before <= 3);
}
