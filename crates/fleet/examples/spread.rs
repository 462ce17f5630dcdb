//! Prints the time and the cost of disseminating a new configuration, in virtual time.
//!
//! Arguments: numbers of nodes (15, 150 and 600 by default) and names of push topologies
//! (all by default). Each change edits one line of the text. Processor time covers the
//! decision logic alone.

#[path = "../tests/common/mod.rs"]
mod common;

use common::MS;
use common::SECOND;
use common::Simulation;
use wigeonhall_fleet::PushTopology;

/// Lengths of the configuration text in bytes: about that of current deployments, and that of
/// the largest one designed for.
const TEXT_BYTES: [usize; 2] = [8_000, 1_200_000];
/// Length of a line in bytes; each line is an entry.
const LINE_BYTES: usize = 100;
/// Number of changes measured in each case.
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
    format!(
        "  entry-{at:08}: {value:0width$}\n",
        width = LINE_BYTES - 19
    )
}

fn lines(text_bytes: usize) -> Vec<String> {
    (0..text_bytes / LINE_BYTES).map(|at| line(at, 0)).collect()
}

fn start_fleet(count: usize, topology: PushTopology, text_bytes: usize) -> Simulation {
    let data_centre_count = match count {
        ..100 => 3,
        100..400 => 6,
        _ => 12,
    };
    let mut sim = Simulation::new(&DATA_CENTRES[..data_centre_count], count, 20, 1);
    sim.topology = topology;
    sim.parts_inline = true;
    sim.apply(&lines(text_bytes).concat(), &[]);
    (0..count).for_each(|it| sim.start(it));
    sim.run(30 * SECOND);
    sim
}

/// Returns the idle cost per node and second: messages, bytes and processor microseconds.
fn idle_cost(sim: &mut Simulation) -> (f64, f64, f64) {
    let before = (sim.messages, sim.bytes, sim.cpu_time);
    sim.run(10 * SECOND);
    let node_seconds = 10.0 * sim.nodes.len() as f64;
    (
        (sim.messages - before.0) as f64 / node_seconds,
        (sim.bytes - before.1) as f64 / node_seconds,
        sim.cpu_time.saturating_sub(before.2).as_secs_f64() * 1e6 / node_seconds,
    )
}

/// Returns the slowest and the mean time in ms until all nodes have a change in force, the
/// messages and bytes per node beyond the idle cost, and the bytes of messages about the
/// configuration.
fn measure_changes(sim: &mut Simulation, lines: &mut [String], store_down: bool) -> [f64; 5] {
    let count = sim.nodes.len() as f64;
    let idle = idle_cost(sim);
    let (mut slowest, mut sum, mut messages, mut bytes) = (0.0_f64, 0.0, 0.0, 0.0);
    let before_all = sim.config_bytes;
    for _ in 0..CHANGES {
        let before = (sim.messages, sim.bytes, sim.now);
        let at = sim.rng.usize(..lines.len());
        lines[at] = line(at, sim.now);
        let generation = sim.apply(&lines.concat(), &[]);
        let mut all_ms = None;
        while sim.now < before.2 + 6 * SECOND {
            sim.run(2 * MS);
            if sim.now == before.2 + 10 * MS {
                sim.set_store_down(store_down);
            }
            let behind = |it: &common::Node| it.generation() != generation;
            if all_ms.is_none() && !sim.nodes.iter().any(behind) {
                all_ms = Some((sim.now - before.2) as f64 / 1000.0);
            }
        }
        sim.set_store_down(false);
        let all_ms = all_ms.unwrap_or(f64::INFINITY);
        slowest = slowest.max(all_ms);
        sum += all_ms;
        messages += (sim.messages - before.0) as f64 / count - idle.0 * 6.0;
        bytes += (sim.bytes - before.1) as f64 / count - idle.1 * 6.0;
        sim.run(5 * SECOND);
    }
    let changes = CHANGES as f64;
    let config_bytes = (sim.config_bytes - before_all) as f64 / count;
    [
        slowest,
        sum / changes,
        messages / changes,
        bytes / changes,
        config_bytes / changes,
    ]
}

/// Returns the store reads, watches and writes of all nodes since the start.
fn store_calls(sim: &Simulation) -> [u64; 3] {
    let mut calls = [0; 3];
    for node in sim.running() {
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
    let mut topologies = vec![
        PushTopology::FullMesh,
        PushTopology::Neighbours,
        PushTopology::Tree,
    ];
    if arguments.len() > counts.len() {
        topologies.retain(|it| arguments.contains(&format!("{it:?}")));
    }
    if counts.is_empty() {
        counts = vec![15, 150, 600];
    }
    println!(
        "| nodes | topology | text bytes | loss | store | slowest ms | mean ms | msgs/node/change | bytes/node/change | of these for the configuration | msgs/node/s at rest | bytes/node/s at rest | cpu us/node/s at rest |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for count in counts {
        for (topology, text_bytes) in topologies
            .iter()
            .flat_map(|&it| TEXT_BYTES.map(|text_bytes| (it, text_bytes)))
        {
            let mut lines = lines(text_bytes);
            let mut sim = start_fleet(count, topology, text_bytes);
            let cost = idle_cost(&mut sim);
            for (loss_percent, store_down) in [(0, false), (10, false), (0, true), (10, true)] {
                sim.loss_percent = loss_percent;
                let [slowest, mean, messages, bytes, config] =
                    measure_changes(&mut sim, &mut lines, store_down);
                let store = if store_down { "down" } else { "up" };
                println!(
                    "| {count} | {topology:?} | {text_bytes} | {loss_percent}% | {store} | {slowest:.0} | {mean:.0} | {messages:.1} | {bytes:.0} | {config:.0} | {:.1} | {:.0} | {:.0} |",
                    cost.0, cost.1, cost.2
                );
            }
        }
        let mut sim = start_fleet(count, PushTopology::Neighbours, TEXT_BYTES[1]);
        let start = store_calls(&sim);
        sim.run(30 * SECOND);
        let later = store_calls(&sim);
        println!(
            "{count} nodes: store calls in the first 30 s: {} reads, {} watches, {} writes; in the next 30 s: {} reads, {} watches, {} writes",
            start[0],
            start[1],
            start[2],
            later[0] - start[0],
            later[1] - start[1],
            later[2] - start[2]
        );
    }
}
