//! Tests that a new configuration is in force on all nodes in time, and that only a newer
//! one replaces it.
//!
//! `Simulation::settled(nodes, seed)` starts nodes in 3 data centres of one region. `apply(text,
//! ids)` stores a configuration, whose version is its generation.

mod common;

use common::MS;
use common::SECOND;
use common::Simulation;

/// Edits one line five times and checks that each change is in force on all nodes after 3 s.
/// With `down`, the store is unavailable from 10 ms after the change.
fn assert_in_force_within_3_s(count: usize, loss_percent: u8, down: bool, seed: u64) {
    let mut sim = Simulation::settled(count, seed);
    sim.loss_percent = loss_percent;
    let mut lines: Vec<_> = (0..200).map(|it| format!("  a-{it}: {it:090}\n")).collect();
    sim.parts_inline = true;
    sim.apply(&lines.concat(), &[]);
    for change in 0..5 {
        sim.set_store_down(false);
        sim.run(5 * SECOND);
        lines[change * 40].replace_range(2..3, "b");
        let generation = sim.apply(&lines.concat(), &[]);
        sim.run(10 * MS);
        sim.set_store_down(down);
        sim.run(3 * SECOND - 10 * MS);
        let outdated = sim.nodes.iter().filter(|it| it.generation() != generation);
        assert_eq!(outdated.count(), 0, "{count} nodes, seed {seed}");
    }
}

/// Guards against changes that take longer than the 3 s that operators rely on.
#[test]
fn in_force_within_3_s_at_15_nodes() {
    for seed in 0..10 {
        assert_in_force_within_3_s(15, 10, seed % 2 == 0, seed);
    }
}

/// Guards against a dissemination that is fast enough only in a small fleet.
#[test]
fn in_force_within_3_s_at_150_nodes() {
    assert_in_force_within_3_s(150, 10, false, 1);
    assert_in_force_within_3_s(150, 10, true, 2);
}

/// Guards against a starting fleet in which every node watches the store.
#[test]
fn a_few_nodes_of_a_region_watch() {
    let sim = Simulation::settled(60, 3);
    let counters = sim
        .running()
        .map(|it| *it.fleet.as_ref().unwrap().counters());
    let watches: u64 = counters.map(|it| it.store_watches).sum();
    assert_eq!(watches, wigeonhall_fleet::WATCHERS_PER_REGION as u64);
}
