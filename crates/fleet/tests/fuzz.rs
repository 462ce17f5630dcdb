//! Runs random operations and failures and checks the invariants of the simulation.
//!
//! At every event the simulation checks that generations and epochs never decrease, that
//! one write of an epoch (version of an ownership table) takes effect, that no two nodes have
//! a valid lease and a grant for one replica, that evacuation overrides last until a
//! configuration contains them, and that a node puts exactly the accepted text in force.

mod common;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use common::MS;
use common::SECOND;
use common::Simulation;
use wigeonhall_types::VmState;

const NODES: usize = 8;

/// Lines of the configuration text, which is long enough for several parts.
const LINES: usize = 300;

#[derive(Clone, Debug)]
enum Op {
    /// Whether the configuration contains all overrides, the lines to edit, and whether the
    /// new parts come with the manifest.
    Apply(bool, Vec<(usize, u32)>, bool),
    /// Percentage of parts that arrive corrupted.
    Corrupt(u8),
    Crash(usize),
    /// Cuts a node off from the store, or reconnects it.
    CutFromStore(usize),
    /// Node that receives the request, and VM to evacuate.
    Evacuate(usize, usize),
    /// Crashes a node and removes its VM from the VM list.
    Gone(usize),
    /// Percentage of messages that are lost.
    Loss(u8),
    /// Percentage of messages that are delayed or duplicated.
    Late(u8),
    /// Percentage of table writes whose reply is lost; with any, some writes also take effect
    /// late.
    LostReplies(u8),
    /// A bit for each node; nodes with different bits cannot reach each other.
    Partition(u8),
    Pause(usize, u64),
    /// Removes the parts that the stored manifest does not list.
    RemoveParts,
    Run(u64),
    Start(usize),
    Stop(usize),
    StoreDown(bool),
}

fn op() -> impl Strategy<Value = Op> {
    let node = 0..NODES;
    prop_oneof![
        2 => (any::<bool>(), edits(), any::<bool>()).prop_map(|it| Op::Apply(it.0, it.1, it.2)),
        1 => prop_oneof![Just(0_u8), Just(30)].prop_map(Op::Corrupt),
        3 => node.clone().prop_map(Op::Crash),
        2 => node.clone().prop_map(Op::CutFromStore),
        1 => (node.clone(), node.clone()).prop_map(|it| Op::Evacuate(it.0, it.1)),
        2 => node.clone().prop_map(Op::Gone),
        1 => prop_oneof![Just(0_u8), Just(10), Just(40)].prop_map(Op::Loss),
        1 => prop_oneof![Just(0_u8), Just(20)].prop_map(Op::Late),
        1 => prop_oneof![Just(0_u8), Just(50)].prop_map(Op::LostReplies),
        3 => any::<u8>().prop_map(Op::Partition),
        3 => (node.clone(), 100 * MS..12 * SECOND).prop_map(|it| Op::Pause(it.0, it.1)),
        1 => Just(Op::RemoveParts),
        12 => (MS..6 * SECOND).prop_map(Op::Run),
        5 => node.clone().prop_map(Op::Start),
        1 => node.prop_map(Op::Stop),
        3 => any::<bool>().prop_map(Op::StoreDown),
    ]
}

/// Generates edits of a few lines, or of so many that nearly all parts change.
fn edits() -> impl Strategy<Value = Vec<(usize, u32)>> {
    let edit = (0..LINES, any::<u32>());
    prop_oneof![
        4 => proptest::collection::vec(edit.clone(), 0..4),
        1 => proptest::collection::vec(edit, 50..100),
    ]
}

fn line(value: u32) -> String {
    format!(
        "  entry-{value}: {}\n",
        "x".repeat(80 + value as usize % 40)
    )
}

