//! Death, refutation and restarts.

mod common;

use std::sync::Arc;

use common::S;
use common::Simulation;

fn lost(sim: &Simulation, node: usize, lost: usize) -> usize {
    let name = &sim.nodes[lost].name;
    let reports = sim.nodes[node].lost.iter();
    reports
        .filter(|it| Arc::ptr_eq(it, name) || *it == name)
        .count()
}

/// Guards against a dead node that is never reported, or reported again and again.
#[test]
fn a_dead_node_is_reported_once_per_boot() {
    let mut sim = Simulation::settled(15, 1);
    sim.crash(5);
    sim.run(15 * S);
    for node in (0..15).filter(|&it| it != 5) {
        assert_eq!(lost(&sim, node, 5), 1);
    }
    sim.start(5);
    sim.run(15 * S);
    sim.crash(5);
    sim.run(15 * S);
    for node in (0..15).filter(|&it| it != 5) {
        assert_eq!(lost(&sim, node, 5), 2);
    }
}

/// Guards against a restart too quick for probes to notice.
#[test]
fn a_quick_restart_is_reported_as_a_loss() {
    let mut sim = Simulation::settled(15, 2);
    sim.crash(5);
    sim.start(5);
    sim.run(10 * S);
    for node in (0..15).filter(|&it| it != 5) {
        assert_eq!(lost(&sim, node, 5), 1);
    }
    assert!(sim.all_owned());
}

/// Guards against a partition whose halves never find each other again.
#[test]
fn false_deaths_heal() {
    let mut sim = Simulation::settled(15, 3);
    (0..7).for_each(|it| sim.group[it] = 1);
    sim.run(20 * S);
    assert_eq!(lost(&sim, 0, 10), 1);
    sim.group.fill(0);
    sim.run(30 * S);
    let generation = sim.apply("", &[]);
    sim.run(3 * S);
    assert!(sim.nodes.iter().all(|it| it.generation() == generation));
    assert!(sim.all_owned());
    for table in sim.store.tables.values() {
        assert_eq!(table.members.len(), 5);
    }
}

/// Guards against suspicions that kill live nodes on a lossy network.
#[test]
fn loss_kills_nobody() {
    let mut sim = Simulation::settled(15, 4);
    sim.loss = 10;
    sim.run(120 * S);
    let deaths = sim
        .running()
        .map(|it| it.fleet.as_ref().unwrap().counters().deaths);
    assert_eq!(deaths.sum::<u64>(), 0);
}
