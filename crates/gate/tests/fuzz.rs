//! Two gates that own the same replicas in turn, against simple targets.
//!
//! `WIGEONHALL_FUZZ_CASES` sets the number of cases.

mod common;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::sync::Arc;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;

use common::MS;
use common::SECOND;
use common::cold;
use common::deployment;
use common::request;
use wigeonhall_gate::Gate;
use wigeonhall_gate::GateAction;
use wigeonhall_gate::GateCounters;
use wigeonhall_gate::GateEvent;
use wigeonhall_types::AttemptId;
use wigeonhall_types::ClassKey;
use wigeonhall_types::ColdBound;
use wigeonhall_types::HandOverState;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::NodeKey;
use wigeonhall_types::Replica;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::ReplicaState;
use wigeonhall_types::SubRequest;
use wigeonhall_types::Verdict;

/// Cases that the test runs by itself, about 2 s in a debug build.
const CASES: u32 = 300;

/// A target stops a request this long after its deadline at the latest.
const GRACE_US: u64 = 100 * MS;

/// Replies that prove that the target did not run the request.
const NOT_RUN: [&str; 4] = ["draining", "gone", "shed", "unreachable"];

/// Slots and cold bound of each replica.
const SPECS: [(u32, ColdBound); 2] = [(6, cold(1, 4)), (2, cold(2, 5))];

#[derive(Clone, Copy, Debug)]
enum Op {
    Advance(bool, u64),
    Cancel(usize),
    Drain(usize, bool),
    Finish(usize, usize),
    Lease(usize, u64),
    Move(usize, bool),
    Out(usize, bool),
    Probe(usize),
    Reach(usize, bool),
    Restart(usize),
    Stray(usize),
    Submit(u32, usize, usize, u64, u64),
}

fn op() -> impl Strategy<Value = Op> {
    let submit = (0..2_u32, 0..8_usize, 0..2_usize, 0..400 * MS, 0..30_u64);
    let advance = |us| (prop::bool::weighted(0.8), 0..us);
    let rarely = || (0..2_usize, prop::bool::weighted(0.3));
    prop_oneof![
        160 => submit.prop_map(|(class, gate, replica, us, version)| {
            Op::Submit(class, gate, replica, us, 7 + u64::from(version == 0))
        }),
        140 => (0..64_usize, 0..60_usize).prop_map(|(index, kind)| Op::Finish(index, kind)),
        80 => advance(40 * MS).prop_map(|(ticks, us)| Op::Advance(ticks, us)),
        10 => advance(2 * SECOND).prop_map(|(ticks, us)| Op::Advance(ticks, us)),
        40 => (0..4_usize).prop_map(Op::Probe),
        15 => (0..64_usize).prop_map(Op::Cancel),
        5 => (0..64_usize).prop_map(Op::Stray),
        12 => (0..2_usize, 0..8 * SECOND).prop_map(|(gate, us)| Op::Lease(gate, us)),
        4 => rarely().prop_map(|(replica, lost)| Op::Move(replica, lost)),
        5 => rarely().prop_map(|(replica, on)| Op::Drain(replica, on)),
        5 => rarely().prop_map(|(replica, on)| Op::Reach(replica, !on)),
        5 => rarely().prop_map(|(replica, on)| Op::Out(replica, on)),
        2 => (0..2_usize).prop_map(Op::Restart),
    ]
}

/// A request at a target.
#[derive(Clone, Debug)]
struct Run {
    class: ClassKey,
    deadline_us: u64,
    gate: usize,
    instance: u64,
    replica: usize,
    /// Position in the sequence of events.
    started: u64,
}

#[derive(Debug, Default)]
#[allow(
    clippy::struct_excessive_bools,
    reason = "independent switches of the target"
)]
struct Target {
    drains: bool,
    /// Hand-over on its way to the gate.
    handed: Option<(usize, u64, HandOverState)>,
    instance: u64,
    /// Identity that the owner knows.
    known: Option<u64>,
    /// Position at which the owner learned that the replica is cold.
    cold_since: u64,
    /// Position of the latest reply that said `Draining` or `Unreachable`.
    closed: Option<u64>,
    out: bool,
    owner: Option<usize>,
    /// Number inherited by the owner, and until when.
    inherited: (u32, u64),
    /// Whether a shed or unreadable reply may have lowered the allowance.
    failed: bool,
    probe: [Option<u64>; 2],
    refuses: bool,
    starts_us: Vec<u64>,
    successes: u32,
}

