//! A node serves only with the newest accepted configuration.

mod common;

use common::S;
use common::World;
use wigeonhall_fleet::NotReadyReason;

fn unknown(node: &common::Node) -> bool {
    node.ready == Some(Some(NotReadyReason::ConfigurationUnknown))
}

/// Guards against serving an old configuration when the store is down at start.
#[test]
fn without_the_store_a_majority_of_peers_is_asked() {
    let mut world = World::settled(15, 1);
    let generation = world.apply("dc-c", &[]);
    world.run(3 * S);
    world.crash(4);
    world.set_store_down(true);
    world.start(4);
    world.run(5 * S);
    assert_eq!(world.nodes[4].ready, Some(None));
    assert_eq!(world.nodes[4].generation(), generation);
}

/// Guards against a node that trusts a minority, or gives up asking.
#[test]
fn with_store_and_most_peers_silent_the_node_is_not_ready() {
    let mut world = World::settled(15, 2);
    world.crash(4);
    world.set_store_down(true);
    (8..15).for_each(|it| world.group[it] = 1);
    world.start(4);
    world.run(20 * S);
    assert!(unknown(&world.nodes[4]));
    world.group.fill(0);
    world.run(5 * S);
    assert_eq!(world.nodes[4].ready, Some(None));
}

/// Guards against nodes that confirm each other without any of them being sure.
#[test]
fn a_fleet_that_starts_without_the_store_waits_for_it() {
    let mut world = World::new(&[("south", "dc-a")], 5, 5, 3);
    world.apply("", &[]);
    world.set_store_down(true);
    (0..5).for_each(|it| world.start(it));
    world.run(20 * S);
    assert!(world.nodes.iter().all(unknown));
    world.set_store_down(false);
    world.run(15 * S);
    assert!(world.nodes.iter().all(|it| it.ready == Some(None)));
    assert!(world.all_owned());
}
