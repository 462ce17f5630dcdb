//! Grant, revocation and limits of one replica.

use crate::GateAction;
use crate::latency::Latency;
use crate::replica_gate::Condition;
use crate::replica_gate::ReplicaGate;
use crate::replica_gate::connections;
use crate::replies::ColdCause;
use crate::turn::Turn;
use wigeonhall_types::HandOverState;
use wigeonhall_types::NodeKey;
use wigeonhall_types::RefusalReason;
use wigeonhall_types::Replica;

/// Added to the latest deadline of the running requests in a hand-over: time for
/// the target to stop at the deadline and for the reply to arrive.
const HAND_OVER_MARGIN_US: u64 = 250_000;

impl ReplicaGate {
    /// This node becomes owner, or learns more from the previous owner.
    pub(crate) fn grant(&mut self, turn: &mut Turn<'_>, epoch: u64, state: Option<HandOverState>) {
        if epoch < self.epoch {
            turn.counters.stale_ownership += 1;
            return;
        }
        self.epoch = epoch;
        if let Some(state) = &state {
            self.inherited.add(turn.now_us, state);
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
        if let Some(to) = successor {
            turn.counters.handed_over += 1;
            turn.actions.push(GateAction::HandOver {
                epoch,
                replica: self.key,
                state: self.hand_over_state(turn.now_us),
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
        let bound = self.bound();
        self.ramp.hand_over(self.slots(), state.allowance);
        // The starts of the previous owner within the last second are not known.
        let rate = self.ramp.rate().unwrap_or(bound.requests_per_s);
        self.window.fill(now_us, rate.max(bound.requests_per_s));
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
        let inherited = std::mem::take(&mut self.inherited);
        let deadlines = self.running.values().map(|running| running.deadline_us);
        let mut until_us = deadlines.max().map_or(0, |deadline_us| {
            deadline_us.max(now_us).saturating_add(HAND_OVER_MARGIN_US)
        });
        if inherited.running(now_us) > 0 {
            until_us = until_us.max(inherited.until_us());
        }
        let usable = self.condition == Condition::Usable && !self.out;
        HandOverState {
            allowance: if usable {
                self.ramp.allowance(self.slots())
            } else {
                0
            },
            instance: self.instance,
            running: self.running.len() as u32 + inherited.running(now_us),
            running_for_us: until_us.saturating_sub(now_us),
            served: self.served.clone(),
            service_us: self.latency.handed_over_us(),
        }
    }
}
