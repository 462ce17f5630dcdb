//! What targets say, and what their owners learn from it.

use super::LATE_US;
use super::Unproved;
use super::World;
use crate::common;
use wigeonhall_gate::GateEvent;
use wigeonhall_types::AttemptId;
use wigeonhall_types::HandOverState;
use wigeonhall_types::ReplicaKey;

impl World {
    pub fn target_reply(&mut self, attempt: AttemptId, kind: &'static str) {
        let run = self.runs.remove(&attempt).expect("running");
        self.told.insert(attempt, kind);
        let reply = common::reply(&format!("{kind}@{}", run.instance));
        if ["lost", "timeout"].contains(&kind) {
            self.sender_gave_up(attempt, run.replica, run.gate, run.instance);
        }
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

    pub fn probe_reply(&mut self, gate: usize, replica: usize) {
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

    /// The request of a new owner and those that it inherits.
    pub fn take_over_unproved(
        &mut self,
        gate: usize,
        replica: usize,
        state: Option<&HandOverState>,
    ) {
        self.unproved
            .retain(|_, it| it.replica != replica || it.gate == gate || state.is_some());
        for handed in state.map_or(&[][..], |it| &it.running) {
            let run = self.runs.get(&handed.attempt);
            if run.is_some_and(|it| it.gate == gate) {
                self.unproved.remove(&handed.attempt);
                continue;
            }
            let instance = run.map_or(self.targets[replica].instance, |it| it.instance);
            let it = self.unproved.entry(handed.attempt).or_insert(Unproved {
                gate,
                instance,
                replica,
                until_us: 0,
            });
            it.gate = gate;
        }
    }

    /// A request ended for its sender; a third of the targets work on.
    fn sender_gave_up(&mut self, attempt: AttemptId, replica: usize, gate: usize, instance: u64) {
        let late = attempt.sequence.is_multiple_of(3);
        let late_us = attempt.sequence * 7_919_017 % LATE_US;
        let until_us = if late { self.now_us + late_us } else { 0 };
        let owned = self.targets[replica].owner == Some(gate);
        let it = self.unproved.entry(attempt).or_insert(Unproved {
            gate,
            instance,
            replica,
            until_us,
        });
        it.until_us = until_us;
        if owned {
            it.gate = gate;
        }
        if !owned && until_us == 0 && it.gate == gate {
            self.unproved.remove(&attempt);
        }
    }

    /// Whether the target still runs a request that nobody waits for.
    fn runs_on(&self, it: &Unproved) -> bool {
        self.now_us < it.until_us && it.instance == self.targets[it.replica].instance
    }

    /// Requests that take a slot of the target.
    pub fn occupied(&self, replica: usize) -> u32 {
        let runs = self.runs.values().filter(|it| it.replica == replica);
        let late = self.unproved.values();
        let late = late.filter(|it| it.replica == replica && self.runs_on(it));
        (runs.count() + late.count()) as u32
    }

    /// Answers the questions whether requests still run.
    pub fn answer_asked(&mut self) {
        for (gate, attempt) in std::mem::take(&mut self.asked) {
            let Some(it) = self.unproved.get(&attempt).copied() else {
                continue;
            };
            let replica = it.replica;
            let kind = if self.targets[replica].refuses {
                "unreachable"
            } else if self.runs.contains_key(&attempt) || self.runs_on(&it) {
                "cancelled"
            } else {
                "unknown"
            };
            if kind == "unknown" && it.gate == gate {
                self.unproved.remove(&attempt);
            }
            let instance = self.targets[replica].instance;
            let event = GateEvent::PollReply {
                attempt,
                replica: ReplicaKey(replica as u32),
                reply: common::reply(&format!("{kind}@{instance}")),
            };
            self.handle(gate, event);
        }
    }
}
