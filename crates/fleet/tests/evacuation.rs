//! Tests evacuation overrides (operators' requests to take a VM or a data centre out of service
//! without the store), with and without the store.
//!
//! `Simulation::settled(nodes, seed)` starts nodes in 3 data centres. `apply(text, ids)` writes a
//! configuration that takes the names in the text out of service and ends these overrides.

mod common;

use common::SECOND;
use common::Simulation;

fn is_out(sim: &Simulation, node: usize, dc: &str) -> bool {
    let it = &sim.nodes[node];
    let deployment = it.in_force.as_ref().unwrap();
    let mut tables = it.tables.iter().filter(|(name, _)| &***name == dc);
    tables.any(|(_, table)| deployment.is_data_centre_out(table.data_centre))
}

/// Guards against an evacuation that needs the store or reaches only some nodes.
#[test]
fn an_override_reaches_all_nodes_without_the_store() {
    let mut sim = Simulation::settled(15, 1);
    sim.set_store_down(true);
    sim.loss_percent = 10;
    sim.evacuate(3, "override-1", Some("dc-b"), None);
    sim.run(3 * SECOND);
    assert!((0..15).all(|it| is_out(&sim, it, "dc-b")));
    // A restarted node receives the override from its peers.
    sim.crash(7);
    sim.start(7);
    sim.run(10 * SECOND);
    assert!(is_out(&sim, 7, "dc-b"));
}

/// Guards against an override that comes back after its end, because a node that missed the end
/// disseminates it again.
#[test]
fn an_override_ends_with_its_configuration_and_stays_ended() {
    let mut sim = Simulation::settled(15, 2);
    sim.evacuate(3, "override-1", Some("dc-b"), None);
    sim.run(3 * SECOND);
    sim.partition[9] = 1;
    sim.store_unreachable_from.insert(9);
    sim.apply("dc-b", &["override-1"]);
    sim.run(3 * SECOND);
    assert!((0..15).all(|it| is_out(&sim, it, "dc-b")));
    // The next configuration returns the data centre to service and no longer contains the
    // id.
    sim.apply("", &[]);
    sim.run(3 * SECOND);
    sim.partition.fill(0);
    sim.store_unreachable_from.clear();
    sim.run(10 * SECOND);
    assert!((0..15).all(|it| !is_out(&sim, it, "dc-b")));
}

/// Guards against the rejection of an override for a name that is not configured yet.
#[test]
fn an_unknown_name_is_kept_without_effect() {
    let mut sim = Simulation::settled(6, 3);
    sim.evacuate(0, "override-1", Some("dc-z"), Some("vm-zzz"));
    sim.run(3 * SECOND);
    assert!((0..6).all(|it| !is_out(&sim, it, "dc-a")));
    assert!(sim.all_owned());
}
