//! Two gates that own the same replicas in turn, and their targets.

mod checks;
mod op;
mod replies;
mod target;

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::common;
use crate::common::MS;
use crate::common::SECOND;
use crate::common::cold;
use crate::common::deployment;
use crate::common::request;
use op::Op;
pub use op::op;
use target::Run;
use target::Target;
use target::Unproved;
use wigeonhall_gate::Gate;
use wigeonhall_gate::GateEvent;
use wigeonhall_types::AttemptId;
use wigeonhall_types::ClassKey;
use wigeonhall_types::ColdBound;
use wigeonhall_types::HandOverState;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::NodeKey;
use wigeonhall_types::RampState;
use wigeonhall_types::Replica;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::SubRequest;

/// A target stops a request this long after its deadline, unless it is late.
const GRACE_US: u64 = 100 * MS;

/// Time for which a late target works on after the sender has given up.
const LATE_US: u64 = 3 * SECOND;

/// Slots and cold bound of each replica.
const SPECS: [(u32, ColdBound); 2] = [(6, cold(1, 4)), (2, cold(2, 5))];

#[derive(Default)]
pub struct World {
    /// Questions about the end of a request that wait for an answer.
    asked: Vec<(usize, AttemptId)>,
    epoch: u64,
    pub gates: [Gate; 2],
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
    /// Requests that owners must count although no reply is to come.
    unproved: BTreeMap<AttemptId, Unproved>,
}

impl World {
    pub fn new(warm: bool) -> Self {
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
        target.closed = None;
        // An owner disregards replies to what it sent as an earlier owner.
        target.cold_since = self.position;
        if let Some(state) = &state {
            target.closed = state.leaving.then_some(self.position);
            target.known = state.instance;
        } else {
            target.starts_us.clear();
            target.known = None;
        }
        // Without progress the round starts anew; with it the successes so far count on.
        let at_bound = |it: &HandOverState| {
            matches!(it.ramp, RampState::Cold { level, round }
                if level <= 0 && round.successes == 0)
        };
        if state.as_ref().is_none_or(at_bound) {
            self.cool(replica);
        }
        self.take_over_unproved(gate, replica, state.as_ref());
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

    pub fn apply(&mut self, op: Op) {
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
            Op::Probe(index) => {
                self.probe_reply(index / 2, index % 2);
                self.answer_asked();
            }
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
            } else if self.targets[replica].owner.is_none() && self.occupied(replica) == 0 {
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
            self.answer_asked();
            self.check_waiting();
            if next_us == until_us {
                return self.deliver_grants();
            }
        }
        panic!("wake-ups without end");
    }

    pub fn finish_all(&mut self) {
        self.advance(self.now_us + 2 * SECOND, true);
        assert!(self.open.is_empty(), "not answered: {:?}", self.open);
        assert!(self.runs.is_empty());
        let submitted = self.gates.iter().map(|gate| gate.counters().submitted);
        assert_eq!(submitted.sum::<u64>(), self.submitted);
        assert!(self.gates.iter().all(|gate| gate.open_requests() == 0));
    }
}
