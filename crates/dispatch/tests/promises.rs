//! Stateful fuzzing of an exchange, the state of one caller's request.
//!
//! Random replies, missing replies and timers occur in any order. The checks use only the
//! sub-requests, the replies and the outcome: a leg must not run too often, a refused request
//! must not have run, and the outcome must match the replies.

mod common;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use wigeonhall_dispatch::Arrival;
use wigeonhall_dispatch::Exchange;
use wigeonhall_dispatch::LegState;
use wigeonhall_dispatch::NotRunCause;
use wigeonhall_dispatch::Outcome;
use wigeonhall_dispatch::Pool;
use wigeonhall_dispatch::Reply;
use wigeonhall_dispatch::RouteKind;
use wigeonhall_dispatch::SubRequest;
use wigeonhall_dispatch::UnknownCause;

use common::DEADLINE_US;
use common::add;
use common::gather;
use common::pool;
use common::route;
use common::route_spec;
use common::service;

/// Number of cases by default; `WIGEONHALL_FUZZ_CASES` overrides it.
const CASES: u32 = 2_000;

const MAX_ATTEMPTS: usize = 2;

#[derive(Clone, Debug)]
enum Step {
    /// Replies to one of the sub-requests in flight.
    ReplyToSubRequest { reply: Reply, which: usize },
    /// Advances the time and calls the timer.
    AdvanceTime { ms: u64 },
}

#[derive(Clone, Debug)]
struct Case {
    gather: bool,
    idempotent: bool,
    min_percent: u8,
    replicas: u16,
    shards: usize,
    steps: Vec<Step>,
}

fn reply() -> impl Strategy<Value = Reply> {
    prop_oneof![
        4 => Just(Reply::Success),
        2 => Just(Reply::NotRun(NotRunCause::Busy)),
        2 => Just(Reply::NotRun(NotRunCause::Unreachable)),
        1 => Just(Reply::NotRun(NotRunCause::OtherInstance)),
        2 => Just(Reply::Unknown(UnknownCause::Reset)),
        1 => Just(Reply::Unknown(UnknownCause::Foreign)),
        1 => Just(Reply::Unknown(UnknownCause::Unproved)),
        1 => Just(Reply::Failed { status: 500 }),
        1 => Just(Reply::Failed { status: 404 }),
        1 => Just(Reply::Failed { status: 429 }),
        1 => Just(Reply::Failed { status: 503 }),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (reply(), any::<usize>()).prop_map(|(reply, which)| Step::ReplyToSubRequest { reply, which }),
        1 => (1_u64..120).prop_map(|ms| Step::AdvanceTime { ms }),
    ]
}

fn case() -> impl Strategy<Value = Case> {
    (
        any::<bool>(),
        any::<bool>(),
        0_u8..=100,
        0_u16..4,
        1_usize..8,
        prop::collection::vec(step(), 0..60),
    )
        .prop_map(
            |(gather, idempotent, min_percent, replicas, shards, steps)| Case {
                gather,
                idempotent: idempotent || gather,
                min_percent,
                replicas,
                shards,
                steps,
            },
        )
}

/// An exchange under test, with the history that the checks use.
struct Simulation {
    exchange: Exchange,
    /// Sub-requests with their replies; `None` while in flight.
    history: Vec<(SubRequest, Option<Reply>)>,
    now_us: u64,
    pool: Pool,
}

impl Simulation {
    fn new(case: &Case) -> Self {
        let mut pool = pool();
        let names: Vec<String> = (0..case.shards).map(|index| format!("s{index}")).collect();
        for (index, name) in names.iter().enumerate() {
            for number in 0..case.replicas {
                add(&mut pool, name, 100 * index as u16 + number);
            }
        }
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let kind = if case.idempotent {
            RouteKind::Idempotent
        } else {
            RouteKind::AtMostOnce
        };
        let target = if case.gather {
            gather(&names, f64::from(case.min_percent) / 100.0)
        } else {
            service("s0")
        };
        let route = route(&mut pool, route_spec(kind, target));
        Self {
            exchange: Exchange::new(Arrival::default(), DEADLINE_US, 30_000, route),
            history: Vec::new(),
            now_us: 0,
            pool,
        }
    }

    fn run(&mut self, case: &Case) -> Outcome {
        let mut sub_requests = Vec::new();
        let mut outcome = self.exchange.start(&mut self.pool, 0, &mut sub_requests);
        self.record_sub_requests(sub_requests);
        for step in &case.steps {
            if let Some(outcome) = outcome {
                return outcome;
            }
            outcome = self.step(step);
        }
        outcome.unwrap_or_else(|| {
            self.now_us = DEADLINE_US;
            self.timer().expect("an answer at the deadline")
        })
    }

