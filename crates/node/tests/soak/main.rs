//! Randomized soak: real nodes as processes, faults from outside, promises checked from
//! what callers and replicas see.
//!
//! `WIGEONHALL_SOAK_SEEDS=100..150` runs other seeds, `WIGEONHALL_SOAK_MS` another length.

#![allow(
    dead_code,
    reason = "helpers are shared with the tests of the entry tier"
)]

#[path = "../entry/caller.rs"]
mod caller;
#[path = "../entry/deployment.rs"]
mod deployment;
mod faults;
mod oracle;
mod proxy;
mod world;

use std::env;
use std::ops::Range;
use std::time::Duration;

use world::World;

/// Seeds of the run in CI.
const SEEDS: Range<u64> = 1..3;

/// Seeds that failed once, each with its cause.
///
/// 439: a replica got a request without an id while another test process ran. Both used
/// 127.0.0.1, where a node of the other process still called the port of a node that was
/// gone; each process has a loopback address of its own now.
const REGRESSIONS: [u64; 1] = [439];

/// Length of the faults of one seed.
const LENGTH_MS: u64 = 4_000;

fn seeds() -> Vec<u64> {
    let Ok(text) = env::var("WIGEONHALL_SOAK_SEEDS") else {
        return REGRESSIONS.into_iter().chain(SEEDS).collect();
    };
    let (from, to) = text.split_once("..").expect("seeds as FROM..TO");
    (from.parse().unwrap()..to.parse().unwrap()).collect()
}

#[test]
fn promises_hold_under_faults_from_outside() {
    let length_ms = env::var("WIGEONHALL_SOAK_MS").ok();
    let length_ms = length_ms.map_or(LENGTH_MS, |text| text.parse().unwrap());
    let mut failures = Vec::new();
    for seed in seeds() {
        let violations = World::start(seed).run(Duration::from_millis(length_ms));
        if !violations.is_empty() {
            failures.push(format!("seed {seed}: {violations:#?}"));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
