//! Simulates the replies of targets, and tracks what the owners know from them.

use super::MAX_LATE_US;
use super::UnconfirmedRequest;
use super::World;
use crate::common;
use wigeonhall_gate::GateEvent;
use wigeonhall_types::AttemptId;
use wigeonhall_types::HandOverState;
use wigeonhall_types::ReplicaKey;

impl World {
    pub fn target_reply(&mut self, attempt: AttemptId, kind: &'static str) {
        let run = self.runs.remove(&attempt).expect("running");
        self.replies.insert(attempt, kind);
        let reply = common::reply(&format!("{kind}@{}", run.instance));
        if ["lost", "timeout"].contains(&kind) {
            self.record_missing_reply(attempt, run.replica, run.gate, run.instance);
        }
        let target = &mut self.targets[run.replica];
        if target.owner == Some(run.gate) {
            let is_current = run.started_at > target.cold_since;
            match kind {
                "ok" if is_current => target.successes += 1,
                "shed" | "bad" => target.allowance_may_be_reduced = true,
                "draining" if reply.instance == target.known_instance => {
                    target.rejecting_since = Some(self.event_index + 1);
                }
                "unreachable" if is_current => target.rejecting_since = Some(self.event_index + 1),
                _ => {}
            }
            if is_current && ["lost", "unreachable"].contains(&kind) {
                self.set_cold(run.replica);
            }
            self.update_known_instance(run.replica, reply.instance, is_current);
        }
        self.handle(run.gate, GateEvent::TargetReply { attempt, reply });
    }

    /// Records an instance identity that the owner received; a change to the present one makes
    /// the replica cold. If the owner knows no identity, it ignores replies to requests sent
    /// before the cold start.
    fn update_known_instance(&mut self, replica: usize, instance: Option<u64>, is_current: bool) {
        let target = &mut self.targets[replica];
        let is_current = is_current || target.known_instance.is_some();
        if is_current && instance == Some(target.instance) && target.known_instance != instance {
            let cold = target.known_instance.is_some();
            target.known_instance = instance;
            if cold {
                self.set_cold(replica);
            }
        }
    }

    pub fn probe_reply(&mut self, gate: usize, replica: usize) {
        let target = &mut self.targets[replica];
        let Some(sent) = target.probe_sent_at[gate].take() else {
            return;
        };
        let cold_since = target.cold_since;
        let kind = match (target.refuses_connections, target.is_draining) {
            (true, _) => "unreachable",
            (_, true) => "draining",
            _ => "ok",
        };
        let reply = common::reply(&format!("{kind}@{}", target.instance));
        if target.owner == Some(gate) {
            if target.refuses_connections || target.is_draining {
                target.rejecting_since = Some(self.event_index + 1);
            } else if target
                .rejecting_since
                .is_some_and(|rejecting_since| rejecting_since < sent)
            {
                target.rejecting_since = None;
            }
            if target.refuses_connections {
                self.set_cold(replica);
            }
            self.update_known_instance(replica, reply.instance, sent > cold_since);
        }
        let replica = ReplicaKey(replica as u32);
        self.handle(gate, GateEvent::ProbeReply { replica, reply });
    }

    /// Assigns the unconfirmed requests of a replica to its new owner: its own and those that
    /// the previous owner handed over.
    pub fn take_over_unconfirmed(
        &mut self,
        gate: usize,
        replica: usize,
        state: Option<&HandOverState>,
    ) {
        self.unconfirmed
            .retain(|_, it| it.replica != replica || it.gate == gate || state.is_some());
        for handed_over in state.map_or(&[][..], |it| &it.running) {
            let run = self.runs.get(&handed_over.attempt);
            if run.is_some_and(|it| it.gate == gate) {
                self.unconfirmed.remove(&handed_over.attempt);
                continue;
            }
            let instance = run.map_or(self.targets[replica].instance, |it| it.instance);
            let it = self
                .unconfirmed
                .entry(handed_over.attempt)
                .or_insert(UnconfirmedRequest {
                    gate,
                    instance,
                    replica,
                    runs_until_us: 0,
                });
            it.gate = gate;
        }
    }

    /// Records a request whose sender got no reply. In one of three cases the target still runs
    /// it.
    fn record_missing_reply(
        &mut self,
        attempt: AttemptId,
        replica: usize,
        gate: usize,
        instance: u64,
    ) {
        let late = attempt.sequence.is_multiple_of(3);
        let late_us = attempt.sequence * 7_919_017 % MAX_LATE_US;
        let runs_until_us = if late { self.now_us + late_us } else { 0 };
        let owned = self.targets[replica].owner == Some(gate);
        let it = self
            .unconfirmed
            .entry(attempt)
            .or_insert(UnconfirmedRequest {
                gate,
                instance,
                replica,
                runs_until_us,
            });
        it.runs_until_us = runs_until_us;
        if owned {
            it.gate = gate;
        }
        if !owned && runs_until_us == 0 && it.gate == gate {
            self.unconfirmed.remove(&attempt);
        }
    }

    /// Returns whether the target still runs a request without a waiting sender.
    fn still_runs(&self, it: &UnconfirmedRequest) -> bool {
        self.now_us < it.runs_until_us && it.instance == self.targets[it.replica].instance
    }

    /// Returns the number of occupied slots of the target.
    pub fn occupied_slots(&self, replica: usize) -> u32 {
        let runs = self.runs.values().filter(|it| it.replica == replica);
        let unconfirmed = self.unconfirmed.values();
        let unconfirmed = unconfirmed.filter(|it| it.replica == replica && self.still_runs(it));
        (runs.count() + unconfirmed.count()) as u32
    }

    /// Answers the polls whether requests still run.
    pub fn answer_polls(&mut self) {
        for (gate, attempt) in std::mem::take(&mut self.pending_polls) {
            let Some(it) = self.unconfirmed.get(&attempt).copied() else {
                continue;
            };
            let replica = it.replica;
            let kind = if self.targets[replica].refuses_connections {
                "unreachable"
            } else if self.runs.contains_key(&attempt) || self.still_runs(&it) {
                "cancelled"
            } else {
                "unknown"
            };
            if kind == "unknown" && it.gate == gate {
                self.unconfirmed.remove(&attempt);
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