fn apply_op(sim: &mut Simulation, lines: &mut [String], op: Op) {
    match op {
        Op::Apply(contain_overrides, edits, inline) => {
            if sim.store.down {
                return;
            }
            let ids: Vec<_> = sim.overrides.iter().map(|it| it.0.clone()).collect();
            let ids: Vec<_> = ids.iter().map(|it| &**it).collect();
            for (at, value) in edits {
                lines[at] = line(value);
            }
            sim.parts_inline = inline;
            sim.apply(&lines.concat(), if contain_overrides { &ids } else { &[] });
        }
        Op::Corrupt(percent) => sim.corrupt_percent = percent,
        Op::Crash(node) => sim.crash(node),
        Op::CutFromStore(node) => {
            if !sim.store_unreachable_from.remove(&node) {
                sim.store_unreachable_from.insert(node);
            }
        }
        Op::Evacuate(node, vm) => {
            let id = format!("override-{}", sim.overrides.len());
            if sim.nodes[node].fleet.is_some() {
                let vm = sim.nodes[vm].name.clone();
                sim.evacuate(node, &id, None, Some(&vm));
            }
        }
        Op::Gone(node) => {
            sim.crash(node);
            let name = sim.nodes[node].name.clone();
            sim.vms.remove(&name);
        }
        Op::Loss(percent) => sim.loss_percent = percent,
        Op::Late(percent) => sim.late_percent = percent,
        Op::LostReplies(percent) => sim.store.unreliable_write_percent = percent,
        Op::Partition(mask) => {
            for node in 0..NODES {
                sim.partition[node] = mask >> node & 1;
            }
        }
        Op::Pause(node, time) => sim.pause(node, time),
        Op::RemoveParts => sim.store.remove_unlisted_parts(),
        Op::Run(time) => sim.run(time),
        Op::Start(node) => start(sim, node),
        Op::Stop(node) => sim.stop(node),
        Op::StoreDown(down) => sim.set_store_down(down),
    }
}

fn start(sim: &mut Simulation, node: usize) {
    if sim.nodes[node].fleet.is_none() || sim.nodes[node].stopped {
        sim.crash(node);
        let name = sim.nodes[node].name.clone();
        sim.vms.insert(name, VmState::Live);
        sim.start(node);
    }
}

/// Ends all failures and checks that every replica gets an owner and every node the newest
/// configuration.
fn recover_and_check(sim: &mut Simulation, text: &str) {
    sim.corrupt_percent = 0;
    sim.late_percent = 0;
    sim.loss_percent = 0;
    sim.store.unreliable_write_percent = 0;
    sim.partition.fill(0);
    sim.store_unreachable_from.clear();
    sim.set_store_down(false);
    let ids: Vec<_> = sim.overrides.iter().map(|it| it.0.clone()).collect();
    let ids: Vec<_> = ids.iter().map(|it| &**it).collect();
    sim.parts_inline = false;
    let generation = sim.apply(text, &ids);
    sim.run(15 * SECOND);
    (0..NODES).for_each(|node| start(sim, node));
    sim.run(45 * SECOND);
    for node in &sim.nodes {
        assert_eq!(node.generation(), generation, "{}", node.name);
        assert_eq!(node.ready, Some(None), "{}", node.name);
        let mut vms = node.in_force.iter().flat_map(|it| it.vms.values());
        assert!(
            vms.all(|it| !it.out),
            "an override is active although the configuration contains it"
        );
    }
    assert!(sim.all_owned(), "a replica has no owner");
}

/// Guards against two owners of one replica and against lost or reverted changes under any
/// sequence of failures.
#[test]
fn failures_never_break_the_invariants() {
    let cases = std::env::var("WIGEONHALL_FUZZ_CASES");
    let cases = cases.map_or(40, |it| it.parse().expect("a number of cases"));
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 150,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let ops = proptest::collection::vec(op(), 5..40);
    let case = (any::<u64>(), ops);
    let result = runner.run(&case, |(seed, ops)| {
        let mut sim = Simulation::new(&[("south", "dc-a"), ("north", "dc-b")], NODES, 6, seed);
        let mut lines: Vec<_> = (0..LINES as u32).map(line).collect();
        sim.apply(&lines.concat(), &[]);
        (0..NODES).for_each(|it| sim.start(it));
        sim.run(8 * SECOND);
        for op in ops {
            apply_op(&mut sim, &mut lines, op);
        }
        lines[LINES / 2] = line(u32::MAX);
        recover_and_check(&mut sim, &lines.concat());
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
