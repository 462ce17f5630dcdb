//! Random sessions of a whole system under faults, against an oracle.
//!
//! Guards the promises of the design page over several nodes: one snapshot, true
//! coverage, cold start, work at what is out or leaves, one answer for each caller, true
//! "not run", writes at most once, slots, connections and leases.
//! `WIGEONHALL_FUZZ_CASES` sets the number of cases.

mod common;
mod oracle;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestError;
use proptest::test_runner::TestRunner;

use common::MS;
use common::SECOND;
use oracle::Oracle;
use wigeonhall_measure::Edit;
use wigeonhall_measure::Fault;
use wigeonhall_measure::Links;
use wigeonhall_measure::Session;
use wigeonhall_measure::Step;
use wigeonhall_measure::StoreMode;
use wigeonhall_query::CoverageDemand;
use wigeonhall_types::DataCentreKey;
use wigeonhall_types::KeyRange;
use wigeonhall_types::NodeKey;
use wigeonhall_types::ReplicaKey;

/// Cases that the test runs by itself.
const CASES: u32 = 300;

const NODES: u32 = 4;

const REPLICAS: u32 = 6;

/// Time in which calls and faults begin.
const SPAN_US: u64 = 8 * SECOND;

/// Time after the last one in which everything ends: a pause, a lease and a deadline.
const REST_US: u64 = 10 * SECOND;

/// Time around a fault in which a burst of calls comes.
const BURST_US: u64 = 60 * MS;

/// What callers do.
#[derive(Clone, Copy, Debug)]
enum Call {
    Read {
        count: u8,
        deadline_us: u64,
        node: NodeKey,
        partial: bool,
        range: KeyRange,
    },
    Write {
        deadline_us: u64,
        node: NodeKey,
        request: u32,
    },
}

/// A session: what callers do and what goes wrong, each at its time.
#[derive(Clone, Debug)]
struct Case {
    calls: Vec<(u64, Call)>,
    faults: Vec<(u64, Step)>,
    seed: u64,
}

fn node() -> impl Strategy<Value = NodeKey> {
    (0..NODES).prop_map(NodeKey)
}

fn replica() -> impl Strategy<Value = ReplicaKey> {
    (0..REPLICAS).prop_map(ReplicaKey)
}

fn range() -> impl Strategy<Value = KeyRange> {
    let end = KeyRange::WHOLE.end;
    let part = (0..end - 1)
        .prop_flat_map(move |start| (start + 1..=end).prop_map(move |end| KeyRange { start, end }));
    prop_oneof![2 => Just(KeyRange::WHOLE), 1 => part]
}

fn call() -> impl Strategy<Value = Call> {
    let deadline_us = || prop_oneof![10 * MS..60 * MS, 60 * MS..900 * MS];
    let count = prop_oneof![3 => 1..3_u8, 1 => 3..16_u8];
    prop_oneof![
        3 => (count, deadline_us(), node(), any::<bool>(), range()).prop_map(
            |(count, deadline_us, node, partial, range)| Call::Read {
                count,
                deadline_us,
                node,
                partial,
                range,
            }
        ),
        2 => (deadline_us(), node(), 0..12_u32).prop_map(|(deadline_us, node, request)| {
            Call::Write {
                deadline_us,
                node,
                request,
            }
        }),
    ]
}

fn edit() -> impl Strategy<Value = Edit> {
    let out = || prop::bool::weighted(0.6);
    prop_oneof![
        ((0..2_u32), out()).prop_map(|(key, out)| Edit::DataCentre(DataCentreKey(key), out)),
        (replica(), out()).prop_map(|(key, out)| Edit::Replica(key, out)),
    ]
}

fn fault() -> impl Strategy<Value = Step> {
    let slow = (replica(), 2.0..40.0_f64);
    let links = (0..30_u8, 0..30_u8, 0..30_u8, 0..4 * SECOND);
    let store = prop_oneof![
        Just(StoreMode::Up),
        Just(StoreMode::Down),
        (0..600 * MS).prop_map(StoreMode::Slow),
    ];
    prop_oneof![
        2 => slow.prop_map(|(key, factor)| Step::Fault(Fault::Slow(key, factor))),
        1 => replica().prop_map(|key| Step::Fault(Fault::Lost(key))),
        1 => replica().prop_map(|key| Step::Fault(Fault::Restart(key))),
        3 => replica().prop_map(Step::Reset),
        2 => Just(Step::Fault(Fault::VersionRoll)),
        2 => store.prop_map(Step::Store),
        2 => Just(Step::LoseStoreReply),
        2 => replica().prop_map(Step::LoseTargetReply),
        2 => (node(), 0..5 * SECOND).prop_map(|(key, us)| Step::Lapse(key, us)),
        3 => (node(), 0..5 * SECOND).prop_map(|(key, us)| Step::Pause(key, us)),
        2 => edit().prop_map(Step::Deploy),
        1 => (edit(), edit()).prop_map(|(one, other)| Step::Conflict(one, other)),
        2 => replica().prop_map(Step::Drain),
        3 => (any::<bool>(), replica(), node()).prop_map(|(handed_over, replica, to)| {
            Step::Move {
                handed_over,
                replica,
                to,
            }
        }),
        1 => node().prop_map(Step::Stop),
        3 => links.prop_map(|(doubled, late, lost, us)| {
            Step::Links(
                Links {
                    doubled,
                    late,
                    lost,
                },
                us,
            )
        }),
    ]
}

