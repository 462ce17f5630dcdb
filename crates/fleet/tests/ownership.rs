//! Tests that ownership tables and grants follow the membership.
//!
//! `Simulation::settled(nodes, seed)` starts nodes in 3 data centres with 20 replicas each;
//! `Simulation::new(data_centres, nodes, replicas, seed)` starts none. `apply("", &[])` stores an
//! empty configuration text. The replicas of a crashed node move after the suspicion timeout of
//! 3 s and the wait of 3.3 s for the end of its lease (right to start requests).

mod common;

use common::SECOND;
use common::Simulation;
use wigeonhall_types::VmState;

/// Guards against a fleet start that leaves replicas without an owner.
#[test]
fn every_replica_gets_one_owner() {
    let sim = Simulation::settled(15, 1);
    assert!(sim.all_owned());
    for node in sim.running() {
        // The node reported that it is ready.
        assert_eq!(node.ready, Some(None));
        assert_eq!(
            node.tables.len(),
            3,
            "every node knows the tables of all data centres"
        );
    }
}

/// Guards against a lost node that keeps its replicas, and against moving replicas of other
/// nodes.
#[test]
fn losing_a_node_moves_only_its_replicas() {
    let mut sim = Simulation::settled(15, 2);
    let before = sim.store.tables["dc-a"].clone();
    sim.crash(3);
    sim.run(12 * SECOND);
    assert!(sim.all_owned());
    let after = &sim.store.tables["dc-a"];
    assert!(!after.members.iter().any(|it| &**it == "vm-003"));
    for (replica, owner) in &before.owners {
        if &**owner != "vm-003" {
            assert_eq!(&after.owners[replica], owner);
        }
    }
}

/// Guards against a table whose members are all gone and thereby block their replacement.
#[test]
fn a_data_centre_of_gone_nodes_is_taken_over() {
    let mut sim = Simulation::new(&[("south", "dc-a")], 6, 20, 3);
    sim.apply("", &[]);
    (0..3).for_each(|it| sim.start(it));
    sim.run(15 * SECOND);
    assert!(sim.all_owned());
    for node in 0..3 {
        sim.crash(node);
        let name = sim.nodes[node].name.clone();
        sim.vms.remove(&name);
    }
    (3..6).for_each(|it| sim.start(it));
    sim.run(20 * SECOND);
    assert!(sim.all_owned());
}

/// Guards against a table that contains nodes about which no update ever arrived. A suspicion
/// that such a node is down must not make it count as live, because in the table it would block
/// the majority.
#[test]
fn a_node_that_never_ran_is_not_a_table_member() {
    let mut sim = Simulation::new(&[("south", "dc-a")], 6, 20, 3);
    sim.apply("", &[]);
    (0..3).for_each(|it| sim.start(it));
    for _ in 0..30 {
        sim.run(SECOND);
        let members = sim.store.tables.get("dc-a").map(|it| it.members.len());
        assert!(members.is_none_or(|it| it <= 3));
    }
}

/// Guards against a leaving VM that is assigned replicas.
#[test]
fn a_leaving_vm_owns_no_replica() {
    let mut sim = Simulation::settled(15, 4);
    let name = sim.nodes[0].name.clone();
    sim.vms.insert(name, VmState::Leaving);
    sim.run(12 * SECOND);
    assert!(sim.all_owned());
    assert!(sim.nodes[0].grants.is_empty());
}

/// Guards against a changed hash: nodes of two releases would then replace each other's
/// tables endlessly.
#[test]
fn assignment_is_the_same_in_all_releases() {
    let sim = Simulation::settled(15, 5);
    let owners = sim.store.tables["dc-a"].owners.iter();
    let owners: Vec<_> = owners
        .map(|(replica, owner)| format!("{replica} {owner}"))
        .collect();
    insta::assert_snapshot!(owners.join("\n"), @r"
    dc-a-r000 vm-006
    dc-a-r001 vm-003
    dc-a-r002 vm-009
    dc-a-r003 vm-006
    dc-a-r004 vm-003
    dc-a-r005 vm-003
    dc-a-r006 vm-006
    dc-a-r007 vm-012
    dc-a-r008 vm-003
    dc-a-r009 vm-003
    dc-a-r010 vm-000
    dc-a-r011 vm-012
    dc-a-r012 vm-003
    dc-a-r013 vm-000
    dc-a-r014 vm-003
    dc-a-r015 vm-009
    dc-a-r016 vm-000
    dc-a-r017 vm-012
    dc-a-r018 vm-012
    dc-a-r019 vm-000
    ");
}
