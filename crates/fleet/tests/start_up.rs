//! Tests that a node serves only with the newest accepted configuration.
//!
//! `Simulation::new` takes the data centres, the number of nodes, the replicas of each data centre
//! and the seed; `settled(nodes, seed)` starts nodes in 3 data centres. `apply(text, ids)` stores
//! a configuration that takes the VMs and data centres named in the text out of service and ends
//! the overrides `ids`. `Some(None)` as `ready` means that the node reported that it is ready.

mod common;

use common::SECOND;
use common::Simulation;
use wigeonhall_fleet::NotReadyReason;

fn configuration_unknown(node: &common::Node) -> bool {
    node.ready == Some(Some(NotReadyReason::ConfigurationUnknown))
}

/// Guards against serving an old configuration when the store is down at start.
#[test]
fn a_majority_of_peers_confirms_the_generation_without_the_store() {
    let mut sim = Simulation::settled(15, 1);
    let generation = sim.apply("dc-c", &[]);
    sim.run(3 * SECOND);
    sim.crash(4);
    sim.set_store_down(true);
    sim.start(4);
    sim.run(5 * SECOND);
    assert_eq!(sim.nodes[4].ready, Some(None));
    assert_eq!(sim.nodes[4].generation(), generation);
}

/// Guards against a node that relies on the generations that a minority reports, or stops
/// requesting them.
#[test]
fn a_node_without_the_store_and_a_majority_is_not_ready() {
    let mut sim = Simulation::settled(15, 2);
    sim.crash(4);
    sim.set_store_down(true);
    // Leaves 7 of the 14 other nodes reachable.
    (8..15).for_each(|it| sim.partition[it] = 1);
    sim.start(4);
    sim.run(20 * SECOND);
    assert!(configuration_unknown(&sim.nodes[4]));
    sim.partition.fill(0);
    sim.run(5 * SECOND);
    assert_eq!(sim.nodes[4].ready, Some(None));
}

/// Guards against nodes that confirm a generation to each other although none of them has
/// read it from the store.
#[test]
fn a_fleet_that_starts_without_the_store_waits_for_it() {
    let mut sim = Simulation::new(&[("south", "dc-a")], 5, 5, 3);
    sim.apply("", &[]);
    sim.set_store_down(true);
    (0..5).for_each(|it| sim.start(it));
    sim.run(20 * SECOND);
    assert!(sim.nodes.iter().all(configuration_unknown));
    sim.set_store_down(false);
    sim.run(15 * SECOND);
    assert!(sim.nodes.iter().all(|it| it.ready == Some(None)));
    assert!(sim.all_owned());
}
