//! Grants and revocations of one replica, and changes of its entry in the deployment.

use crate::GateAction;
use crate::context::EventContext;
use crate::latency::LatencyEstimate;
use crate::replica_gate::Health;
use crate::replica_gate::ReplicaGate;
use crate::replica_gate::connections;
use crate::target_replies::ColdCause;
use wigeonhall_types::HandOverState;
use wigeonhall_types::HandedOverRequest;
use wigeonhall_types::NodeKey;
use wigeonhall_types::RampState;
use wigeonhall_types::RefusalReason;
use wigeonhall_types::Replica;
use wigeonhall_types::RoundState;

impl ReplicaGate {
    /// Makes this node the owner. If it is the owner already, only adds the running requests
    /// that a hand-over which arrived later lists.
    pub(crate) fn grant(
        &mut self,
        cx: &mut EventContext<'_>,
        epoch: u64,
        state: Option<HandOverState>,
    ) {
        if epoch < self.epoch {
            cx.counters.stale_ownership += 1;
            return;
        }
        self.epoch = epoch;
        if let Some(state) = &state {
            for request in &state.running {
                // If the replica returns to this node, some of the listed requests may be its
                // own.
                if !self.running.contains_key(&request.attempt) {
                    self.unconfirmed
                        .add(cx.now_us, request.attempt, request.remaining_us);
                }
            }
        }
        if self.owned {
            return;
        }
        self.owned = true;
        self.health = Health::Usable;
        self.prober.restart();
        if let Some(state) = state {
            cx.counters.granted_handed_over += 1;
            self.restore(cx.now_us, state);
        } else {
            cx.counters.granted_cold += 1;
            self.reset_target();
        }
        if !self.out_of_service {
            self.open_connections(cx);
        }
    }

    /// Ends the ownership of this node and hands the state over to `successor`.
    pub(crate) fn revoke(
        &mut self,
        cx: &mut EventContext<'_>,
        epoch: u64,
        successor: Option<NodeKey>,
    ) {
        if epoch < self.epoch || !self.owned {
            cx.counters.stale_ownership += 1;
            return;
        }
        cx.counters.revoked += 1;
        self.epoch = epoch;
        self.owned = false;
        self.refuse_all_waiting(cx, RefusalReason::NotOwner, 0);
        // Without a successor no state is sent, and the next owner starts requests only after
        // the lease of this node has ended.
        let state = self.hand_over_state(cx.now_us);
        if let Some(to) = successor {
            cx.counters.handed_over += 1;
            cx.actions.push(GateAction::HandOver {
                epoch,
                replica: self.key,
                state,
                to,
            });
        }
        cx.actions.push(GateAction::CloseConnections(self.key));
    }

    /// Applies the limits of a deployment; `spec` is `None` if the deployment lacks the
    /// replica.
    pub(crate) fn set_spec(
        &mut self,
        cx: &mut EventContext<'_>,
        spec: Option<Replica>,
        out_of_service: bool,
    ) {
        let was_out_of_service = std::mem::replace(&mut self.out_of_service, out_of_service);
        let old = self.spec;
        self.spec = spec.or(old);
        let Some(new) = spec else {
            self.close_if_taken_out_of_service(cx, was_out_of_service);
            return;
        };
        self.ramp.set_cold_bound(new.cold);
        if old.is_none_or(|old| old.address != new.address) {
            self.reset_target();
        }
        let raised = old.is_some_and(|old| old.cold.requests_per_s < new.cold.requests_per_s);
        if raised && !self.ramp.is_cold() {
            // `starts` keeps only as many starts as the old rate allows in a second. Those that
            // it dropped are assumed to have happened now.
            self.starts
                .assume_starts(cx.now_us, new.cold.requests_per_s);
        }
        if !self.owned || out_of_service {
            self.close_if_taken_out_of_service(cx, was_out_of_service);
            return;
        }
        if was_out_of_service {
            self.set_cold(cx, ColdCause::ReturnedToService);
            self.prober.schedule_now(cx.now_us);
        }
        let connections_changed = old
            .is_none_or(|old| old.address != new.address || connections(&old) != connections(&new));
        if was_out_of_service || connections_changed {
            self.open_connections(cx);
        }
    }

    /// Closes the connections if this node owns the replica and the replica has just gone out
    /// of service or left the deployment; `out_of_service` is true in both cases.
    fn close_if_taken_out_of_service(&self, cx: &mut EventContext<'_>, was_out_of_service: bool) {
        if self.owned && self.out_of_service && !was_out_of_service {
            cx.actions.push(GateAction::CloseConnections(self.key));
        }
    }

    /// Restores the state that the previous owner handed over.
    fn restore(&mut self, now_us: u64, state: HandOverState) {
        self.ramp.restore(now_us, state.ramp);
        self.starts.restore(now_us, state.starts);
        if state.leaving {
            self.health = Health::Draining;
        }
        self.latency = LatencyEstimate::from_hand_over(now_us, state.service_us);
        self.instance = state.instance;
        self.previous_instance = None;
        self.served_at_us = (!state.served.is_empty()).then_some(now_us);
        self.served = state.served;
    }

    /// Drops everything that is known about the target.
    fn reset_target(&mut self) {
        self.ramp.reset();
        self.latency = LatencyEstimate::default();
        self.instance = None;
        self.previous_instance = None;
        self.served.clear();
        self.served_at_us = None;
    }

    fn hand_over_state(&mut self, now_us: u64) -> HandOverState {
        let mut running = self.unconfirmed.take_all(now_us);
        let own_requests = self.running.iter();
        running.extend(own_requests.map(|(&attempt, it)| HandedOverRequest {
            attempt,
            remaining_us: it.deadline_us.saturating_sub(now_us),
        }));
        HandOverState {
            instance: self.instance,
            leaving: self.health == Health::Draining,
            ramp: if self.out_of_service {
                // A replica starts cold when it returns to service.
                RampState::Cold {
                    level: 0,
                    round: RoundState::default(),
                }
            } else {
                self.ramp.snapshot(now_us)
            },
            running,
            served: self.served.clone(),
            service_us: self.latency.hand_over_us(),
            starts: self.starts.snapshot(now_us),
        }
    }
}
