//! Builders and a scripted driver shared by the tests.
//!
//! A script has one command per line. Times are in milliseconds; `IDS` is an id or a range such
//! as `1..3`, which stands for 1 and 2; `KIND` names a reply (see [`reply`]).
//!
//! - `at MS` advances the time and handles a tick at each wake-up on the way.
//! - `skip MS` sets the time without any tick.
//! - `submit IDS DEADLINE [cN] [rN] [vN] [wN]` submits sub-requests of class `c` (0 by default)
//!   for replica `r` (0) and index version `v` (7), with `w` microseconds as the longest wait
//!   for a slot (unlimited).
//! - `cancel ID` cancels a sub-request.
//! - `reply IDS KIND` delivers the target's replies to requests and `probed KIND` its reply to a
//!   probe. `end ID KIND` delivers its reply to a poll whether a request still runs: `unknown` if
//!   it does not, `cancelled` if it does and will be stopped.
//! - `deploy` applies the driver's deployment, `lease MS` extends the lease until this time,
//!   `grant EPOCH` grants the replica without a state, and `revoke EPOCH [NODE]` revokes it and
//!   names the successor.
//! - `report` prints the state of the replica and the expected wait.
#![allow(dead_code, reason = "each test file uses some of the builders")]

use std::sync::Arc;

use wigeonhall_gate::Gate;
use wigeonhall_gate::GateAction;
use wigeonhall_gate::GateEvent;
use wigeonhall_types::AttemptId;
use wigeonhall_types::ClassKey;
use wigeonhall_types::ClassKind;
use wigeonhall_types::ColdBound;
use wigeonhall_types::DataCentre;
use wigeonhall_types::DataCentreKey;
use wigeonhall_types::Deployment;
use wigeonhall_types::HandOverState;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::KeyRange;
use wigeonhall_types::NodeKey;
use wigeonhall_types::Operation;
use wigeonhall_types::QueryClass;
use wigeonhall_types::RampState;
use wigeonhall_types::RecentStarts;
use wigeonhall_types::Replica;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::ServedVersion;
use wigeonhall_types::ServiceKey;
use wigeonhall_types::ServiceLevel;
use wigeonhall_types::SubOutcome;
use wigeonhall_types::SubRequest;
use wigeonhall_types::TargetOutcome;
use wigeonhall_types::TargetReply;

pub const REPLICA: ReplicaKey = ReplicaKey(0);
pub const VERSION: IndexVersion = IndexVersion(7);
pub const MS: u64 = 1_000;
pub const SECOND: u64 = 1_000_000;

/// Largest number of wake-ups in one command, so that a test fails instead of running forever.
const MAX_WAKE_UPS: u32 = 1_000;

/// Returns a deployment with one replica and two classes: class 0 has weight 3 and class 1
/// weight 1. Each class may occupy half of the slots while the other one waits.
pub fn deployment(slots: u32, cold: ColdBound) -> Deployment {
    let class = |weight| QueryClass {
        deadline_ms: 100,
        depends_on: vec![ServiceKey(0)],
        kind: ClassKind::Read,
        level: ServiceLevel {
            latency_ms: 400_000,
            objective_ppm: 999_000,
        },
        slot_share_percent: 50,
        weight,
    };
    let data_centre = DataCentre {
        out: false,
        region: "south".into(),
    };
    let replica = Replica {
        address: "127.0.0.1:1".parse().unwrap(),
        cold,
        connect_us: 1_000,
        connections: 50,
        data_centre: DataCentreKey(0),
        out: false,
        service: ServiceKey(0),
        slots,
    };
    Deployment {
        classes: [(ClassKey(0), class(3)), (ClassKey(1), class(1))].into(),
        data_centres: [(DataCentreKey(0), data_centre)].into(),
        generation: 1,
        replicas: [(REPLICA, replica)].into(),
        ..Deployment::default()
    }
}

pub const fn cold(slots: u32, requests_per_s: u32) -> ColdBound {
    ColdBound {
        requests_per_s,
        slots,
    }
}

/// Returns the state of a warm replica without requests and with a typical time of 10 ms.
pub fn warm() -> HandOverState {
    HandOverState {
        instance: Some(1),
        served: served(),
        service_us: 10 * MS,
        // As many starts as the cold bound of `Driver::warm` allows in a second.
        starts: RecentStarts([10, 0, 0, 0, 0, 0, 0, 0]),
        ..HandOverState::warm()
    }
}

pub fn served() -> Vec<ServedVersion> {
    vec![ServedVersion {
        ranges: vec![KeyRange::WHOLE],
        version: VERSION,
    }]
}

