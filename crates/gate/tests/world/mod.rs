//! Simulates two gates that own the same replicas in turn, and their targets.

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
use target::UnconfirmedRequest;
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

/// Time after its deadline at which a target stops a request, unless the target is late (see
/// `MAX_LATE_US`).
const STOP_DELAY_US: u64 = 100 * MS;

/// Longest time for which a late target still runs a request after the sender's timeout.
const MAX_LATE_US: u64 = 3 * SECOND;

/// Slots and cold bound of each replica.
const REPLICA_LIMITS: [(u32, ColdBound); 2] = [(6, cold(1, 4)), (2, cold(2, 5))];

#[derive(Default)]
pub struct World {
    /// Polls about unconfirmed requests, with the polling gate, that have no reply yet.
    pending_polls: Vec<(usize, AttemptId)>,
    epoch: u64,
    pub gates: [Gate; 2],
    /// End of the lease of each gate.
    lease_until_us: [u64; 2],
    now_us: u64,
    /// Requests that were sent and have no reply yet.
    runs: BTreeMap<AttemptId, Run>,
    /// Sub-requests without an answer, each with its gate and whether it was sent.
    open: BTreeMap<AttemptId, (SubRequest, usize, bool)>,
    /// Number of events handled so far.
    event_index: u64,
    submitted: u64,
    targets: [Target; 2],
    /// Reply of the target to each finished request.
    replies: BTreeMap<AttemptId, &'static str>,
    /// Requests that owners must count until their end is confirmed.
    unconfirmed: BTreeMap<AttemptId, UnconfirmedRequest>,
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
            // A number that never limits the ramp and can still grow.
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
        for (key, (slots, cold)) in (0..).zip(REPLICA_LIMITS) {
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
        self.lease_until_us[gate] = self.now_us + us;
        self.handle(gate, GateEvent::LeaseUntil(self.now_us + us));
    }

    fn grant(&mut self, gate: usize, replica: usize, state: Option<HandOverState>) {
        self.epoch += 1;
        let target = &mut self.targets[replica];
        target.owner = Some(gate);
        target.rejecting_since = None;
        // An owner ignores replies to requests that it sent during an earlier ownership.
        target.cold_since = self.event_index;
        if let Some(state) = &state {
            target.rejecting_since = state.leaving.then_some(self.event_index);
            target.known_instance = state.instance;
        } else {
            target.starts_us.clear();
            target.known_instance = None;
        }
        // Without successes in the current round of the ramp at its cold bound (level 0), the count
        // restarts. With some, the new owner continues it.
        let at_bound = |it: &HandOverState| {
            matches!(it.ramp, RampState::Cold { level, round }
                if level <= 0 && round.successes == 0)
        };
        if state.as_ref().is_none_or(at_bound) {
            self.set_cold(replica);
        }
        self.take_over_unconfirmed(gate, replica, state.as_ref());
        let event = GateEvent::Grant {
            epoch: self.epoch,
            replica: ReplicaKey(replica as u32),
            state,
        };
        self.handle(gate, event);
    }

    /// Records that the owner now takes the replica for cold.
    fn set_cold(&mut self, replica: usize) {
        self.targets[replica].cold_since = self.event_index;
        self.targets[replica].allowance_may_be_reduced = false;
        self.targets[replica].successes = 0;
    }

