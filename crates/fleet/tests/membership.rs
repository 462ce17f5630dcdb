//! Tests failure detection: deaths, refutations and restarts.
//!
//! `Simulation::settled(nodes, seed)` starts nodes in 3 data centres. `apply` with empty arguments
//! writes a configuration that differs only in its generation.

mod common;

use std::sync::Arc;

use common::SECOND;
use common::Simulation;

fn loss_reports(sim: &Simulation, node: usize, lost: usize) -> usize {
    let name = &sim.nodes[lost].name;
    let reports = sim.nodes[node].lost_nodes.iter();
    reports
        .filter(|it| Arc::ptr_eq(it, name) || *it == name)
        .count()
}

/// Guards against a dead node that is not reported or is reported repeatedly.
#[test]
fn a_dead_node_is_reported_once_per_boot() {
    let mut sim = Simulation::settled(15, 1);
    sim.crash(5);
    sim.run(15 * SECOND);
    for node in (0..15).filter(|&it| it != 5) {
        assert_eq!(loss_reports(&sim, node, 5), 1);
    }
    sim.start(5);
    sim.run(15 * SECOND);
    sim.crash(5);
    sim.run(15 * SECOND);
    for node in (0..15).filter(|&it| it != 5) {
        assert_eq!(loss_reports(&sim, node, 5), 2);
    }
}

/// Guards against an unreported loss when a node restarts before probes fail.
#[test]
fn a_quick_restart_is_reported_as_a_loss() {
    let mut sim = Simulation::settled(15, 2);
    sim.crash(5);
    sim.start(5);
    sim.run(10 * SECOND);
    for node in (0..15).filter(|&it| it != 5) {
        assert_eq!(loss_reports(&sim, node, 5), 1);
    }
    assert!(sim.all_owned());
}

/// Guards against nodes that stay separate after a network partition has ended.
#[test]
fn members_declared_dead_in_a_partition_recover() {
    let mut sim = Simulation::settled(15, 3);
    (0..7).for_each(|it| sim.partition[it] = 1);
    sim.run(20 * SECOND);
    assert_eq!(loss_reports(&sim, 0, 10), 1);
    sim.partition.fill(0);
    sim.run(30 * SECOND);
    let generation = sim.apply("", &[]);
    sim.run(3 * SECOND);
    assert!(sim.nodes.iter().all(|it| it.generation() == generation));
    assert!(sim.all_owned());
    // 15 nodes in 3 data centres.
    for table in sim.store.tables.values() {
        assert_eq!(table.members.len(), 5);
    }
}

/// Guards against live nodes that are declared dead on a lossy network.
#[test]
fn message_loss_causes_no_deaths() {
    let mut sim = Simulation::settled(15, 4);
    sim.loss_percent = 10;
    sim.run(120 * SECOND);
    let deaths = sim
        .running()
        .map(|it| it.fleet.as_ref().unwrap().counters().deaths);
    assert_eq!(deaths.sum::<u64>(), 0);
}