pub fn attempt(sequence: u64) -> AttemptId {
    AttemptId { boot: 1, sequence }
}

pub fn request(sequence: u64, deadline_us: u64) -> SubRequest {
    SubRequest {
        attempt: attempt(sequence),
        class: ClassKey(0),
        deadline_us,
        epoch: 1,
        operation: Operation::Read {
            range: KeyRange::WHOLE,
        },
        replica: REPLICA,
        start_within_us: None,
        version: Some(VERSION),
    }
}

pub fn answered() -> TargetOutcome {
    TargetOutcome::Answered {
        ranges: vec![KeyRange::WHOLE],
        rows: Vec::new(),
        version: VERSION,
    }
}

/// A gate that owns `REPLICA` and is driven by scripts.
#[derive(Default)]
pub struct Driver {
    pub deployment: Deployment,
    pub gate: Gate,
    pub now_us: u64,
}

impl Driver {
    /// Creates a gate with a lease of an hour, and grants it the replica with the state that the
    /// previous owner handed over; without one, the replica starts cold.
    pub fn new(slots: u32, cold: ColdBound, state: Option<HandOverState>) -> Self {
        let mut driver = Self {
            deployment: deployment(slots, cold),
            ..Self::default()
        };
        driver.run("deploy\nlease 3600000");
        driver.handle(GateEvent::Grant {
            epoch: 1,
            replica: REPLICA,
            state,
        });
        driver
    }

    /// Creates a gate that owns a warm replica, with a cold bound of 1 slot and 10 requests a
    /// second.
    pub fn warm(slots: u32) -> Self {
        Self::new(slots, cold(1, 10), Some(warm()))
    }

    /// Runs a script and returns each line with the actions that it caused.
    pub fn run(&mut self, script: &str) -> String {
        let lines = script.lines().map(str::trim).filter(|it| !it.is_empty());
        let log = lines.map(|line| {
            let words = line.split_whitespace().collect::<Vec<_>>();
            format!("{line}: {}\n", self.command(&words).join(", "))
        });
        log.collect()
    }

    pub fn handle(&mut self, event: GateEvent) -> Vec<String> {
        let mut actions = Vec::new();
        self.gate.handle(self.now_us, event, &mut actions);
        actions.iter().map(describe).collect()
    }

    fn command(&mut self, words: &[&str]) -> Vec<String> {
        let event = match *words {
            ["at", ms] => return self.advance(parse_ms_as_us(ms)),
            ["cancel", id] => GateEvent::Cancel(attempt(id.parse().unwrap())),
            ["end", id, kind] => GateEvent::PollReply {
                attempt: attempt(id.parse().unwrap()),
                replica: REPLICA,
                reply: reply(kind),
            },
            ["deploy"] => GateEvent::Deployment(Arc::new(self.deployment.clone())),
            ["grant", epoch] => GateEvent::Grant {
                epoch: epoch.parse().unwrap(),
                replica: REPLICA,
                state: None,
            },
            ["lease", ms] => GateEvent::LeaseUntil(parse_ms_as_us(ms)),
            ["probed", kind] => GateEvent::ProbeReply {
                replica: REPLICA,
                reply: reply(kind),
            },
            ["reply", ids, kind] => {
                return self.handle_each(ids, |id| GateEvent::TargetReply {
                    attempt: attempt(id),
                    reply: reply(kind),
                });
            }
            ["report"] => {
                let reports = self.gate.reports(self.now_us);
                let it = &reports[0].1;
                return vec![format!("{:?}, wait {} us", it.state, it.expected_wait_us)];
            }
            ["revoke", epoch, ref to @ ..] => GateEvent::Revoke {
                epoch: epoch.parse().unwrap(),
                replica: REPLICA,
                successor: to.first().map(|to| NodeKey(to.parse().unwrap())),
            },
            ["skip", ms] => {
                self.now_us = parse_ms_as_us(ms);
                return Vec::new();
            }
            ["submit", ids, ms, ref rest @ ..] => {
                let number = |letter| rest.iter().find_map(|it| it.strip_prefix(letter));
                let parse = |letter, or| number(letter).map_or(or, |it| it.parse().unwrap());
                return self.handle_each(ids, |id| {
                    GateEvent::Submit(SubRequest {
                        class: ClassKey(parse('c', 0)),
                        replica: ReplicaKey(parse('r', 0)),
                        start_within_us: number('w').map(|it| it.parse().unwrap()),
                        version: Some(IndexVersion(parse('v', 7).into())),
                        ..request(id, parse_ms_as_us(ms))
                    })
                });
            }
            _ => panic!("unknown command {words:?}"),
        };
        self.handle(event)
    }

