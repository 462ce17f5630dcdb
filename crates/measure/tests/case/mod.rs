//! Sessions of calls and faults, and their check by the oracle.

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

/// Time within which calls and faults start.
pub const SPAN_US: u64 = 8 * SECOND;

/// Time after `SPAN_US` within which every pause, lease and deadline ends.
const SETTLE_US: u64 = 10 * SECOND;

/// Requests that a caller sends at one time. `deadline_us` is the time until their deadline.
#[derive(Clone, Copy, Debug)]
pub enum Call {
    Read {
        count: u8,
        deadline_us: u64,
        node: NodeKey,
        partial: bool,
        range: KeyRange,
    },
    /// A write marked as a first attempt although another attempt may have arrived, as
    /// when a load balancer resends it to another node.
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

/// Input of a session: calls and faults, each with its time.
#[derive(Clone, Debug)]
pub struct Case {
    pub calls: Vec<(u64, Call)>,
    pub faults: Vec<(u64, Step)>,
    pub seed: u64,
}

/// Returns the key of a write: one of 16, spread evenly over the key space.
fn key(request: u32) -> u64 {
    u64::from(request % 16) << 28
}

/// Runs a case and returns the session.
pub fn run(case: &Case) -> Session {
    // Two data centres with two nodes each, and four slots at each target.
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
        // The session has already run until `reached_us`, so the call cannot start earlier.
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
                // The request takes 3 ms to reach its node.
                reached_us = at_us + 4 * MS;
                session.run_until(reached_us);
            }
            Call::Write {
                deadline_us,
                node,
                request,
            } => {
                // A caller repeats a request only after its previous attempt has ended.
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
                // The request takes 3 ms to reach its node.
                reached_us = at_us + 4 * MS;
                session.run_until(reached_us);
            }
        }
    }
    session.run_until(SECOND + SPAN_US + SETTLE_US);
    session
}

pub fn check(case: &Case) -> Result<(), TestCaseError> {
    let session = run(case);
    let deployment = common::site(2, 2, 4).deployment;
    let violations = Oracle::check(&deployment, &session);
    if violations.is_empty() {
        return Ok(());
    }
    Err(TestCaseError::fail(violations.join("\n")))
}
