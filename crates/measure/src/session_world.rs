//! Steps of a session, and what the recorder sees of a world.

use std::sync::Arc;

use crate::Edit;
use crate::Fate;
use crate::Fault;
use crate::Message;
use crate::Step;
use crate::StoreMode;
use crate::TraceEvent;
use crate::World;
use crate::world::Event;
use crate::world::OpenQuery;
use wigeonhall_gate::GateEvent;
use wigeonhall_query::QueryEvent;
use wigeonhall_query::QueryId;
use wigeonhall_query::ReadQuery;
use wigeonhall_query::WriteQuery;
use wigeonhall_types::AttemptId;
use wigeonhall_types::ClassKey;
use wigeonhall_types::Deployment;
use wigeonhall_types::NodeKey;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::SubRequest;
use wigeonhall_types::TargetOutcome;

/// Time in which a changed deployment reaches every node whose messages arrive.
const CONFIG_SPREAD_US: u64 = 1_000_000;

/// Extra delay of a late message at most, in microseconds.
const LATE_US: u64 = 300_000;

/// Time until the table names other owners for the replicas of a node that ended.
pub(crate) const LOST_FOUND_US: u64 = 1_000_000;

/// Time until the connections of other nodes to a node that ended break.
pub(crate) const LOST_SEEN_US: u64 = 20_000;

