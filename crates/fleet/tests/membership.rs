//! Death, refutation and restarts.

mod common;

use std::sync::Arc;

use common::S;
use common::World;

fn lost(world: &World, node: usize, lost: usize) -> usize {
    let name = &world.nodes[lost].name;
    let reports = world.nodes[node].lost.iter();
    reports
        .filter(|it| Arc::ptr_eq(it, name) || *it == name)
        .count()
}

/// Guards against a dead node that is never reported, or reported again and again.
#[test]
fn a_dead_node_is_reported_once_per_boot() {
    let mut world = World::settled(15, 1);
    world.crash(5);
    world.run(15 * S);
    for node in (0..15).filter(|&it| it != 5) {
        assert_eq!(lost(&world, node, 5), 1);
    }
    world.start(5);
    world.run(15 * S);
    world.crash(5);
    world.run(15 * S);
    for node in (0..15).filter(|&it| it != 5) {
        assert_eq!(lost(&world, node, 5), 2);
    }
}

/// Guards against a restart too quick for probes to notice.
#[test]
fn a_quick_restart_is_reported_as_a_loss() {
    let mut world = World::settled(15, 2);
    world.crash(5);
    world.start(5);
    world.run(10 * S);
    for node in (0..15).filter(|&it| it != 5) {
        assert_eq!(lost(&world, node, 5), 1);
    }
    assert!(world.all_owned());
}

/// Guards against a partition whose halves never find each other again.
#[test]
fn false_deaths_heal() {
    let mut world = World::settled(15, 3);
    (0..7).for_each(|it| world.group[it] = 1);
    world.run(20 * S);
    assert_eq!(lost(&world, 0, 10), 1);
    world.group.fill(0);
    world.run(30 * S);
    let generation = world.apply("", &[]);
    world.run(3 * S);
    assert!(world.nodes.iter().all(|it| it.generation() == generation));
    assert!(world.all_owned());
    for table in world.store.tables.values() {
        assert_eq!(table.members.len(), 5);
    }
}

/// Guards against suspicions that kill live nodes on a lossy network.
#[test]
fn loss_kills_nobody() {
    let mut world = World::settled(15, 4);
    world.loss = 10;
    world.run(120 * S);
    let deaths = world
        .running()
        .map(|it| it.fleet.as_ref().unwrap().counters().deaths);
    assert_eq!(deaths.sum::<u64>(), 0);
}