#[derive(Default)]
struct World {
    epoch: u64,
    gates: [Gate; 2],
    lease_us: [u64; 2],
    now_us: u64,
    runs: BTreeMap<AttemptId, Run>,
    /// Sub-requests without an answer; whether sent.
    open: BTreeMap<AttemptId, (SubRequest, usize, bool)>,
    position: u64,
    submitted: u64,
    targets: [Target; 2],
    /// Reply of the target, if any.
    told: BTreeMap<AttemptId, &'static str>,
}

impl World {
    fn new(warm: bool) -> Self {
        let mut world = Self::default();
        for target in &mut world.targets {
            target.instance = 1;
        }
        world.deploy();
        for replica in 0..2 {
            let state = warm.then(common::warm);
            world.targets[replica].successes = if warm { u32::MAX / 2 } else { 0 };
            world.grant(replica, replica, state);
        }
        for gate in 0..2 {
            world.lease(gate, 10 * SECOND);
        }
        world
    }

    fn deploy(&mut self) {
        let mut all = deployment(1, cold(1, 1));
        let template = all.replicas[&ReplicaKey(0)];
        for (key, (slots, cold)) in (0..).zip(SPECS) {
            let out = self.targets[key as usize].out;
            let replica = Replica {
                cold,
                out,
                slots,
                ..template
            };
            all.replicas.insert(ReplicaKey(key), replica);
        }
        let all = Arc::new(all);
        for gate in 0..2 {
            self.handle(gate, GateEvent::Deployment(Arc::clone(&all)));
        }
    }

    fn lease(&mut self, gate: usize, us: u64) {
        self.lease_us[gate] = self.now_us + us;
        self.handle(gate, GateEvent::LeaseUntil(self.now_us + us));
    }

    fn grant(&mut self, gate: usize, replica: usize, state: Option<HandOverState>) {
        self.epoch += 1;
        let target = &mut self.targets[replica];
        target.owner = Some(gate);
        target.inherited = (0, 0);
        target.closed = None;
        if let Some(state) = &state {
            target.inherited = (state.running, self.now_us + state.running_for_us);
            target.known = state.instance;
        } else {
            target.starts_us.clear();
            target.known = None;
        }
        if state.as_ref().is_none_or(|state| state.allowance == 0) {
            self.cool(replica);
        }
        let event = GateEvent::Grant {
            epoch: self.epoch,
            replica: ReplicaKey(replica as u32),
            state,
        };
        self.handle(gate, event);
    }

    /// The owner has learned that the replica is cold.
    fn cool(&mut self, replica: usize) {
        self.targets[replica].cold_since = self.position;
        self.targets[replica].failed = false;
        self.targets[replica].successes = 0;
    }

    fn handle(&mut self, gate: usize, event: GateEvent) {
        self.position += 1;
        let mut actions = Vec::new();
        self.gates[gate].handle(self.now_us, event, &mut actions);
        for action in actions {
            self.check(gate, action);
        }
        let counters = self.gates[gate].counters();
        let exceeded = counters.slots_exceeded_high
            + counters.cold_slots_exceeded_high
            + counters.cold_rate_exceeded_high
            + counters.started_forbidden;
        assert_eq!(exceeded, 0, "{counters:?}");
    }

