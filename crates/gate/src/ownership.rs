//! Grant, revocation and limits of one replica.

use crate::GateAction;
use crate::latency::Latency;
use crate::replica_gate::Condition;
use crate::replica_gate::ReplicaGate;
use crate::replica_gate::connections;
use crate::replies::ColdCause;
use crate::turn::Turn;
use wigeonhall_types::HandOverState;
use wigeonhall_types::HandedOverRequest;
use wigeonhall_types::NodeKey;
use wigeonhall_types::RampState;
use wigeonhall_types::RefusalReason;
use wigeonhall_types::Replica;
use wigeonhall_types::RoundState;

impl ReplicaGate {
    /// This node becomes owner, or learns more from the previous owner.
    pub(crate) fn grant(&mut self, turn: &mut Turn<'_>, epoch: u64, state: Option<HandOverState>) {
        if epoch < self.epoch {
            turn.counters.stale_ownership += 1;
            return;
        }
        self.epoch = epoch;
        if let Some(state) = &state {
            for request in &state.running {
                // A replica that comes back may still run requests of this node.
                if !self.running.contains_key(&request.attempt) {
                    self.unproved
                        .add(turn.now_us, request.attempt, request.remaining_us);
                }
            }
        }
        if self.owned {
            return;
        }
        self.owned = true;
        self.condition = Condition::Usable;
        self.prober.restart();
        if let Some(state) = state {
            turn.counters.granted_handed_over += 1;
            self.adopt(turn.now_us, state);
        } else {
            turn.counters.granted_cold += 1;
            self.forget();
        }
        if !self.out {
            self.open_connections(turn);
        }
    }

    /// This node is no longer owner.
    pub(crate) fn revoke(&mut self, turn: &mut Turn<'_>, epoch: u64, successor: Option<NodeKey>) {
        if epoch < self.epoch || !self.owned {
            turn.counters.stale_ownership += 1;
            return;
        }
        turn.counters.revoked += 1;
        self.epoch = epoch;
        self.owned = false;
        self.refuse_waiting(turn, RefusalReason::NotOwner, 0);
        // Without a successor the next owner starts only after the lease.
        let state = self.hand_over_state(turn.now_us);
        if let Some(to) = successor {
            turn.counters.handed_over += 1;
            turn.actions.push(GateAction::HandOver {
                epoch,
                replica: self.key,
                state,
                to,
            });
        }
        turn.actions.push(GateAction::CloseConnections(self.key));
    }

    /// Takes the limits of a deployment; `spec` is `None` if it does not hold
    /// the replica.
    pub(crate) fn deploy(&mut self, turn: &mut Turn<'_>, spec: Option<Replica>, out: bool) {
        let was_out = std::mem::replace(&mut self.out, out);
        let old = self.spec;
        self.spec = spec.or(old);
        let Some(new) = spec else {
            self.close_if_out(turn, was_out);
            return;
        };
        self.ramp.set_bound(new.cold);
        if old.is_none_or(|old| old.address != new.address) {
            self.forget();
        }
        let raised = old.is_some_and(|old| old.cold.requests_per_s < new.cold.requests_per_s);
        if raised && !self.ramp.is_cold() {
            // The window holds fewer starts than the new rate needs.
            self.window.fill(turn.now_us, new.cold.requests_per_s);
        }
        if !self.owned || out {
            self.close_if_out(turn, was_out);
            return;
        }
        if was_out {
            self.turn_cold(turn, ColdCause::Returned);
            self.prober.request(turn.now_us);
        }
        let moved = old
            .is_none_or(|old| old.address != new.address || connections(&old) != connections(&new));
        if was_out || moved {
            self.open_connections(turn);
        }
    }

    fn close_if_out(&self, turn: &mut Turn<'_>, was_out: bool) {
        if self.owned && self.out && !was_out {
            turn.actions.push(GateAction::CloseConnections(self.key));
        }
    }

    /// Continues with what the previous owner knew.
    fn adopt(&mut self, now_us: u64, state: HandOverState) {
        self.ramp.adopt(now_us, state.ramp);
        self.window.adopt(now_us, state.starts);
        if state.leaving {
            self.condition = Condition::Leaving;
        }
        self.latency = Latency::handed_over(now_us, state.service_us);
        self.instance = state.instance;
        self.replaced = None;
        self.served_us = (!state.served.is_empty()).then_some(now_us);
        self.served = state.served;
    }

    /// Treats the target as one that nothing is known about.
    fn forget(&mut self) {
        self.ramp.reset();
        self.latency = Latency::default();
        self.instance = None;
        self.replaced = None;
        self.served.clear();
        self.served_us = None;
    }

    fn hand_over_state(&mut self, now_us: u64) -> HandOverState {
        let mut running = self.unproved.hand_over(now_us);
        let own = self.running.iter();
        running.extend(own.map(|(&attempt, it)| HandedOverRequest {
            attempt,
            remaining_us: it.deadline_us.saturating_sub(now_us),
        }));
        HandOverState {
            instance: self.instance,
            leaving: self.condition == Condition::Leaving,
            ramp: if self.out {
                // What comes back from out starts cold.
                RampState::Cold {
                    level: 0,
                    round: RoundState::default(),
                }
            } else {
                self.ramp.state(now_us)
            },
            running,
            served: self.served.clone(),
            service_us: self.latency.handed_over_us(),
            starts: self.window.state(now_us),
        }
    }
}
