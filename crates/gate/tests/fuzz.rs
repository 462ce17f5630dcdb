//! Runs random events on two gates that own the same replicas in turn, with simulated targets.
//!
//! `WIGEONHALL_FUZZ_CASES` sets the number of cases.

mod common;
mod world;

use std::cell::RefCell;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;

use wigeonhall_gate::GateCounters;
use world::World;
use world::op;

/// Default number of cases, which take about 2 s in a debug build.
const CASES: u32 = 300;

/// Guards against sequences of events that exceed a limit, start forbidden requests, lose or
/// repeat an answer, or leave a sub-request waiting while a slot is free.
#[test]
fn no_interleaving_breaks_a_limit() {
    let cases = std::env::var("WIGEONHALL_FUZZ_CASES");
    let cases = cases.map_or(CASES, |cases| cases.parse().unwrap());
    let config = Config {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..Config::default()
    };
    let total = RefCell::new([0; 16]);
    let run = |(warm, ops)| {
        let mut world = World::new(warm);
        for op in ops {
            world.apply(op);
        }
        world.finish_all();
        for gate in &world.gates {
            let reached = reached(gate.counters());
            let mut total = total.borrow_mut();
            *total = std::array::from_fn(|index| total[index] + reached[index]);
        }
        Ok(())
    };
    let ops = prop::collection::vec(op(), 1..300);
    TestRunner::new(config)
        .run(&(any::<bool>(), ops), run)
        .unwrap();
    let total = total.into_inner();
    println!("{total:?}");
    let reached = total.iter().all(|it| *it > 0);
    assert!(reached || cases < CASES, "not reached: {total:?}");
}

/// Counts of decisions, each of which the cases must reach for the test to be meaningful.
const fn reached(counters: &GateCounters) -> [u64; 16] {
    [
        counters.submitted,
        counters.started,
        counters.answered,
        counters.cancelled_at_target,
        counters.became_leaving,
        counters.became_unreachable,
        counters.became_warm,
        counters.cold_connection_lost,
        counters.cold_instance,
        counters.cold_returned,
        counters.ends_asked,
        counters.ends_unproved,
        counters.granted_handed_over,
        counters.refused_no_lease,
        counters.refused_overloaded,
        counters.version_gone_unasked,
    ]
}
