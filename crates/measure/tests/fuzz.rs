//! Checks random sessions under faults against an oracle.
//!
//! The oracle checks the guarantees that involve several nodes: all rows of an answer have one
//! index version, the coverage matches the rows, cold start limits hold, replicas that are out
//! of service or draining get no requests, each caller gets one answer, "not run" verdicts are
//! true, writes run at most once, and slots, connections and leases are respected.
//! `WIGEONHALL_FUZZ_CASES` sets the number of cases, `WIGEONHALL_FUZZ_SEED` the seed and
//! `WIGEONHALL_FUZZ_SHRINK` the maximum number of shrinking steps for a failing case.

mod case;
mod common;
mod oracle;

use std::cell::Cell;

use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestError;
use proptest::test_runner::TestRunner;

use case::Call;
use case::Case;
use case::check;
use case::random::case;
use case::run;
use common::MS;
use common::SECOND;
use wigeonhall_measure::MessageFaults;
use wigeonhall_measure::Step;
use wigeonhall_types::NodeKey;

/// Default number of cases.
const CASES: u32 = 300;

/// Returns the number in an environment variable, or `default`.
fn env_number<T: std::str::FromStr>(name: &str, default: T) -> T {
    let text = std::env::var(name).ok();
    text.and_then(|it| it.parse().ok()).unwrap_or(default)
}

#[test]
fn guarantees_hold_under_faults() {
    let config = Config {
        cases: env_number("WIGEONHALL_FUZZ_CASES", CASES),
        failure_persistence: None,
        max_shrink_iters: env_number("WIGEONHALL_FUZZ_SHRINK", 1_500),
        rng_seed: RngSeed::Fixed(env_number("WIGEONHALL_FUZZ_SEED", 1)),
        ..Config::default()
    };
    let (case_count, first_failed) = (Cell::new(0), Cell::new(None));
    let result = TestRunner::new(config).run(&case(), |case| {
        case_count.set(case_count.get() + 1);
        check(&case)
            .inspect_err(|_| first_failed.set(first_failed.get().or(Some(case_count.get()))))
    });
    if let Err(TestError::Fail(reason, case)) = result {
        // The calls and faults of a case start after one second.
        let transcript = run(&case).transcript(SECOND);
        panic!(
            "case {:?}: {reason}\n{case:?}\n{transcript}",
            first_failed.get()
        );
    }
    result.expect("every case ran");
}

/// Returns a case of a write and its repeat while messages between nodes are delayed and
/// duplicated.
fn repeated_write(seed: u64) -> Case {
    let write = |at_us, node| {
        let call = Call::Write {
            deadline_us: 28 * MS,
            node: NodeKey(node),
            request: 0,
        };
        (at_us, call)
    };
    let message_faults = MessageFaults {
        duplicated: 50,
        late: 50,
        lost: 0,
    };
    Case {
        calls: vec![write(0, 3), write(400 * MS, 0)],
        faults: vec![(0, Step::MessageFaults(message_faults, SECOND))],
        seed,
    }
}

/// Guards against a write that runs again when a duplicate of its message reaches the owner
/// after the first execution has ended, but before the deadline. Seed 4 draws such a delay.
#[test]
fn duplicate_after_execution_runs_once() {
    check(&repeated_write(4)).expect("the write runs once");
}

/// Guards against a duplicate that reaches the owner after the deadline and is refused as
/// "not run": this refusal overtakes the delayed reply, and the entry node releases the claim,
/// which lets the repeat run. Seed 22 draws such delays.
#[test]
fn duplicate_after_deadline_runs_once() {
    check(&repeated_write(22)).expect("the write runs once");
}
