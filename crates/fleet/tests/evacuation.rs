//! Overrides without the store.

mod common;

use common::S;
use common::World;

fn out(world: &World, node: usize, dc: &str) -> bool {
    let it = &world.nodes[node];
    let deployment = it.in_force.as_ref().unwrap();
    let mut regions = it.tables.iter().filter(|(name, _)| &***name == dc);
    regions.any(|(_, table)| deployment.is_data_centre_out(table.data_centre))
}

/// Guards against an evacuation that needs the store or reaches only some nodes.
#[test]
fn an_override_reaches_all_nodes_without_the_store() {
    let mut world = World::settled(15, 1);
    world.set_store_down(true);
    world.loss = 10;
    world.evacuate(3, "order-1", Some("dc-b"), None);
    world.run(3 * S);
    assert!((0..15).all(|it| out(&world, it, "dc-b")));
    // A restarted node gets it from its peers.
    world.crash(7);
    world.start(7);
    world.run(10 * S);
    assert!(out(&world, 7, "dc-b"));
}

/// Guards against overrides that come back from nodes that missed their end.
#[test]
fn an_override_ends_with_its_configuration_and_stays_ended() {
    let mut world = World::settled(15, 2);
    world.evacuate(3, "order-1", Some("dc-b"), None);
    world.run(3 * S);
    world.group[9] = 1;
    world.cut_from_store.insert(9);
    world.apply("dc-b", &["order-1"]);
    world.run(3 * S);
    assert!((0..15).all(|it| out(&world, it, "dc-b")));
    // The next configuration returns the data centre and lists the id no more.
    world.apply("", &[]);
    world.run(3 * S);
    world.group.fill(0);
    world.cut_from_store.clear();
    world.run(10 * S);
    assert!((0..15).all(|it| !out(&world, it, "dc-b")));
}

/// Guards against a name that is rejected because it is not configured yet.
#[test]
fn an_unknown_name_is_kept_without_effect() {
    let mut world = World::settled(6, 3);
    world.evacuate(0, "order-1", Some("dc-z"), Some("vm-zzz"));
    world.run(3 * S);
    assert!((0..6).all(|it| !out(&world, it, "dc-a")));
    assert!(world.all_owned());
}