    /// Passes an event to a gate and checks its actions and counters.
    fn handle(&mut self, gate: usize, event: GateEvent) {
        self.event_index += 1;
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
            Op::SetDraining(replica, on) => self.targets[replica].is_draining = on,
            Op::Finish(index, choice) => self.finish(index, choice),
            Op::Lease(gate, us) => self.lease(gate, us),
            Op::MoveOwner(replica, owner_lost) => self.move_owner(replica, owner_lost),
            Op::SetOut(replica, out) => {
                let was_out = std::mem::replace(&mut self.targets[replica].out, out);
                if was_out && !out {
                    self.set_cold(replica);
                }
                self.deploy();
            }
            Op::Probe(index) => {
                self.probe_reply(index / 2, index % 2);
                self.answer_polls();
            }
            Op::SetReachable(replica, on) => self.targets[replica].refuses_connections = !on,
            Op::Restart(replica) => self.targets[replica].instance += 1,
            Op::StrayReply(index) => {
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

    /// Lets a target reply to one of the running requests. Of 60 values of `choice`, 6 select a
    /// failure and 6 a success; for the others, the reply depends on the state of the target.
    fn finish(&mut self, index: usize, choice: usize) {
        let chosen = self.runs.iter().cycle().nth(index);
        let Some((attempt, run)) = chosen.map(|(id, run)| (*id, run.clone())) else {
            return;
        };
        let target = &self.targets[run.replica];
        let failures = ["bad", "cancelled", "lost", "timeout", "shed", "gone"];
        let kind = match failures.get(choice) {
            Some(failure) => failure,
            None if choice < 12 => "ok",
            None if run.instance != target.instance => "lost",
            None if target.refuses_connections => "unreachable",
            None if target.is_draining => "draining",
            None => "ok",
        };
        self.target_reply(attempt, kind);
    }

    /// Moves the ownership by a hand-over, or ends it without one if the owner is lost. The next
    /// owner then starts once no request of the previous owner runs.
    fn move_owner(&mut self, replica: usize, owner_lost: bool) {
        let Some(owner) = self.targets[replica].owner.take() else {
            return;
        };
        self.epoch += 1;
        self.handle(
            owner,
            GateEvent::Revoke {
                epoch: self.epoch,
                replica: ReplicaKey(replica as u32),
                successor: (!owner_lost).then_some(NodeKey(1 - owner as u32)),
            },
        );
        assert_eq!(
            self.targets[replica].pending_hand_over.is_some(),
            !owner_lost
        );
    }

    /// Grants replicas whose hand-over is in transit, and those without an owner at which no
    /// request runs any more.
    fn deliver_grants(&mut self) {
        for replica in 0..2 {
            if let Some((to, _, state)) = self.targets[replica].pending_hand_over.take() {
                self.grant(to, replica, Some(state));
            } else if self.targets[replica].owner.is_none() && self.occupied_slots(replica) == 0 {
                self.grant((self.epoch % 2) as usize, replica, None);
            }
        }
    }

    /// Advances the time, with a tick at each wake-up unless `ticks` is false, which simulates
    /// paused nodes.
    fn advance(&mut self, until_us: u64, ticks: bool) {
        for _ in 0..5_000 {
            let ends = self
                .runs
                .values()
                .map(|run| run.deadline_us + STOP_DELAY_US);
            let wakes = self.gates.iter().filter_map(Gate::next_wake_us);
            let next_us = if ticks { ends.chain(wakes).min() } else { None };
            let next_us = next_us.unwrap_or(until_us).clamp(self.now_us, until_us);
            self.now_us = next_us;
            let late = self
                .runs
                .iter()
                .filter(|(_, run)| run.deadline_us + STOP_DELAY_US <= next_us);
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
                    "the gate requests a wake-up that is already due"
                );
            }
            self.answer_polls();
            self.check_waiting();
            if next_us == until_us {
                return self.deliver_grants();
            }
        }
        panic!("the gates keep requesting wake-ups");
    }

    /// Waits until all requests have ended, and checks that each was answered.
    pub fn finish_all(&mut self) {
        self.advance(self.now_us + 2 * SECOND, true);
        assert!(self.open.is_empty(), "not answered: {:?}", self.open);
        assert!(self.runs.is_empty());
        let submitted = self.gates.iter().map(|gate| gate.counters().submitted);
        assert_eq!(submitted.sum::<u64>(), self.submitted);
        assert!(self.gates.iter().all(|gate| gate.open_request_count() == 0));
    }
}
