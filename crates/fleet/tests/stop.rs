//! Planned shutdown.

mod common;

use common::MS;
use common::S;
use common::World;

/// Guards against a stop that leaves replicas without an owner for a lease time.
#[test]
fn a_stopping_node_hands_over_and_stops() {
    let mut world = World::settled(15, 1);
    world.stop(4);
    world.run(2 * S);
    assert!(world.nodes[4].stopped);
    assert!(world.nodes[4].grants.is_empty());
    assert!(world.all_owned(), "hand-overs grant at once");
}

/// Guards against a stop that waits for the store for ever.
#[test]
fn a_stop_without_the_store_is_bounded() {
    let mut world = World::settled(15, 2);
    world.set_store_down(true);
    world.stop(4);
    world.run(6 * S);
    assert!(world.nodes[4].stopped);
    assert!(world.nodes[4].grants.is_empty());
}

/// Guards against a rolling restart that interrupts ownership.
#[test]
fn several_stops_at_once_share_tables() {
    let mut world = World::settled(15, 3);
    let before = world.store.tables["dc-a"].epoch;
    for node in [0, 3, 6] {
        world.stop(node);
        world.run(50 * MS);
    }
    world.run(4 * S);
    assert!([0, 3, 6].iter().all(|&it| world.nodes[it].stopped));
    assert!(world.all_owned());
    assert!(world.store.tables["dc-a"].epoch - before <= 3);
}
