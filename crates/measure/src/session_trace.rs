//! Records the events of a session (a scripted run of several nodes) in its trace, and withholds
//! events from paused and lost nodes.

use crate::TraceEvent;
use crate::World;
use crate::world::Event;
use wigeonhall_gate::GateEvent;
use wigeonhall_query::QueryEvent;
use wigeonhall_types::AttemptId;
use wigeonhall_types::NodeKey;
use wigeonhall_types::ReplicaKey;

impl World {
    /// Records an event if a session runs.
    pub(crate) fn record(&mut self, now_us: u64, event: impl FnOnce() -> TraceEvent) {
        if let Some(session) = &mut self.session {
            let event = event();
            if let TraceEvent::SentToTarget(_, sub) = &event {
                session.replica_of_attempt.insert(sub.attempt, sub.replica);
            }
            session.trace.push((now_us, event));
        }
    }

    /// Returns whether to handle an event now, and records it if so. Events of a lost node are
    /// dropped, and those of a paused node are postponed to the end of the pause.
    pub(crate) fn admit(&mut self, now_us: u64, event: &Event) -> bool {
        let Some(session) = &mut self.session else {
            return true;
        };
        if let Some(node) = receiving_node(event) {
            if session.lost.contains(&node) {
                return false;
            }
            if let Some(&until_us) = session.paused_until_us.get(&node)
                && now_us < until_us
            {
                self.events.push(until_us, event.clone());
                if let (Event::Wake(_), Some(node)) = (event, self.nodes.get_mut(&node)) {
                    node.planned_wake_us = Some(until_us);
                }
                return false;
            }
        }
        if let Some(trace_event) = self.trace_event(event) {
            self.record(now_us, || trace_event);
        }
        if let (Event::Deployment(node, deployment), Some(session)) = (event, &mut self.session) {
            session.generations.insert(*node, deployment.generation);
        }
        true
    }

    fn trace_event(&self, event: &Event) -> Option<TraceEvent> {
        if let Some((from, to, message)) = Self::message(event) {
            return Some(TraceEvent::Received { from, message, to });
        }
        match event {
            Event::Deployment(node, it) => Some(TraceEvent::Deployed(*node, it.generation)),
            Event::Gate(node, GateEvent::LeaseUntil(until_us)) => {
                Some(TraceEvent::Leased(*node, *until_us))
            }
            Event::Gate(node, GateEvent::TargetReply { attempt, reply }) => {
                let replica = self.replica_of(*attempt)?;
                let reply = reply.clone();
                Some(TraceEvent::TargetReplied(*node, replica, *attempt, reply))
            }
            Event::Gate(
                node,
                GateEvent::PollReply {
                    attempt,
                    replica,
                    reply,
                },
            ) => {
                let outcome = reply.outcome.clone();
                Some(TraceEvent::EndPollReplied(
                    *node, *replica, *attempt, outcome,
                ))
            }
            Event::Gate(node, GateEvent::ProbeReply { replica, reply }) => {
                Some(TraceEvent::Probed(*node, *replica, reply.clone()))
            }
            Event::Gate(
                node,
                GateEvent::Grant {
                    epoch,
                    replica,
                    state,
                },
            ) => Some(TraceEvent::Granted {
                epoch: *epoch,
                node: *node,
                replica: *replica,
                state: state.clone(),
            }),
            Event::Query(node, QueryEvent::Claim { id, result }) => {
                Some(TraceEvent::StoreReplied(*node, *id, result.clone()))
            }
            Event::Query(node, QueryEvent::NodeLost(lost)) => {
                Some(TraceEvent::NodeLost(*node, *lost))
            }
            Event::Query(node, QueryEvent::Read(read)) => {
                Some(TraceEvent::Read(*node, read.clone()))
            }
            Event::Query(node, QueryEvent::Write(write)) => {
                Some(TraceEvent::Write(*node, write.clone()))
            }
            Event::Step(step) => Some(TraceEvent::Step(*step)),
            _ => None,
        }
    }

    fn replica_of(&self, attempt: AttemptId) -> Option<ReplicaKey> {
        let session = self.session.as_ref()?;
        session.replica_of_attempt.get(&attempt).copied()
    }
}

/// Returns the node that handles an event.
pub(crate) fn receiving_node(event: &Event) -> Option<NodeKey> {
    match event {
        Event::Cancel(node, _)
        | Event::Deployment(node, _)
        | Event::Gate(node, _)
        | Event::HandOver { to: node, .. }
        | Event::LeaseRequest(node)
        | Event::Query(node, _)
        | Event::ReportRequest { to: node, .. }
        | Event::StoreReadBack(node, _)
        | Event::Submit { to: node, .. }
        | Event::TableUpdate(node, _)
        | Event::TakeOver { node, .. }
        | Event::Wake(node) => Some(*node),
        _ => None,
    }
}
