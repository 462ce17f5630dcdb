//! One session of callers and faults, and its verdict.

pub mod fragments;
pub mod random;

use proptest::prelude::TestCaseError;

use crate::common;
use crate::common::MS;
use crate::common::SECOND;
use crate::oracle;
use crate::oracle::Oracle;
use wigeonhall_measure::Session;
use wigeonhall_measure::Step;
use wigeonhall_query::CoverageDemand;
use wigeonhall_types::KeyRange;
use wigeonhall_types::NodeKey;

pub const NODES: u32 = 4;

pub const REPLICAS: u32 = 6;

/// Time in which calls and faults begin.
pub const SPAN_US: u64 = 8 * SECOND;

/// Time after the last one in which everything ends: a pause, a lease and a deadline.
const REST_US: u64 = 10 * SECOND;

/// What callers do.
#[derive(Clone, Copy, Debug)]
pub enum Call {
    Read {
        count: u8,
        deadline_us: u64,
        node: NodeKey,
        partial: bool,
        range: KeyRange,
    },
    /// A load balancer sends a copy of a first attempt to another node.
    Resend {
        deadline_us: u64,
        node: NodeKey,
        request: u32,
    },
    Write {
        deadline_us: u64,
        node: NodeKey,
        request: u32,
    },
}

/// A session: what callers do and what goes wrong, each at its time.
#[derive(Clone, Debug)]
pub struct Case {
    pub calls: Vec<(u64, Call)>,
    pub faults: Vec<(u64, Step)>,
    pub seed: u64,
}

/// Key of a write: one of 16 over the whole key space.
fn key(request: u32) -> u64 {
    u64::from(request % 16) << 28
}

/// Runs a case and returns the session.
pub fn run(case: &Case) -> Session {
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
    let mut reached_us = 0;
    for (at_us, call) in calls {
        // Time does not go back to before a caller's request was on its way.
        let at_us = (SECOND + at_us).max(reached_us);
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
            Call::Resend {
                deadline_us,
                node,
                request,
            } => {
                let write = Step::Write {
                    class: fill_log,
                    deadline_us,
                    first: true,
                    key: key(request),
                    node,
                    request,
                };
                session.at(at_us, write);
                reached_us = at_us + 4 * MS;
                session.run_until(reached_us);
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
                    key: key(request),
                    node,
                    request,
                };
                session.at(at_us, write);
                // The caller's request is on its way for 3 ms.
                reached_us = at_us + 4 * MS;
                session.run_until(reached_us);
            }
        }
    }
    session.run_until(SECOND + SPAN_US + REST_US);
    session
}

pub fn check(case: &Case) -> Result<(), TestCaseError> {
    let session = run(case);
    let deployment = common::site(2, 2, 4).deployment;
    let wrong = Oracle::check(&deployment, &session);
    if wrong.is_empty() {
        return Ok(());
    }
    Err(TestCaseError::fail(wrong.join("\n")))
}
