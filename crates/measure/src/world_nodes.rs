//! Runs the query and gate cores of the nodes and delivers the messages between them.

use crate::TraceEvent;
use crate::World;
use crate::load;
use crate::shards;
use crate::world::Event;
use crate::world::OpenQuery;
use wigeonhall_gate::GateAction;
use wigeonhall_gate::GateEvent;
use wigeonhall_query::AnswerStatus;
use wigeonhall_query::CoverageDemand;
use wigeonhall_query::QueryAction;
use wigeonhall_query::QueryEvent;
use wigeonhall_query::QueryId;
use wigeonhall_query::ReadQuery;
use wigeonhall_types::ClassKey;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::KeyRange;
use wigeonhall_types::NodeKey;

impl World {
    pub(crate) fn handle_arrival(&mut self, now_us: u64, class: ClassKey) {
        let next_us = now_us + load::next_arrival_us(&mut self.arrivals, self.rates[&class]);
        self.events.push(next_us, Event::Arrival(class));
        let nodes: Vec<NodeKey> = self
            .nodes
            .iter()
            .filter(|(key, node)| {
                !self.lost.contains(key) && !self.out_since_us.contains_key(&node.data_centre)
            })
            .map(|(&key, _)| key)
            .collect();
        let node = nodes[self.arrivals.usize(..nodes.len())];
        let counted = now_us >= self.measure_from_us;
        if counted {
            self.result.classes.entry(class).or_default().offered += 1;
        }
        let id = QueryId(self.next_query);
        self.next_query += 1;
        let open = OpenQuery {
            class,
            counted,
            entry: Some(node),
            started_us: now_us,
        };
        self.open_queries.insert(id, open);
        let at_us = now_us + self.network.caller_us;
        let read = ReadQuery {
            class,
            deadline_us: at_us + self.deployment.classes[&class].deadline_ms * 1_000,
            demand: CoverageDemand::Full,
            id,
            range: KeyRange::WHOLE,
        };
        self.events
            .push(at_us, Event::Query(node, QueryEvent::Read(read)));
    }

    pub(crate) fn feed_query(&mut self, now_us: u64, key: NodeKey, event: QueryEvent) {
        let Some(node) = self.nodes.get_mut(&key) else {
            return;
        };
        if let (QueryEvent::SubReply { attempt, .. }, Some(trace)) = (&event, &mut self.trace) {
            trace.replied(now_us, *attempt);
        }
        let mut actions = Vec::new();
        node.coordinator.handle(now_us, event, &mut actions);
        for action in actions {
            self.apply_query_action(now_us, key, action);
        }
        self.schedule_wake(now_us, key);
    }

    pub(crate) fn apply_query_action(&mut self, now_us: u64, from: NodeKey, action: QueryAction) {
        match action {
            QueryAction::Answer { id, answer } => {
                self.record_answer(now_us, id, &answer);
                self.record(now_us, || TraceEvent::Answered(from, id, answer));
            }
            QueryAction::AskReports(to) => {
                self.send(now_us, from, to, Event::ReportRequest { from, to });
            }
            QueryAction::Cancel { attempt, node } => {
                self.send(now_us, from, node, Event::Cancel(node, attempt));
            }
            QueryAction::Send { node: to, sub } => {
                self.trace_send(now_us, from, &sub);
                self.send(now_us, from, to, Event::Submit { from, to, sub });
            }
            // Only sessions have writes; a measured run has reads alone.
            QueryAction::CreateClaim { claim, id } => {
                self.call_store(now_us, from, id, claim, None);
            }
            QueryAction::UpdateClaim { claim, id, version } => {
                self.call_store(now_us, from, id, claim, Some(version));
            }
        }
    }

    pub(crate) fn record_answer(
        &mut self,
        now_us: u64,
        id: QueryId,
        answer: &wigeonhall_query::Answer,
    ) {
        let Some(open) = self.open_queries.remove(&id) else {
            return;
        };
        self.trace_answer(now_us, id, &open, answer.status);
        if !open.counted {
            return;
        }
        let latency_us = now_us + self.network.caller_us - open.started_us;
        let stats = self.result.classes.entry(open.class).or_default();
        match answer.status {
            AnswerStatus::Whole => {
                stats.latencies_us.push(latency_us);
                let snapshot = answer.snapshot.unwrap_or(IndexVersion(0));
                let covers =
                    answer.coverage.absent.is_empty() && answer.coverage.read == [KeyRange::WHOLE];
                if !covers || answer.rows != shards::rows(KeyRange::WHOLE, snapshot) {
                    stats.wrong += 1;
                }
            }
            AnswerStatus::Partial => stats.partial += 1,
            AnswerStatus::Refused(_) | AnswerStatus::Failed(_) => {
                let ending = format!("{:?} {:?}", answer.status, answer.verdict);
                *stats.endings.entry(ending).or_default() += 1;
                if matches!(answer.status, AnswerStatus::Refused(_)) {
                    let at_node_us = latency_us - 2 * self.network.caller_us;
                    stats.max_refusal_us = stats.max_refusal_us.max(at_node_us);
                }
            }
        }
    }

