//! Random failures against the oracle in the world of fakes.
//!
//! At every event the world checks that generations and epochs never go back, that
//! one write of an epoch takes effect, that no two nodes hold a valid lease and a
//! grant for one replica, that overrides last until a configuration has them, and
//! that a node puts exactly the accepted text in force.

mod common;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use common::MS;
use common::S;
use common::Simulation;
use wigeonhall_types::VmState;

const NODES: usize = 8;

/// Lines of the text; it has several parts.
const LINES: usize = 300;

#[derive(Clone, Debug)]
enum Op {
    /// Whether it contains the overrides, the lines to edit and whether the new parts
    /// come with the list.
    Apply(bool, Vec<(usize, u32)>, bool),
    Corrupt(u8),
    Crash(usize),
    CutFromStore(usize),
    Evacuate(usize, usize),
    Gone(usize),
    Loss(u8),
    Late(u8),
    LostReplies(u8),
    Partition(u8),
    Pause(usize, u64),
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
        3 => (node.clone(), 100 * MS..12 * S).prop_map(|it| Op::Pause(it.0, it.1)),
        1 => Just(Op::RemoveParts),
        12 => (MS..6 * S).prop_map(Op::Run),
        5 => node.clone().prop_map(Op::Start),
        1 => node.prop_map(Op::Stop),
        3 => any::<bool>().prop_map(Op::StoreDown),
    ]
}

/// Edits of a few lines, or of so many that nearly all parts change.
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

fn act(sim: &mut Simulation, lines: &mut [String], op: Op) {
    match op {
        Op::Apply(contain, edits, inline) => {
            if sim.store.down {
                return;
            }
            let ids: Vec<_> = sim.orders.iter().map(|it| it.0.clone()).collect();
            let ids: Vec<_> = ids.iter().map(|it| &**it).collect();
            for (at, value) in edits {
                lines[at] = line(value);
            }
            sim.inline = inline;
            sim.apply(&lines.concat(), if contain { &ids } else { &[] });
        }
        Op::Corrupt(percent) => sim.corrupt = percent,
        Op::Crash(node) => sim.crash(node),
        Op::CutFromStore(node) => {
            if !sim.cut_from_store.remove(&node) {
                sim.cut_from_store.insert(node);
            }
        }
        Op::Evacuate(node, vm) => {
            let id = format!("order-{}", sim.orders.len());
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
        Op::Loss(percent) => sim.loss = percent,
        Op::Late(percent) => sim.late = percent,
        Op::LostReplies(percent) => sim.store.lost_replies = percent,
        Op::Partition(mask) => {
            for node in 0..NODES {
                sim.group[node] = mask >> node & 1;
            }
        }
        Op::Pause(node, time) => sim.pause(node, time),
        Op::RemoveParts => sim.store.remove_parts(),
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

/// Ends all failures; then everything must be owned and everybody up to date.
fn heal(sim: &mut Simulation, text: &str) {
    sim.corrupt = 0;
    sim.late = 0;
    sim.loss = 0;
    sim.store.lost_replies = 0;
    sim.group.fill(0);
    sim.cut_from_store.clear();
    sim.set_store_down(false);
    let ids: Vec<_> = sim.orders.iter().map(|it| it.0.clone()).collect();
    let ids: Vec<_> = ids.iter().map(|it| &**it).collect();
    sim.inline = false;
    let generation = sim.apply(text, &ids);
    sim.run(15 * S);
    (0..NODES).for_each(|node| start(sim, node));
    sim.run(45 * S);
    for node in &sim.nodes {
        assert_eq!(node.generation(), generation, "{}", node.name);
        assert_eq!(node.ready, Some(None), "{}", node.name);
        let mut vms = node.in_force.iter().flat_map(|it| it.vms.values());
        assert!(
            vms.all(|it| !it.out),
            "an override outlived its configuration"
        );
    }
    assert!(sim.all_owned(), "a replica has no owner");
}

/// Guards against double ownership, lost and reverted changes under any failures.
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
        sim.run(8 * S);
        for op in ops {
            act(&mut sim, &mut lines, op);
        }
        lines[LINES / 2] = line(u32::MAX);
        heal(&mut sim, &lines.concat());
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