/// Calls around the time of a fault.
fn burst() -> impl Strategy<Value = Vec<(u64, Call)>> {
    prop::collection::vec((0..BURST_US, call()), 0..8)
}

fn case() -> impl Strategy<Value = Case> {
    let at_us = || 0..SPAN_US;
    let calls = prop::collection::vec((at_us(), call()), 10..60);
    // Faults alone and in pairs, and now and then more of them.
    let count = prop_oneof![2 => 1..2_usize, 4 => 2..3_usize, 4 => 3..9_usize];
    let faults = count.prop_flat_map(move |count| {
        prop::collection::vec((0..SPAN_US, fault(), burst()), 0..=count)
    });
    // Versions that follow each other so fast that reads lose their pin.
    let gaps = prop::collection::vec(200 * MS..1_500 * MS, 2..6);
    let rolls = prop::option::weighted(0.3, (0..SPAN_US / 2, gaps));
    (calls, faults, rolls, any::<u64>()).prop_map(|(mut calls, faults, rolls, seed)| {
        for (at_us, _, burst) in &faults {
            let near_us = at_us.saturating_sub(BURST_US / 2);
            let burst = burst.iter().map(|(after_us, it)| (near_us + after_us, *it));
            calls.extend(burst);
        }
        let faults = faults.into_iter().map(|(at_us, step, _)| (at_us, step));
        let mut faults: Vec<(u64, Step)> = faults.collect();
        let (mut at_us, gaps) = rolls.unwrap_or_default();
        for gap_us in gaps {
            at_us += gap_us;
            faults.push((at_us, Step::Fault(Fault::VersionRoll)));
        }
        Case {
            calls,
            faults,
            seed,
        }
    })
}

/// Runs a case and returns the session.
fn run(case: &Case) -> Session {
    let site = common::site(2, 2, 4);
    let mut session = Session::new(site, case.seed);
    for (at_us, step) in &case.faults {
        session.at(SECOND + at_us, *step);
    }
    let mut calls = case.calls.clone();
    calls.sort_by_key(|it| it.0);
    let ledger = session.catalog().find_class("ledger").expect("a class");
    let fill_log = session.catalog().find_class("fill-log").expect("a class");
    let mut issued = std::collections::BTreeSet::new();
    for (at_us, call) in calls {
        let at_us = SECOND + at_us;
        session.run_until(at_us);
        match call {
            Call::Read {
                count,
                deadline_us,
                node,
                partial,
                range,
            } => {
                let demand = if partial {
                    CoverageDemand::Partial
                } else {
                    CoverageDemand::Full
                };
                for _ in 0..count {
                    let read = Step::Read {
                        class: ledger,
                        deadline_us,
                        demand,
                        node,
                        range,
                    };
                    session.at(at_us, read);
                }
            }
            Call::Write {
                deadline_us,
                node,
                request,
            } => {
                // A caller repeats a request only after the attempt before it ended.
                if !oracle::write_is_settled(&session, request) {
                    continue;
                }
                let write = Step::Write {
                    class: fill_log,
                    deadline_us,
                    first: issued.insert(request),
                    key: u64::from(request) << 28,
                    node,
                    request,
                };
                session.at(at_us, write);
                // The caller's request is on its way for 3 ms.
                session.run_until(at_us + 4 * MS);
            }
        }
    }
    session.run_until(SECOND + SPAN_US + REST_US);
    session
}

fn check(case: &Case) -> Result<(), TestCaseError> {
    let session = run(case);
    let deployment = common::site(2, 2, 4).deployment;
    let wrong = Oracle::check(&deployment, &session);
    if wrong.is_empty() {
        return Ok(());
    }
    Err(TestCaseError::fail(wrong.join("\n")))
}

/// Cases and seed may be set for a longer run.
fn number<T: std::str::FromStr>(name: &str, default: T) -> T {
    let text = std::env::var(name).ok();
    text.and_then(|it| it.parse().ok()).unwrap_or(default)
}

#[test]
fn promises_hold_under_faults() {
    let config = Config {
        cases: number("WIGEONHALL_FUZZ_CASES", CASES),
        failure_persistence: None,
        max_shrink_iters: 1_500,
        rng_seed: RngSeed::Fixed(number("WIGEONHALL_FUZZ_SEED", 1)),
        ..Config::default()
    };
    let result = TestRunner::new(config).run(&case(), |case| check(&case));
    if let Err(TestError::Fail(why, case)) = result {
        panic!("{why}\n{case:?}\n{}", run(&case).transcript(SECOND));
    }
    result.expect("every case ran");
}

/// A write and its repeat while messages between nodes are late and doubled.
fn repeated_write(seed: u64) -> Case {
    let write = |at_us, node| {
        let call = Call::Write {
            deadline_us: 28 * MS,
            node: NodeKey(node),
            request: 0,
        };
        (at_us, call)
    };
    let links = Links {
        doubled: 50,
        late: 50,
        lost: 0,
    };
    Case {
        calls: vec![write(0, 3), write(400 * MS, 0)],
        faults: vec![(0, Step::Links(links, SECOND))],
        seed,
    }
}

/// Guards against a write that runs again when a copy of its message reaches the owner
/// after the first one has ended, but before the deadline.
#[test]
fn copy_after_the_end() {
    check(&repeated_write(4)).expect("the write runs once");
}

/// Guards against a copy that reaches the owner after the deadline and is refused as "not
/// run": it overtakes the late reply, and the entry node gives the claim back.
#[test]
fn copy_after_the_deadline() {
    check(&repeated_write(22)).expect("the write runs once");
}
