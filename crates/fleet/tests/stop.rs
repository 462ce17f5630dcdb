//! Tests the planned shutdown.
//!
//! `Simulation::settled(nodes, seed)` starts nodes in 3 data centres; nodes 0, 3 and 6 are in the
//! first one.

mod common;

use common::MS;
use common::SECOND;
use common::Simulation;

/// Guards against a shutdown that leaves replicas without an owner for the length of a
/// lease.
#[test]
fn a_stopping_node_hands_over_and_stops() {
    let mut sim = Simulation::settled(15, 1);
    sim.stop(4);
    sim.run(2 * SECOND);
    assert!(sim.nodes[4].stopped);
    assert!(sim.nodes[4].grants.is_empty());
    assert!(sim.all_owned(), "a replica handed over is granted at once");
}

/// Guards against a shutdown that waits for the store without a deadline, which is after 5 s.
#[test]
fn a_stop_without_the_store_is_bounded() {
    let mut sim = Simulation::settled(15, 2);
    sim.set_store_down(true);
    sim.stop(4);
    sim.run(6 * SECOND);
    assert!(sim.nodes[4].stopped);
    assert!(sim.nodes[4].grants.is_empty());
}

/// Guards against a rolling restart that interrupts ownership, and against more than one table
/// write for each node that stops.
#[test]
fn concurrent_stops_need_few_table_writes() {
    let mut sim = Simulation::settled(15, 3);
    let before = sim.store.tables["dc-a"].epoch;
    for node in [0, 3, 6] {
        sim.stop(node);
        sim.run(50 * MS);
    }
    sim.run(4 * SECOND);
    assert!([0, 3, 6].iter().all(|&it| sim.nodes[it].stopped));
    assert!(sim.all_owned());
    assert!(sim.store.tables["dc-a"].epoch - before <= 3);
}