/// Clock of the callers and nodes at the start of a session, in milliseconds.
const UNIX_MS: u64 = 1_700_000_000_000;

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

    /// The message between nodes that an event stands for. A reply names no sender:
    /// the coordinator knows it from the attempt alone.
    fn message(event: &Event) -> Option<(NodeKey, NodeKey, Message)> {
        match event {
            Event::Cancel(to, attempt) => {
                let from = NodeKey((attempt.boot - 1) as u32);
                Some((from, *to, Message::Cancel(*attempt)))
            }
            Event::HandOver {
                epoch,
                from,
                replica,
                state,
                to,
            } => {
                let message = Message::HandOver(*replica, *epoch, state.clone());
                Some((*from, *to, message))
            }
            Event::Query(
                to,
                QueryEvent::SubReply {
                    attempt,
                    outcome,
                    report,
                },
            ) => {
                let message = Message::Reply(*attempt, outcome.clone(), report.clone());
                Some((*to, *to, message))
            }
            Event::Query(to, QueryEvent::Report { replica, report }) => {
                Some((*to, *to, Message::Report(*replica, report.clone())))
            }
            Event::ReportsAsked { from, to } => Some((*from, *to, Message::AskReports)),
            Event::Submit { from, to, sub } => Some((*from, *to, Message::Submit(sub.clone()))),
            _ => None,
        }
    }

    pub(crate) fn send_in_session(
        &mut self,
        now_us: u64,
        at_us: u64,
        from: NodeKey,
        to: NodeKey,
        event: Event,
    ) {
        self.send_with_fate(now_us, at_us, from, to, event, false);
    }

    pub(crate) fn send_with_fate(
        &mut self,
        now_us: u64,
        at_us: u64,
        from: NodeKey,
        to: NodeKey,
        event: Event,
        lost: bool,
    ) {
        let fate = if lost {
            Fate::Lost
        } else {
            self.fate(now_us, from, to)
        };
        if let Some((_, _, message)) = Self::message(&event) {
            self.note(now_us, || TraceEvent::Sent {
                fate,
                from,
                message,
                to,
            });
        }
        let late_us = match &mut self.session {
            Some(session) if matches!(fate, Fate::Doubled | Fate::Late) => {
                session.rng.u64(..LATE_US)
            }
            _ => 0,
        };
        match fate {
            Fate::Arrives => self.events.push(at_us, event),
            Fate::Doubled => {
                self.events.push(at_us, event.clone());
                self.events.push(at_us + late_us, event);
            }
            Fate::Late => self.events.push(at_us + late_us, event),
            Fate::Lost => {}
        }
    }

    fn fate(&mut self, now_us: u64, from: NodeKey, to: NodeKey) -> Fate {
        let Some(session) = &mut self.session else {
            return Fate::Arrives;
        };
        let (links, until_us) = session.links;
        if from == to || now_us >= until_us {
            return Fate::Arrives;
        }
        let drawn = session.rng.u8(..100);
        let late = links.lost.saturating_add(links.late);
        if drawn < links.lost {
            Fate::Lost
        } else if drawn < late {
            Fate::Late
        } else if drawn < late.saturating_add(links.doubled) {
            Fate::Doubled
        } else {
            Fate::Arrives
        }
    }

    /// A target begins to run a request; it stops it at its deadline.
    pub(crate) fn began(
        &mut self,
        now_us: u64,
        replica: ReplicaKey,
        attempt: AttemptId,
        instance: u64,
        end_us: u64,
    ) -> u64 {
        let Some((_, sub)) = self.held.get(&attempt) else {
            return end_us;
        };
        let sub = sub.clone();
        let deadline_us = sub.deadline_us;
        self.note(now_us, || TraceEvent::TargetBegan(replica, sub, instance));
        end_us.min(deadline_us.max(now_us))
    }

    /// How a request ends at a target.
    pub(crate) fn session_outcome(
        &mut self,
        now_us: u64,
        replica: ReplicaKey,
        sub: &SubRequest,
    ) -> TargetOutcome {
        let session = self.session.as_mut();
        if session.is_some_and(|it| it.lose_replies.remove(&replica)) {
            TargetOutcome::ConnectionLost
        } else if now_us >= sub.deadline_us {
            TargetOutcome::DeadlineExceeded
        } else {
            self.run_sub(replica, sub)
        }
    }

    pub(crate) fn session_step(&mut self, now_us: u64, step: Step) {
        match step {
            Step::Conflict(first, second) => {
                let generation = self.deployment.generation;
                self.edit(now_us, first, generation);
                self.edit(now_us, second, generation);
            }
            Step::Deploy(edit) => self.edit(now_us, edit, self.deployment.generation),
            Step::Drain(replica) => self.target(replica).draining = true,
            Step::Fault(Fault::DataCentreOut(it)) => {
                self.edit(
                    now_us,
                    Edit::DataCentre(it, true),
                    self.deployment.generation,
                );
            }
            Step::Fault(Fault::DataCentreIn(it)) => {
                self.edit(
                    now_us,
                    Edit::DataCentre(it, false),
                    self.deployment.generation,
                );
            }
            Step::Fault(fault) => self.fault(now_us, fault),
            Step::Move {
                handed_over,
                replica,
                to,
            } => {
                if self.store_mode() == StoreMode::Down {
                    self.note(now_us, || TraceEvent::ChangeRefused("the store is down"));
                } else {
                    self.move_replica(now_us, replica, to, handed_over);
                }
            }
            Step::Read {
                class,
                deadline_us,
                demand,
                node,
                range,
            } => {
                let (id, at_us) = self.open_query(now_us, class);
                let read = ReadQuery {
                    class,
                    deadline_us: self.unused_deadline(at_us + deadline_us),
                    demand,
                    id,
                    range,
                };
                self.events
                    .push(at_us, Event::Query(node, QueryEvent::Read(read)));
            }
            Step::Reset(replica) => {
                self.crash(now_us, replica);
                self.step(now_us, Event::Restart(replica));
            }
            Step::Stop(node) => self.stop(now_us, node),
            Step::Write {
                class,
                deadline_us,
                first,
                key,
                node,
                request,
            } => {
                let (id, at_us) = self.open_query(now_us, class);
                let write = WriteQuery {
                    body: Arc::from("fill"),
                    class,
                    deadline_us: self.unused_deadline(at_us + deadline_us),
                    first_attempt: first,
                    id,
                    issued_unix_ms: UNIX_MS,
                    key,
                    received_unix_ms: UNIX_MS + at_us / 1_000,
                    request_id: Self::request_id(request),
                };
                self.events
                    .push(at_us, Event::Query(node, QueryEvent::Write(write)));
            }
            Step::Lapse(..)
            | Step::Links(..)
            | Step::LoseStoreReply
            | Step::LoseTargetReply(_)
            | Step::Pause(..)
            | Step::Store(_) => self.set_fault(now_us, step),
        }
    }

    fn set_fault(&mut self, now_us: u64, step: Step) {
        let Some(session) = &mut self.session else {
            return;
        };
        match step {
            Step::Lapse(node, us) => {
                session.lapsed.insert(node, now_us + us);
            }
            Step::Links(links, us) => session.links = (links, now_us + us),
            Step::LoseStoreReply => session.store.lose_replies += 1,
            Step::LoseTargetReply(replica) => {
                session.lose_replies.insert(replica);
            }
            Step::Pause(node, us) => {
                let until_us = session.paused.entry(node).or_default();
                *until_us = (*until_us).max(now_us + us);
            }
            Step::Store(mode) => session.store.mode = mode,
            _ => {}
        }
    }

    /// A deadline that no other request has, so that a sub-request shows its request.
    fn unused_deadline(&mut self, mut deadline_us: u64) -> u64 {
        if let Some(session) = &mut self.session {
            while !session.deadlines.insert(deadline_us) {
                deadline_us += 1;
            }
        }
        deadline_us
    }

    fn store_mode(&self) -> StoreMode {
        let session = self.session.as_ref();
        session.map_or(StoreMode::Up, |it| it.store.mode)
    }

    fn open_query(&mut self, now_us: u64, class: ClassKey) -> (QueryId, u64) {
        let id = QueryId(self.next_query);
        self.next_query += 1;
        let open = OpenQuery {
            class,
            counted: false,
            entry: None,
            started_us: now_us,
        };
        self.open.insert(id, open);
        (id, now_us + self.network.caller_us)
    }

    /// One conditional update of the deployment against the generation that the operator
    /// read.
    fn edit(&mut self, now_us: u64, edit: Edit, read: u64) {
        if self.store_mode() == StoreMode::Down {
            self.note(now_us, || TraceEvent::ChangeRefused("the store is down"));
            return;
        }
        if self.deployment.generation != read {
            self.note(now_us, || {
                TraceEvent::ChangeRefused("it conflicts with a newer generation")
            });
            return;
        }
        let mut deployment = Deployment::clone(&self.deployment);
        deployment.generation += 1;
        match edit {
            Edit::DataCentre(key, out) => {
                if let Some(it) = deployment.data_centres.get_mut(&key) {
                    it.out = out;
                }
            }
            Edit::Replica(key, out) => {
                if let Some(it) = deployment.replicas.get_mut(&key) {
                    it.out = out;
                }
            }
        }
        let generation = deployment.generation;
        self.deployment = Arc::new(deployment);
        self.note(now_us, || TraceEvent::Changed(generation, edit));
        let nodes: Vec<NodeKey> = self.nodes.keys().copied().collect();
        for node in nodes {
            let at_us = now_us + self.rng.u64(..CONFIG_SPREAD_US);
            // A node that this message does not reach asks once a second.
            if self.fate(now_us, NodeKey(u32::MAX), node) != Fate::Lost {
                let deployment = Arc::clone(&self.deployment);
                self.events.push(at_us, Event::Deployment(node, deployment));
            }
        }
    }

    /// A node ends; the rest of its data centre takes its replicas over.
    fn stop(&mut self, now_us: u64, node: NodeKey) {
        let data_centre = self.nodes[&node].data_centre;
        let Some(session) = &mut self.session else {
            return;
        };
        session.lost.insert(node);
        let lost = &session.lost;
        let table = &session.tables[&data_centre].0;
        let heirs = table.members.clone();
        let heir = heirs.into_iter().find(|it| !lost.contains(it));
        let owned = table.owners.iter().filter(|(_, owner)| **owner == node);
        let replicas: Vec<ReplicaKey> = owned.map(|(&replica, _)| replica).collect();
        let found_us = now_us + LOST_FOUND_US;
        for &other in self.nodes.keys() {
            let event = Event::Query(other, QueryEvent::NodeLost(node));
            self.events.push(now_us + LOST_SEEN_US, event);
        }
        for (replica, to) in replicas.into_iter().zip(heir.into_iter().cycle()) {
            let step = Step::Move {
                handed_over: false,
                replica,
                to,
            };
            self.events.push(found_us, Event::Step(step));
        }
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
