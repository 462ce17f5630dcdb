//! Prints how fast and at what cost a new configuration spreads, in virtual time.
//!
//! Arguments: the numbers of nodes, 15, 150 and 600 by default, and shapes by name,
//! all by default. One line of the text changes each time. Processor time is that of
//! the decision logic alone.

#[path = "../tests/common/mod.rs"]
mod common;

use common::MS;
use common::S;
use common::World;
use wigeonhall_fleet::PushShape;

/// Lengths of the configuration text in bytes: about that of the current users, and that
/// of the design size.
const TEXTS: [usize; 2] = [8_000, 1_200_000];
/// Length of a line, which is an entry, in bytes.
const LINE: usize = 100;
/// Changes measured in each case.
const CHANGES: u64 = 10;
const DATA_CENTRES: [(&str, &str); 12] = [
    ("south", "dc-a"),
    ("south", "dc-b"),
    ("south", "dc-c"),
    ("north", "dc-d"),
    ("north", "dc-e"),
    ("north", "dc-f"),
    ("east", "dc-g"),
    ("east", "dc-h"),
    ("east", "dc-i"),
    ("west", "dc-j"),
    ("west", "dc-k"),
    ("west", "dc-l"),
];

fn line(at: usize, value: u64) -> String {
    format!("  entry-{at:08}: {value:0width$}\n", width = LINE - 19)
}

fn lines(text: usize) -> Vec<String> {
    (0..text / LINE).map(|at| line(at, 0)).collect()
}

fn fleet(count: usize, shape: PushShape, text: usize) -> World {
    let centres = match count {
        ..100 => 3,
        100..400 => 6,
        _ => 12,
    };
    let mut world = World::new(&DATA_CENTRES[..centres], count, 20, 1);
    world.shape = shape;
    world.inline = true;
    world.apply(&lines(text).concat(), &[]);
    (0..count).for_each(|it| world.start(it));
    world.run(30 * S);
    world
}

/// Cost of every node and second: messages, bytes and processor microseconds.
fn rest(world: &mut World) -> (f64, f64, f64) {
    let before = (world.messages, world.bytes, world.busy);
    world.run(10 * S);
    let share = 10.0 * world.nodes.len() as f64;
    (
        (world.messages - before.0) as f64 / share,
        (world.bytes - before.1) as f64 / share,
        world.busy.saturating_sub(before.2).as_secs_f64() * 1e6 / share,
    )
}

/// Slowest and mean time in ms until all nodes have a change, and per node its messages
/// and bytes beyond those at rest and the bytes of messages about the configuration.
fn change(world: &mut World, lines: &mut [String], down: bool) -> [f64; 5] {
    let count = world.nodes.len() as f64;
    let at_rest = rest(world);
    let (mut slowest, mut sum, mut messages, mut bytes) = (0.0_f64, 0.0, 0.0, 0.0);
    let before_all = world.config_bytes;
    for _ in 0..CHANGES {
        let before = (world.messages, world.bytes, world.now);
        let at = world.rng.usize(..lines.len());
        lines[at] = line(at, world.now);
        let generation = world.apply(&lines.concat(), &[]);
        let mut all_ms = None;
        while world.now < before.2 + 6 * S {
            world.run(2 * MS);
            if world.now == before.2 + 10 * MS {
                world.set_store_down(down);
            }
            let behind = |it: &common::Node| it.generation() != generation;
            if all_ms.is_none() && !world.nodes.iter().any(behind) {
                all_ms = Some((world.now - before.2) as f64 / 1000.0);
            }
        }
        world.set_store_down(false);
        let all_ms = all_ms.unwrap_or(f64::INFINITY);
        slowest = slowest.max(all_ms);
        sum += all_ms;
        messages += (world.messages - before.0) as f64 / count - at_rest.0 * 6.0;
        bytes += (world.bytes - before.1) as f64 / count - at_rest.1 * 6.0;
        world.run(5 * S);
    }
    let changes = CHANGES as f64;
    let config_bytes = (world.config_bytes - before_all) as f64 / count;
    [
        slowest,
        sum / changes,
        messages / changes,
        bytes / changes,
        config_bytes / changes,
    ]
}

/// Reads, watches and writes of all nodes since the start.
fn store_calls(world: &World) -> [u64; 3] {
    let mut calls = [0; 3];
    for node in world.running() {
        let counters = node.fleet.as_ref().unwrap().counters();
        calls[0] += counters.store_reads;
        calls[1] += counters.store_watches;
        calls[2] += counters.store_writes;
    }
    calls
}

fn main() {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    let mut counts: Vec<usize> = arguments.iter().flat_map(|it| it.parse()).collect();
    let mut shapes = vec![PushShape::FullMesh, PushShape::Neighbours, PushShape::Tree];
    if arguments.len() > counts.len() {
        shapes.retain(|it| arguments.contains(&format!("{it:?}")));
    }
    if counts.is_empty() {
        counts = vec![15, 150, 600];
    }
    println!(
        "| nodes | shape | text bytes | loss | store | slowest ms | mean ms | msgs/node/change | bytes/node/change | of these for the configuration | msgs/node/s at rest | bytes/node/s at rest | cpu us/node/s at rest |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for count in counts {
        for (shape, text) in shapes.iter().flat_map(|&it| TEXTS.map(|text| (it, text))) {
            let mut lines = lines(text);
            let mut world = fleet(count, shape, text);
            let cost = rest(&mut world);
            for (loss, down) in [(0, false), (10, false), (0, true), (10, true)] {
                world.loss = loss;
                let [slowest, mean, messages, bytes, config] = change(&mut world, &mut lines, down);
                let store = if down { "down" } else { "up" };
                println!(
                    "| {count} | {shape:?} | {text} | {loss}% | {store} | {slowest:.0} | {mean:.0} | {messages:.1} | {bytes:.0} | {config:.0} | {:.1} | {:.0} | {:.0} |",
                    cost.0, cost.1, cost.2
                );
            }
        }
        let mut world = fleet(count, PushShape::Neighbours, TEXTS[1]);
        let start = store_calls(&world);
        world.run(30 * S);
        let rest = store_calls(&world);
        println!(
            "{count} nodes: store calls in the first 30 s: {} reads, {} watches, {} writes; in the next 30 s: {} reads, {} watches, {} writes",
            start[0],
            start[1],
            start[2],
            rest[0] - start[0],
            rest[1] - start[1],
            rest[2] - start[2]
        );
    }
}