    fn check(&mut self, gate: usize, action: GateAction) {
        match action {
            GateAction::Send(request) => self.check_send(gate, &request),
            GateAction::Respond {
                attempt,
                outcome,
                report,
            } => {
                let (request, _, sent) = self.open.remove(&attempt).expect("a second answer");
                let owned = self.targets[request.replica.index()].owner == Some(gate);
                assert_eq!(report.is_some(), owned);
                let told = self.told.get(&attempt);
                match outcome.verdict() {
                    Verdict::Ran => assert_eq!(told, Some(&"ok")),
                    Verdict::MayHaveRun => assert!(sent, "failed, but never sent"),
                    Verdict::NotRun => {
                        let not_run = told.is_some_and(|it| NOT_RUN.contains(it));
                        assert!(!sent || not_run, "refused, but sent");
                    }
                }
            }
            GateAction::CancelAtTarget { attempt, .. } => {
                assert!(self.runs.contains_key(&attempt));
            }
            GateAction::HandOver {
                replica,
                state,
                to,
                epoch,
            } => {
                self.targets[replica.index()].handed = Some((to.index(), epoch, state));
            }
            GateAction::Probe(replica) => {
                let probe = &mut self.targets[replica.index()].probe[gate];
                *probe = Some(self.position);
            }
            GateAction::CloseConnections(_) | GateAction::OpenConnections { .. } => {}
        }
    }

    fn check_send(&mut self, gate: usize, request: &SubRequest) {
        let replica = request.replica.index();
        let (slots, bound) = SPECS[replica];
        let target = &mut self.targets[replica];
        assert_eq!(target.owner, Some(gate), "started without ownership");
        assert!(self.now_us < self.lease_us[gate], "started without a lease");
        assert!(!target.out, "started although out");
        assert_eq!(
            target.closed, None,
            "started although leaving or unreachable"
        );
        assert!(
            self.now_us < request.deadline_us,
            "started past the deadline"
        );
        let open = self.open.get_mut(&request.attempt).expect("not open");
        assert!(!std::mem::replace(&mut open.2, true), "sent twice");
        let run = Run {
            class: request.class,
            deadline_us: request.deadline_us,
            gate,
            instance: target.instance,
            replica,
            started: self.position,
        };
        self.runs.insert(request.attempt, run);
        target.starts_us.push(self.now_us);
        let running = self
            .runs
            .values()
            .filter(|run| run.replica == replica)
            .count() as u32;
        assert!(running <= slots, "{running} of {slots} slots");
        let doublings = (1 + target.successes / bound.slots).ilog2().min(8);
        let allowance = bound.slots << doublings;
        if doublings == 0 || allowance < slots {
            assert!(running <= allowance, "{running} run at a cold replica");
            let starts_us = target.starts_us.iter();
            let recent = starts_us.filter(|start_us| **start_us + SECOND >= self.now_us);
            let recent = recent.count() as u32;
            let rate = bound.requests_per_s << doublings;
            assert!(recent <= rate, "{recent} starts at a cold replica");
        }
    }

    fn target_reply(&mut self, attempt: AttemptId, kind: &'static str) {
        let run = self.runs.remove(&attempt).expect("running");
        self.told.insert(attempt, kind);
        let reply = common::reply(&format!("{kind}@{}", run.instance));
        let target = &mut self.targets[run.replica];
        if target.owner == Some(run.gate) {
            let counts = run.started > target.cold_since;
            match kind {
                "ok" if counts => target.successes += 1,
                "shed" | "bad" => target.failed = true,
                "draining" if reply.instance == target.known => {
                    target.closed = Some(self.position + 1);
                }
                "unreachable" if counts => target.closed = Some(self.position + 1),
                _ => {}
            }
            if counts && ["lost", "unreachable"].contains(&kind) {
                self.cool(run.replica);
            }
            self.learn(run.replica, reply.instance, counts);
        }
        self.handle(run.gate, GateEvent::TargetReply { attempt, reply });
    }

    /// The owner saw an identity; a change to the present one makes cold. Without
    /// a known identity it disregards replies to what it sent before the cold start.
    fn learn(&mut self, replica: usize, instance: Option<u64>, counts: bool) {
        let target = &mut self.targets[replica];
        let counts = counts || target.known.is_some();
        if counts && instance == Some(target.instance) && target.known != instance {
            let cold = target.known.is_some();
            target.known = instance;
            if cold {
                self.cool(replica);
            }
        }
    }

