//! What the recorder of a session sees of a world.

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
    pub(crate) fn note(&mut self, now_us: u64, event: impl FnOnce() -> TraceEvent) {
        if let Some(session) = &mut self.session {
            let event = event();
            if let TraceEvent::Started(_, sub) = &event {
                session.replicas.insert(sub.attempt, sub.replica);
            }
            session.trace.push((now_us, event));
        }
    }

    /// Holds back or drops an event of a node that is paused or ended, and records it.
    pub(crate) fn admit(&mut self, now_us: u64, event: &Event) -> bool {
        let Some(session) = &mut self.session else {
            return true;
        };
        if let Some(node) = addressee(event) {
            if session.lost.contains(&node) {
                return false;
            }
            if let Some(&until_us) = session.paused.get(&node)
                && now_us < until_us
            {
                self.events.push(until_us, event.clone());
                if let (Event::Wake(_), Some(node)) = (event, self.nodes.get_mut(&node)) {
                    node.wake_us = Some(until_us);
                }
                return false;
            }
        }
        if let Some(seen) = self.seen(event) {
            self.note(now_us, || seen);
        }
        if let (Event::Deployment(node, deployment), Some(session)) = (event, &mut self.session) {
            session.generations.insert(*node, deployment.generation);
        }
        true
    }

    fn seen(&self, event: &Event) -> Option<TraceEvent> {
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
                Some(TraceEvent::EndSaid(*node, *replica, *attempt, outcome))
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
        session.replicas.get(&attempt).copied()
    }
}

/// Node that handles an event.
pub(crate) fn addressee(event: &Event) -> Option<NodeKey> {
    match event {
        Event::Cancel(node, _)
        | Event::Deployment(node, _)
        | Event::Gate(node, _)
        | Event::HandOver { to: node, .. }
        | Event::LeaseAsk(node)
        | Event::Query(node, _)
        | Event::ReportsAsked { to: node, .. }
        | Event::StoreReadBack(node, _)
        | Event::Submit { to: node, .. }
        | Event::Table(node, _)
        | Event::TakeOver { node, .. }
        | Event::Wake(node) => Some(*node),
        _ => None,
    }
}
