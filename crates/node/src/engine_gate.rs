//! Carries out the actions of the gate core, which decides on the requests to replicas that this
//! node owns, and handles calls from other nodes. An epoch is the version of the ownership table,
//! which names the owner of each replica.

use crate::engine::Engine;
use crate::engine::EngineInput;
use crate::engine::ResultReceiver;
use wigeonhall_fleet::FleetEvent;
use wigeonhall_gate::GateAction;
use wigeonhall_gate::GateEvent;
use wigeonhall_protocol::HandOverMessage;
use wigeonhall_protocol::IncomingCall;
use wigeonhall_protocol::NamedReport;
use wigeonhall_protocol::SubmitReply;
use wigeonhall_query::QueryEvent;
use wigeonhall_types::AttemptId;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::ReplicaReport;
use wigeonhall_types::SubOutcome;
use wigeonhall_types::SubRequest;
use wigeonhall_types::TargetOutcome;
use wigeonhall_types::TargetReply;

impl Engine {
    pub(crate) fn run_gate(&mut self, now_us: u64, event: GateEvent) {
        let mut actions = Vec::new();
        self.gate.handle(now_us, event, &mut actions);
        for action in actions {
            self.perform_gate_action(now_us, action);
        }
    }

    fn perform_gate_action(&mut self, now_us: u64, action: GateAction) {
        match action {
            GateAction::PollEnd { attempt, replica } => self.poll_end(replica, attempt),
            GateAction::CancelAtTarget { attempt, replica } => {
                self.targets.cancel(replica, attempt);
            }
            GateAction::CloseConnections(replica) => self.targets.close(replica),
            GateAction::HandOver {
                epoch,
                replica,
                state,
                to,
            } => {
                let replica = self.catalog.replica_name(replica);
                let message = HandOverMessage {
                    epoch,
                    replica,
                    state,
                };
                self.peers.hand_over(to, message);
            }
            GateAction::OpenConnections { count, replica } => {
                if let Some(it) = self.deployment.replicas.get(&replica) {
                    self.targets.open(replica, it.address, count);
                }
            }
            GateAction::Probe(replica) => self.probe(replica),
            GateAction::Respond {
                attempt,
                outcome,
                report,
            } => self.respond(attempt, outcome, report),
            GateAction::Send(sub) => self.send_to_target(now_us, &sub),
        }
    }

    /// Asks the target to stop a request that it may still run.
    fn poll_end(&self, replica: ReplicaKey, attempt: AttemptId) {
        let events = self.events.clone();
        self.targets.poll_end(replica, attempt, move |reply| {
            let event = GateEvent::PollReply {
                attempt,
                replica,
                reply,
            };
            let _ = events.send(crate::Event::Gate(event));
        });
    }

    fn probe(&self, replica: ReplicaKey) {
        let events = self.events.clone();
        self.targets.probe(replica, move |reply| {
            let event = GateEvent::ProbeReply { replica, reply };
            let _ = events.send(crate::Event::Gate(event));
        });
    }

    fn send_to_target(&mut self, now_us: u64, sub: &SubRequest) {
        let attempt = sub.attempt;
        if self.report_broken_connections(sub) {
            return;
        }
        let remaining_us = sub.deadline_us.saturating_sub(now_us);
        let class = self.catalog.class_name(sub.class);
        let events = self.events.clone();
        self.targets.send(sub, &class, remaining_us, move |reply| {
            let event = GateEvent::TargetReply { attempt, reply };
            let _ = events.send(crate::Event::Gate(event));
        });
    }

    /// Reports the target as unreachable to the gate core, instead of sending the sub-request, if
    /// connections to it broke since the last such report. Returns whether they did.
    ///
    /// The target may have restarted, so the replica gets requests again only after a probe and
    /// with a cold start, that is, under lower limits. If connections break while idle, no request
    /// fails; without this check the gate core would start requests in all slots of the replica at
    /// once, at a cold target.
    fn report_broken_connections(&mut self, sub: &SubRequest) -> bool {
        let replica = sub.replica;
        let broken = self.targets.replica_counters(replica).broken;
        let reported = *self
            .reported_broken_connections
            .entry(replica)
            .or_insert(broken);
        if reported == broken {
            return false;
        }
        self.metrics.count("unsent_after_connection_loss");
        let event = GateEvent::TargetReply {
            attempt: sub.attempt,
            reply: TargetReply {
                instance: None,
                outcome: TargetOutcome::Unreachable,
                served: Vec::new(),
            },
        };
        self.pending_inputs.push_back(EngineInput::Gate(event));
        // The count is updated after the event, so that sub-requests that the gate core
        // starts before it processes the event are not sent either.
        self.pending_inputs
            .push_back(EngineInput::BrokenConnections { broken, replica });
        true
    }

    /// Sends the result of a sub-request to the node that submitted it.
    fn respond(&mut self, attempt: AttemptId, outcome: SubOutcome, report: Option<ReplicaReport>) {
        match self.result_receivers.remove(&attempt) {
            Some(ResultReceiver::Local) => {
                let event = QueryEvent::SubReply {
                    attempt,
                    outcome,
                    report,
                };
                self.pending_inputs.push_back(EngineInput::Query(event));
            }
            Some(ResultReceiver::Remote(reply)) => {
                // Sending fails if the call of the other node has ended.
                let _ = reply.send(SubmitReply { outcome, report });
            }
            None => self.metrics.count("respond_without_submitter"),
        }
    }

    pub(crate) fn handle_call(&mut self, call: IncomingCall) {
        let now_us = self.clock.now_us();
        match call {
            IncomingCall::Cancel(attempt) => {
                self.pending_inputs
                    .push_back(EngineInput::Gate(GateEvent::Cancel(attempt)));
            }
            IncomingCall::Gossip { from, message } => {
                let from = self.catalog.node(&from);
                let event = FleetEvent::Gossip { from, message };
                self.pending_inputs.push_back(EngineInput::Fleet(event));
            }
            IncomingCall::HandOver(message) => {
                let event = FleetEvent::HandOver {
                    epoch: message.epoch,
                    replica: self.catalog.replica(&message.replica),
                    state: message.state,
                };
                self.pending_inputs.push_back(EngineInput::Fleet(event));
            }
            IncomingCall::Reports(reply) => drop(reply.send(self.named_reports(now_us))),
            IncomingCall::Submit { message, reply } => {
                let sub = message.into_sub_request(now_us, &mut self.catalog);
                let earlier = self
                    .result_receivers
                    .insert(sub.attempt, ResultReceiver::Remote(reply));
                if let Some(earlier) = earlier {
                    // The message is a duplicate: the gate core has this sub-request already.
                    self.result_receivers.insert(sub.attempt, earlier);
                    self.metrics.count("submit_repeated");
                    return;
                }
                self.pending_inputs
                    .push_back(EngineInput::Gate(GateEvent::Submit(sub)));
            }
        }
    }

    fn named_reports(&self, now_us: u64) -> Vec<NamedReport> {
        let reports = self.gate.reports(now_us).into_iter();
        let named = reports.map(|(replica, report)| NamedReport {
            replica: self.catalog.replica_name(replica),
            report,
        });
        named.collect()
    }
}