    fn step(&mut self, step: &Step) -> Option<Outcome> {
        match step {
            Step::ReplyToSubRequest { reply, which } => self.reply_to_sub_request(*reply, *which),
            Step::AdvanceTime { ms } => {
                self.now_us += ms * 1_000;
                self.timer()
            }
        }
    }

    fn reply_to_sub_request(&mut self, reply: Reply, which: usize) -> Option<Outcome> {
        let in_flight: Vec<usize> = (0..self.history.len())
            .filter(|index| self.history[*index].1.is_none())
            .collect();
        let index = *in_flight.get(which % in_flight.len().max(1))?;
        self.history[index].1 = Some(reply);
        let sub_request = self.history[index].0;
        self.pool
            .request_finished(self.now_us, sub_request.replica, reply, 1.0);
        let mut sub_requests = Vec::new();
        let outcome = self.exchange.reply(
            &mut self.pool,
            self.now_us,
            sub_request,
            reply,
            &mut sub_requests,
        );
        self.record_sub_requests(sub_requests);
        outcome
    }

    fn timer(&mut self) -> Option<Outcome> {
        let mut sub_requests = Vec::new();
        let outcome = self
            .exchange
            .timer(&mut self.pool, self.now_us, &mut sub_requests);
        self.record_sub_requests(sub_requests);
        outcome
    }

    fn record_sub_requests(&mut self, sub_requests: Vec<SubRequest>) {
        self.history.extend(
            sub_requests
                .into_iter()
                .map(|sub_request| (sub_request, None)),
        );
    }

    fn possible_runs(&self, leg: usize) -> usize {
        let may_run = |reply: Option<Reply>| reply.is_none_or(Reply::may_have_run);
        let of_leg = self
            .history
            .iter()
            .filter(|(sub_request, _)| sub_request.leg == leg);
        of_leg.filter(|(_, reply)| may_run(*reply)).count()
    }

    fn succeeded(&self, leg: usize, attempt: usize) -> bool {
        self.history.iter().any(|(sub_request, reply)| {
            sub_request.leg == leg
                && sub_request.attempt == attempt
                && *reply == Some(Reply::Success)
        })
    }
}

fn check(case: &Case, simulation: &Simulation, outcome: Outcome) {
    let legs = simulation.exchange.legs().count();
    let any_run = (0..legs).any(|leg| simulation.possible_runs(leg) > 0);
    for leg in 0..legs {
        assert!(
            simulation.possible_runs(leg) <= MAX_ATTEMPTS,
            "leg {leg} runs too often"
        );
        if !case.idempotent {
            assert!(
                simulation.possible_runs(leg) <= 1,
                "at-most-once request runs twice"
            );
        }
    }
    for (index, (sub_request, _)) in simulation.history.iter().enumerate() {
        let again = simulation.history[..index]
            .iter()
            .any(|(earlier, _)| earlier.replica == sub_request.replica);
        assert!(!again, "one replica gets the request twice");
    }
    match outcome {
        Outcome::Refuse { .. } => assert!(!any_run, "a request that may have run is refused"),
        Outcome::Gather { missing } => {
            let done = simulation.exchange.legs().enumerate().filter(|(leg, state)| {
                matches!(state, LegState::Done(attempt) if simulation.succeeded(*leg, *attempt))
            });
            let done = done.count();
            assert_eq!(done + missing, legs, "the number of missing parts is wrong");
            assert!(
                done * 100 + 1 > legs * usize::from(case.min_percent),
                "too few parts"
            );
            assert!(done > 0);
        }
        Outcome::Forward { attempt } => {
            let found = simulation
                .history
                .iter()
                .find(|(sub_request, _)| sub_request.attempt == attempt);
            let reply = found.and_then(|(_, reply)| *reply);
            let answered = matches!(reply, Some(Reply::Success | Reply::Failed { .. }));
            assert!(answered, "the forwarded sub-request has no response");
            let refusal = matches!(reply, Some(Reply::Failed { status: 429 | 503 }));
            assert!(
                case.idempotent || !refusal,
                "a caller is told that a request that ran has not"
            );
        }
        Outcome::GiveUp(_) => assert!(
            any_run,
            "a request that did not run is given up instead of refused"
        ),
    }
}

#[test]
fn exchange_outcomes_match_sub_requests_and_replies() {
    let cases = std::env::var("WIGEONHALL_FUZZ_CASES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(CASES);
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&case(), |case| {
        let mut simulation = Simulation::new(&case);
        let outcome = simulation.run(&case);
        check(&case, &simulation, outcome);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
