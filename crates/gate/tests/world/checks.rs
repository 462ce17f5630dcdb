//! Checks each action of a gate and the waiting sub-requests.

use super::REPLICA_LIMITS;
use super::Run;
use super::World;
use crate::common::SECOND;
use wigeonhall_gate::GateAction;
use wigeonhall_types::ClassKey;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::ReplicaState;
use wigeonhall_types::SubRequest;
use wigeonhall_types::Verdict;

/// Replies after which the target cannot have run the request.
const NOT_RUN: [&str; 4] = ["draining", "gone", "shed", "unreachable"];

impl World {
    /// Checks an action and applies its effect on the simulated targets.
    pub fn check(&mut self, gate: usize, action: GateAction) {
        match action {
            GateAction::Send(request) => self.check_send(gate, &request),
            GateAction::Respond {
                attempt,
                outcome,
                report,
            } => {
                let (request, _, sent) = self.open.remove(&attempt).expect("answered twice");
                let owned = self.targets[request.replica.index()].owner == Some(gate);
                assert_eq!(report.is_some(), owned);
                let reply = self.replies.get(&attempt);
                match outcome.verdict() {
                    Verdict::Ran => assert_eq!(reply, Some(&"ok")),
                    Verdict::MayHaveRun => assert!(sent, "failed, but never sent"),
                    Verdict::NotRun => {
                        let not_run = reply.is_some_and(|it| NOT_RUN.contains(it));
                        assert!(!sent || not_run, "refused, but sent");
                    }
                }
            }
            GateAction::PollEnd { attempt, .. } => {
                let it = self.unconfirmed.get(&attempt);
                assert!(
                    it.is_some_and(|it| it.gate == gate),
                    "poll about a request that is not unconfirmed"
                );
                self.pending_polls.push((gate, attempt));
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
                self.targets[replica.index()].pending_hand_over = Some((to.index(), epoch, state));
            }
            GateAction::Probe(replica) => {
                let probe = &mut self.targets[replica.index()].probe_sent_at[gate];
                *probe = Some(self.event_index);
            }
            GateAction::CloseConnections(_) | GateAction::OpenConnections { .. } => {}
        }
    }

    fn check_send(&mut self, gate: usize, request: &SubRequest) {
        let replica = request.replica.index();
        let (slots, bound) = REPLICA_LIMITS[replica];
        let target = &mut self.targets[replica];
        assert_eq!(target.owner, Some(gate), "started without ownership");
        assert!(
            self.now_us < self.lease_until_us[gate],
            "started without a lease"
        );
        assert!(!target.out, "started although out of service");
        assert_eq!(
            target.rejecting_since, None,
            "started although draining or unreachable"
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
            started_at: self.event_index,
        };
        self.runs.insert(request.attempt, run);
        target.starts_us.push(self.now_us);
        let running = self.occupied_slots(replica);
        let target = &self.targets[replica];
        assert!(running <= slots, "{running} of {slots} slots");
        // A doubling takes at least as many successes as may run at once: `bound.slots` for the
        // first, twice as many for the second, and so on.
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

    /// Checks that no sub-request is held past its deadline, and that none waits while a slot
    /// is free.
    pub fn check_waiting(&self) {
        for (request, _, _) in self.open.values() {
            assert!(self.now_us < request.deadline_us, "held past its deadline");
        }
        for (replica, target) in self.targets.iter().enumerate() {
            let Some(gate) = target.owner else { continue };
            let key = ReplicaKey(replica as u32);
            let mut reports = self.gates[gate].reports(self.now_us).into_iter();
            let (_, report) = reports
                .find(|it| it.0 == key)
                .expect("the owner reports the replica");
            let is_waiting = |class| {
                let waiting = self.open.values().filter(|open| !open.2);
                let mut requests = waiting.map(|open| &open.0);
                requests.any(|it| it.replica == key && it.class == ClassKey(class))
            };
            let runs = self.runs.values().filter(|run| run.replica == replica);
            let own_requests = runs.filter(|run| run.gate == gate).collect::<Vec<_>>();
            let unconfirmed = self.unconfirmed.values();
            let unconfirmed = unconfirmed.filter(|it| it.replica == replica && it.gate == gate);
            let slots = REPLICA_LIMITS[replica].0;
            let free = slots.saturating_sub((own_requests.len() + unconfirmed.count()) as u32);
            if report.state != ReplicaState::Warm || free == 0 || target.allowance_may_be_reduced {
                continue;
            }
            for class in 0..2 {
                let taken = own_requests
                    .iter()
                    .filter(|run| run.class == ClassKey(class))
                    .count();
                let capped = is_waiting(1 - class) && taken as u32 >= (slots / 2).max(1);
                assert!(
                    !is_waiting(class) || capped,
                    "class {class} waits for a free slot"
                );
            }
        }
    }
}