    fn probe_reply(&mut self, gate: usize, replica: usize) {
        let target = &mut self.targets[replica];
        let Some(sent) = target.probe[gate].take() else {
            return;
        };
        let cold_since = target.cold_since;
        let kind = match (target.refuses, target.drains) {
            (true, _) => "unreachable",
            (_, true) => "draining",
            _ => "ok",
        };
        let reply = common::reply(&format!("{kind}@{}", target.instance));
        if target.owner == Some(gate) {
            if target.refuses || target.drains {
                target.closed = Some(self.position + 1);
            } else if target.closed.is_some_and(|closed| closed < sent) {
                target.closed = None;
            }
            if target.refuses {
                self.cool(replica);
            }
            self.learn(replica, reply.instance, sent > cold_since);
        }
        let replica = ReplicaKey(replica as u32);
        self.handle(gate, GateEvent::ProbeReply { replica, reply });
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Advance(ticks, us) => self.advance(self.now_us + us, ticks),
            Op::Cancel(index) => {
                let chosen = self.open.iter().cycle().nth(index);
                if let Some((attempt, gate)) = chosen.map(|(id, open)| (*id, open.1)) {
                    self.handle(gate, GateEvent::Cancel(attempt));
                }
            }
            Op::Drain(replica, on) => self.targets[replica].drains = on,
            Op::Finish(index, kind) => self.finish(index, kind),
            Op::Lease(gate, us) => self.lease(gate, us),
            Op::Move(replica, lost) => self.move_owner(replica, lost),
            Op::Out(replica, out) => {
                let was = std::mem::replace(&mut self.targets[replica].out, out);
                if was && !out {
                    self.cool(replica);
                }
                self.deploy();
            }
            Op::Probe(index) => self.probe_reply(index / 2, index % 2),
            Op::Reach(replica, on) => self.targets[replica].refuses = !on,
            Op::Restart(replica) => self.targets[replica].instance += 1,
            Op::Stray(index) => {
                let attempt = common::attempt(1_000_000 + index as u64);
                let reply = common::reply("ok");
                self.handle(0, GateEvent::TargetReply { attempt, reply });
            }
            Op::Submit(class, gate, replica, us, version) => {
                let owner = self.targets[replica].owner.unwrap_or(0);
                let gate = if gate == 0 { 1 - owner } else { owner };
                let request = SubRequest {
                    class: ClassKey(class),
                    replica: ReplicaKey(replica as u32),
                    start_within_us: None,
                    version: Some(IndexVersion(version)),
                    ..request(self.submitted, self.now_us + us)
                };
                self.submitted += 1;
                self.open
                    .insert(request.attempt, (request.clone(), gate, false));
                self.handle(gate, GateEvent::Submit(request));
            }
        }
    }

    fn finish(&mut self, index: usize, kind: usize) {
        let chosen = self.runs.iter().cycle().nth(index);
        let Some((attempt, run)) = chosen.map(|(id, run)| (*id, run.clone())) else {
            return;
        };
        let target = &self.targets[run.replica];
        let failures = ["bad", "cancelled", "lost", "timeout", "shed", "gone"];
        let kind = match failures.get(kind) {
            Some(failure) => failure,
            None if kind < 12 => "ok",
            None if run.instance != target.instance => "lost",
            None if target.refuses => "unreachable",
            None if target.drains => "draining",
            None => "ok",
        };
        self.target_reply(attempt, kind);
    }

    /// Hands over, or loses the owner; another owner of a lost replica starts
    /// once nothing of the old one runs.
    fn move_owner(&mut self, replica: usize, lost: bool) {
        let Some(owner) = self.targets[replica].owner.take() else {
            return;
        };
        self.epoch += 1;
        self.handle(
            owner,
            GateEvent::Revoke {
                epoch: self.epoch,
                replica: ReplicaKey(replica as u32),
                successor: (!lost).then_some(NodeKey(1 - owner as u32)),
            },
        );
        assert_eq!(self.targets[replica].handed.is_some(), !lost);
    }

    fn deliver_grants(&mut self) {
        for replica in 0..2 {
            if let Some((to, _, state)) = self.targets[replica].handed.take() {
                self.grant(to, replica, Some(state));
            } else if self.targets[replica].owner.is_none()
                && self.runs.values().all(|run| run.replica != replica)
            {
                self.grant((self.epoch % 2) as usize, replica, None);
            }
        }
    }

    /// Moves the time on, with a tick at each wake-up unless the nodes pause.
    fn advance(&mut self, until_us: u64, ticks: bool) {
        for _ in 0..5_000 {
            let ends = self.runs.values().map(|run| run.deadline_us + GRACE_US);
            let wakes = self.gates.iter().filter_map(Gate::next_wake_us);
            let next_us = if ticks { ends.chain(wakes).min() } else { None };
            let next_us = next_us.unwrap_or(until_us).clamp(self.now_us, until_us);
            self.now_us = next_us;
            let late = self
                .runs
                .iter()
                .filter(|(_, run)| run.deadline_us + GRACE_US <= next_us);
            for attempt in late.map(|(attempt, _)| *attempt).collect::<Vec<_>>() {
                self.target_reply(attempt, "timeout");
            }
            for gate in 0..2 {
                if self.gates[gate]
                    .next_wake_us()
                    .is_some_and(|wake_us| wake_us <= next_us)
                {
                    self.handle(gate, GateEvent::Tick);
                }
                let wake_us = self.gates[gate].next_wake_us();
                assert!(
                    wake_us.is_none_or(|it| it > next_us),
                    "a wake-up without effect"
                );
            }
            self.check_waiting();
            if next_us == until_us {
                return self.deliver_grants();
            }
        }
        panic!("wake-ups without end");
    }

    /// No late work is held, and no slot is free for work that waits.
    fn check_waiting(&self) {
        for (request, _, _) in self.open.values() {
            assert!(self.now_us < request.deadline_us, "held past its deadline");
        }
        for (replica, target) in self.targets.iter().enumerate() {
            let Some(gate) = target.owner else { continue };
            let key = ReplicaKey(replica as u32);
            let mut reports = self.gates[gate].reports(self.now_us).into_iter();
            let (_, report) = reports.find(|it| it.0 == key).expect("owned");
            let waits = |class| {
                let waiting = self.open.values().filter(|open| !open.2);
                let mut requests = waiting.map(|open| &open.0);
                requests.any(|it| it.replica == key && it.class == ClassKey(class))
            };
            let runs = self.runs.values().filter(|run| run.replica == replica);
            let own = runs.filter(|run| run.gate == gate).collect::<Vec<_>>();
            let (inherited, until_us) = target.inherited;
            let inherited = if self.now_us < until_us { inherited } else { 0 };
            let slots = SPECS[replica].0;
            let free = slots.saturating_sub(own.len() as u32 + inherited);
            if report.state != ReplicaState::Warm || free == 0 || target.failed {
                continue;
            }
            for class in 0..2 {
                let taken = own
                    .iter()
                    .filter(|run| run.class == ClassKey(class))
                    .count();
                let capped = waits(1 - class) && taken as u32 >= (slots / 2).max(1);
                assert!(
                    !waits(class) || capped,
                    "class {class} waits for a free slot"
                );
            }
        }
    }

    fn finish_all(&mut self) {
        self.advance(self.now_us + 2 * SECOND, true);
        assert!(self.open.is_empty(), "not answered: {:?}", self.open);
        assert!(self.runs.is_empty());
        let submitted = self.gates.iter().map(|gate| gate.counters().submitted);
        assert_eq!(submitted.sum::<u64>(), self.submitted);
        assert!(self.gates.iter().all(|gate| gate.open_requests() == 0));
    }
}

/// Guards against any interleaving that exceeds a limit, starts forbidden work,
/// loses or doubles an answer, or lets work wait for a free slot.
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
    let total = RefCell::new([0; 14]);
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

/// Decisions that the cases must reach for the test to mean anything.
const fn reached(counters: &GateCounters) -> [u64; 14] {
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
        counters.granted_handed_over,
        counters.refused_no_lease,
        counters.refused_overloaded,
        counters.version_gone_unasked,
    ]
}
