use crate::engine::Engine;
use crate::engine::Input;
use crate::engine::Submitter;
use wigeonhall_fleet::FleetEvent;
use wigeonhall_gate::GateAction;
use wigeonhall_gate::GateEvent;
use wigeonhall_protocol::HandOverMessage;
use wigeonhall_protocol::Incoming;
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
            self.do_gate_action(now_us, action);
        }
    }

    fn do_gate_action(&mut self, now_us: u64, action: GateAction) {
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
        if self.lost_connections(sub) {
            return;
        }
        let budget_us = sub.deadline_us.saturating_sub(now_us);
        let class = self.catalog.class_name(sub.class);
        let events = self.events.clone();
        self.targets.send(sub, &class, budget_us, move |reply| {
            let event = GateEvent::TargetReply { attempt, reply };
            let _ = events.send(crate::Event::Gate(event));
        });
    }

    /// Whether connections to the replica broke since the gate last heard of it. The
    /// target may have restarted then, so the gate is told that the sub-request was
    /// not sent, and the replica takes work again after a probe, from cold. Without
    /// this the slots of a warm replica start at once at a target that is cold:
    /// connections that break while they are idle end no request.
    fn lost_connections(&mut self, sub: &SubRequest) -> bool {
        let replica = sub.replica;
        let broken = self.targets.replica_counters(replica).broken;
        let known = *self.broken_connections.entry(replica).or_insert(broken);
        if known == broken {
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
        self.pending.push_back(Input::Gate(event));
        // Other sub-requests that the gate starts before it takes the event are not
        // sent either.
        self.pending
            .push_back(Input::BrokenConnections { broken, replica });
        true
    }

    fn respond(&mut self, attempt: AttemptId, outcome: SubOutcome, report: Option<ReplicaReport>) {
        match self.submitted.remove(&attempt) {
            Some(Submitter::Local) => {
                let event = QueryEvent::SubReply {
                    attempt,
                    outcome,
                    report,
                };
                self.pending.push_back(Input::Query(event));
            }
            Some(Submitter::Remote(reply)) => {
                // The receiver is gone if the entry node's call ended.
                let _ = reply.send(SubmitReply { outcome, report });
            }
            None => self.metrics.count("respond_without_submitter"),
        }
    }

    pub(crate) fn take_call(&mut self, call: Incoming) {
        let now_us = self.clock.now_us();
        match call {
            Incoming::Cancel(attempt) => {
                self.pending
                    .push_back(Input::Gate(GateEvent::Cancel(attempt)));
            }
            Incoming::Gossip { from, message } => {
                let from = self.catalog.node(&from);
                let event = FleetEvent::Gossip { from, message };
                self.pending.push_back(Input::Fleet(event));
            }
            Incoming::HandOver(message) => {
                let event = FleetEvent::HandOver {
                    epoch: message.epoch,
                    replica: self.catalog.replica(&message.replica),
                    state: message.state,
                };
                self.pending.push_back(Input::Fleet(event));
            }
            Incoming::Reports(reply) => drop(reply.send(self.named_reports(now_us))),
            Incoming::Submit { message, reply } => {
                let sub = message.into_sub_request(now_us, &mut self.catalog);
                let held = self.submitted.insert(sub.attempt, Submitter::Remote(reply));
                if let Some(held) = held {
                    // The gate holds this attempt already: a repeated message.
                    self.submitted.insert(sub.attempt, held);
                    self.metrics.count("submit_repeated");
                    return;
                }
                self.pending.push_back(Input::Gate(GateEvent::Submit(sub)));
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