    pub(crate) fn feed_gate(&mut self, now_us: u64, key: NodeKey, event: GateEvent) {
        let Some(node) = self.nodes.get_mut(&key) else {
            return;
        };
        let mut actions = Vec::new();
        node.gate.handle(now_us, event, &mut actions);
        for action in actions {
            self.apply_gate_action(now_us, key, action);
        }
        self.schedule_wake(now_us, key);
    }

    pub(crate) fn apply_gate_action(&mut self, now_us: u64, key: NodeKey, action: GateAction) {
        match action {
            GateAction::PollEnd { attempt, replica } => {
                self.record(now_us, || TraceEvent::EndPolled(key, replica, attempt));
                let at_us = now_us + self.network.within_us;
                self.events
                    .push(at_us, Event::PollEnd(key, replica, attempt));
            }
            GateAction::CancelAtTarget { attempt, replica } => {
                self.record(now_us, || {
                    TraceEvent::CancelledAtTarget(key, replica, attempt)
                });
                let at_us = now_us + self.network.within_us;
                self.events
                    .push(at_us, Event::CancelAtTarget(replica, attempt));
            }
            GateAction::Probe(replica) => {
                let at_us = now_us + self.network.within_us;
                self.events.push(at_us, Event::Probe(key, replica));
            }
            GateAction::Respond {
                attempt,
                outcome,
                report,
            } => {
                let node = self.nodes.get_mut(&key);
                let Some(to) = node.and_then(|node| node.submitters.remove(&attempt)) else {
                    return;
                };
                if let Some(trace) = &mut self.trace {
                    let state = report.as_ref().map(|it| it.state);
                    trace.responded(now_us, attempt, &outcome, state);
                }
                let reply = QueryEvent::SubReply {
                    attempt,
                    outcome,
                    report,
                };
                self.send(now_us, key, to, Event::Query(to, reply));
            }
            GateAction::Send(sub) => {
                self.record(now_us, || TraceEvent::SentToTarget(key, sub.clone()));
                if let Some(trace) = &mut self.trace {
                    trace.started(now_us, sub.attempt);
                }
                let at_us = now_us + self.network.within_us;
                self.events.push(at_us, Event::TargetStart(key, sub));
            }
            // Hand-overs take place in sessions and after a node is replaced.
            GateAction::HandOver {
                epoch,
                replica,
                state,
                to,
            } => self.hand_over(now_us, key, to, epoch, replica, state),
            // Fake targets do not model connections, so they are only counted.
            GateAction::CloseConnections(replica) => {
                self.record(now_us, || TraceEvent::Connected(key, replica, 0));
            }
            GateAction::OpenConnections { count, replica } => {
                if now_us >= self.measure_from_us {
                    self.result.traffic.connections_opened += u64::from(count);
                }
                let highest = &mut self.result.traffic.max_target_connections;
                *highest = (*highest).max(count);
                self.record(now_us, || TraceEvent::Connected(key, replica, count));
            }
        }
    }

    /// Sends a message to a node, with the network delay between the two.
    fn send(&mut self, now_us: u64, from: NodeKey, to: NodeKey, event: Event) {
        let at_us = now_us + self.node_delay_us(from, to);
        if from != to && now_us >= self.measure_from_us {
            self.result.traffic.messages += 1;
        }
        if self.session.is_some() {
            self.send_in_session(now_us, at_us, from, to, event);
        } else {
            self.events.push(at_us, event);
        }
    }

    pub(crate) fn node_delay_us(&self, from: NodeKey, to: NodeKey) -> u64 {
        if from == to {
            return 0;
        }
        let data_centre = |node: NodeKey| self.nodes[&node].data_centre;
        self.network.delay_us(data_centre(from), data_centre(to))
    }

    pub(crate) fn schedule_wake(&mut self, now_us: u64, key: NodeKey) {
        let Some(node) = self.nodes.get_mut(&key) else {
            return;
        };
        let wakes = [node.coordinator.next_wake_us(), node.gate.next_wake_us()];
        let Some(at_us) = wakes.into_iter().flatten().min() else {
            return;
        };
        let at_us = at_us.max(now_us);
        if node.planned_wake_us.is_none_or(|planned| at_us < planned) {
            node.planned_wake_us = Some(at_us);
            self.events.push(at_us, Event::Wake(key));
        }
    }

    pub(crate) fn wake(&mut self, now_us: u64, key: NodeKey) {
        let Some(node) = self.nodes.get_mut(&key) else {
            return;
        };
        if node.planned_wake_us != Some(now_us) {
            return;
        }
        node.planned_wake_us = None;
        self.feed_gate(now_us, key, GateEvent::Tick);
        self.feed_query(now_us, key, QueryEvent::Tick);
    }

    pub(crate) fn send_reports(&mut self, now_us: u64, from: NodeKey, to: NodeKey) {
        for (replica, report) in self.nodes[&to].gate.reports(now_us) {
            let event = QueryEvent::Report { replica, report };
            self.send(now_us, to, from, Event::Query(from, event));
        }
    }
}