    fn handle_each(&mut self, ids: &str, event: impl Fn(u64) -> GateEvent) -> Vec<String> {
        let (first, end) = ids.split_once("..").unwrap_or((ids, ""));
        let first = first.parse().unwrap();
        let end = end.parse().unwrap_or(first + 1);
        (first..end).flat_map(|id| self.handle(event(id))).collect()
    }

    /// Advances the time to `now_us`, with a tick at each wake-up.
    fn advance(&mut self, now_us: u64) -> Vec<String> {
        let mut log = Vec::new();
        for _ in 0..MAX_WAKE_UPS {
            let Some(wake_us) = self.gate.next_wake_us().filter(|it| *it <= now_us) else {
                self.now_us = now_us;
                return log;
            };
            self.now_us = self.now_us.max(wake_us);
            let actions = self.handle(GateEvent::Tick);
            log.extend(actions.iter().map(|it| format!("{it} @{wake_us} us")));
        }
        panic!("the gate keeps requesting wake-ups");
    }
}

fn parse_ms_as_us(ms: &str) -> u64 {
    (ms.parse::<f64>().unwrap() * 1_000.0).round() as u64
}

/// Returns the reply with this name, from instance 1 unless `@` states another.
pub fn reply(kind: &str) -> TargetReply {
    let (kind, instance) = kind.split_once('@').unwrap_or((kind, "1"));
    let outcome = match kind {
        "bad" => TargetOutcome::BadReply,
        "cancelled" => TargetOutcome::Cancelled,
        "draining" => TargetOutcome::Draining,
        "gone" => TargetOutcome::VersionGone,
        "lost" => TargetOutcome::ConnectionLost,
        "ok" => answered(),
        "shed" => TargetOutcome::Shed { retry_after_us: 9 },
        "timeout" => TargetOutcome::DeadlineExceeded,
        "unknown" => TargetOutcome::UnknownAttempt,
        "unreachable" => TargetOutcome::Unreachable,
        _ => panic!("unknown reply {kind}"),
    };
    let silent = ["lost", "timeout", "unreachable"].contains(&kind);
    TargetReply {
        instance: (!silent).then(|| instance.parse().unwrap()),
        outcome,
        served: if silent { Vec::new() } else { served() },
    }
}

fn format_ramp(state: RampState) -> String {
    match state {
        RampState::Cold { level, round } => format!(
            "cold at level {level}, {} replies in {:?} us",
            round.successes, round.elapsed_us
        ),
        RampState::Full => "full".into(),
        RampState::Reduced { allowance, .. } => format!("reduced to {allowance}"),
    }
}

fn format_running(state: &HandOverState) -> String {
    let running = state.running.iter();
    let running = running.map(|it| format!("{} for {} us", it.attempt.sequence, it.remaining_us));
    format!("[{}]", running.collect::<Vec<_>>().join(", "))
}

fn describe(action: &GateAction) -> String {
    match action {
        GateAction::PollEnd { attempt, .. } => format!("ask {}", attempt.sequence),
        GateAction::CancelAtTarget { attempt, .. } => format!("cancel {}", attempt.sequence),
        GateAction::CloseConnections(_) => "close".into(),
        GateAction::HandOver {
            epoch, state, to, ..
        } => format!(
            "hand over to {} in {epoch}: {}{}, running {}, started {:?}, typical {} us",
            to.0,
            format_ramp(state.ramp),
            if state.leaving { ", leaving" } else { "" },
            format_running(state),
            state.starts.0,
            state.service_us
        ),
        GateAction::OpenConnections { count, .. } => format!("open {count}"),
        GateAction::Probe(_) => "probe".into(),
        GateAction::Respond {
            attempt,
            outcome,
            report,
        } => {
            let outcome = match outcome {
                SubOutcome::Answered { .. } => "answered".into(),
                SubOutcome::Failed { reason } => format!("failed {reason:?}"),
                SubOutcome::Refused {
                    reason,
                    retry_after_us,
                } => {
                    format!("refused {reason:?} for {retry_after_us} us")
                }
                SubOutcome::VersionGone => "version gone".into(),
            };
            let owner = if report.is_some() { "" } else { " (not owner)" };
            format!("{} {outcome}{owner}", attempt.sequence)
        }
        GateAction::Send(request) => format!("send {}", request.attempt.sequence),
    }
}
