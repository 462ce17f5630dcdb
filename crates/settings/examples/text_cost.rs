//! Prints the processor time and memory that changes of a deployment text take.
//!
//! Arguments: the number of replicas, and `parts` or `whole` for how the text is read. The
//! memory is that of the whole process, with text, reader, catalog and deployment, so each
//! run reads in only one of the two ways.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use wigeonhall_settings::IncrementalReader;
use wigeonhall_settings::resolve;
use wigeonhall_types::NameCatalog;

const CHANGES: u64 = 100;
const DATA_CENTRES: usize = 23;
const MIN_PART_BYTES: usize = 3_500;
const REPLICAS_PER_SERVICE: usize = 44;
const REPLICAS_PER_VM: usize = 4;

fn main() {
    let mut args = std::env::args().skip(1);
    let replicas = args.next().and_then(|it| it.parse().ok()).unwrap_or(1_000);
    let in_parts = args.next().is_none_or(|it| it == "parts");
    let text = text(replicas);
    let mut parts = if in_parts {
        split(&text)
    } else {
        // Two parts that meet within a line are parsed as a whole text.
        let middle = text.len() / 2;
        let at = middle + text[middle..].find(": dc").unwrap_or_default();
        vec![Arc::from(&text[..at]), Arc::from(&text[at..])]
    };
    println!(
        "{replicas} replicas, {} bytes in {} parts",
        text.len(),
        parts.len()
    );
    drop(text);
    let mut reader = IncrementalReader::new(usize::MAX);
    let mut catalog = NameCatalog::default();
    let start = processor_us();
    let parsed = reader.parse(&parts).expect("the text is valid");
    let mut deployment_in_force = resolve(&parsed, 0, &mut catalog);
    drop(parsed);
    println!("first text: {} µs, {}", processor_us() - start, memory());
    let start = processor_us();
    let mut shortest = [Duration::MAX; 3];
    for generation in 1..=CHANGES {
        change(&mut parts, generation as usize);
        let start = Instant::now();
        let parsed = reader.parse(&parts).expect("the text is valid");
        let parse_elapsed = start.elapsed();
        let deployment = resolve(&parsed, generation, &mut catalog);
        let resolve_elapsed = start.elapsed();
        drop(parsed);
        deployment_in_force = deployment;
        shortest[0] = shortest[0].min(parse_elapsed);
        shortest[1] = shortest[1].min(resolve_elapsed.saturating_sub(parse_elapsed));
        shortest[2] = shortest[2].min(start.elapsed());
    }
    println!(
        "{CHANGES} changes: {} µs a change, {}",
        (processor_us() - start) / CHANGES,
        memory()
    );
    println!("shortest times to parse, to resolve, and in total with drops: {shortest:?}");
    println!(
        "{:?}; {} replicas",
        reader.counts(),
        deployment_in_force.replicas.len()
    );
}

/// Changes the address of a replica or of a VM.
fn change(parts: &mut [Arc<str>], number: usize) {
    // Spreads the changes over the parts.
    let index = number * 37 % parts.len();
    let text = &parts[index];
    let port = if text.contains(":7102") {
        ":7102"
    } else {
        ":4101"
    };
    parts[index] = Arc::from(text.replacen(port, &format!(":{}", 20_000 + number), 1));
}

/// Splits a text before entries into parts of a little more than [`MIN_PART_BYTES`].
fn split(text: &str) -> Vec<Arc<str>> {
    let mut parts = vec![String::new()];
    for line in text.split_inclusive('\n') {
        let indent = line.bytes().take_while(|it| *it == b' ').count();
        if matches!(indent, 0 | 2) && parts.last().is_some_and(|it| it.len() > MIN_PART_BYTES) {
            parts.push(String::new());
        }
        parts.last_mut().expect("there is a part").push_str(line);
    }
    parts.into_iter().map(Arc::from).collect()
}

/// Returns the processor time that this process has used.
fn processor_us() -> u64 {
    let times = std::fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    let ns = times.split(' ').next().and_then(|it| it.parse().ok());
    ns.unwrap_or(0_u64) / 1_000
}

fn memory() -> String {
    let (now, peak) = (memory_kb("VmRSS"), memory_kb("VmHWM"));
    format!("{now} KB, peak {peak} KB")
}

/// Returns a value in KB from the status of this process.
fn memory_kb(key: &str) -> i64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|it| it.starts_with(key));
    let value = line.and_then(|it| it.split_whitespace().nth(1));
    value.and_then(|it| it.parse().ok()).unwrap_or_default()
}

fn text(replicas: usize) -> String {
    let services = replicas.div_ceil(REPLICAS_PER_SERVICE);
    let mut text = String::from(
        "region: design\n\ndefaults:\n  slots: 2\n  connections: 55\n  connect_us: 6000\n  \
         cold: { slots: 1, requests_per_s: 10 }\n\ndata_centres:\n",
    );
    for number in 0..DATA_CENTRES {
        writeln!(text, "  dc-{number:02}:").expect("writing to a string cannot fail");
    }
    write!(
        text,
        "\nservices:\n  search:\n    kind: read\n    depends_on: [shard-001..{services:03}]\n    \
         deadline_ms: 2000\n    level: {{ latency_ms: 360, objective: 0.999 }}\n"
    )
    .expect("writing to a string cannot fail");
    for number in 0..replicas {
        let service = number / REPLICAS_PER_SERVICE + 1;
        if number % REPLICAS_PER_SERVICE == 0 {
            writeln!(text, "  shard-{service:03}:\n    replicas:")
                .expect("writing to a string cannot fail");
        }
        let data_centre = number % DATA_CENTRES;
        let (high, low) = (number / 250, number % 250 + 1);
        let replica = number % REPLICAS_PER_SERVICE;
        writeln!(
            text,
            "      shard-{service:03}-{replica:02}: dc-{data_centre:02} 10.1.{high}.{low}:7102"
        )
        .expect("writing to a string cannot fail");
    }
    text.push_str("\nvms:\n");
    for number in 0..(replicas / REPLICAS_PER_VM).max(DATA_CENTRES) {
        let data_centre = number % DATA_CENTRES;
        let (high, low) = (number / 250, number % 250 + 1);
        writeln!(
            text,
            "  vm-{number:04}: dc-{data_centre:02} 10.2.{high}.{low}:4101 10.2.{high}.{low}:8081"
        )
        .expect("writing to a string cannot fail");
    }
    text
}
