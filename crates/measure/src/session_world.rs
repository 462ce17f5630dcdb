//! Steps of a session.

use std::sync::Arc;

use crate::Edit;
use crate::Fate;
use crate::Fault;
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
use wigeonhall_types::TargetReply;

/// Time in which a changed deployment reaches every node whose messages arrive.
const CONFIG_SPREAD_US: u64 = 1_000_000;

/// Time until the table names other owners for the replicas of a node that ended.
pub(crate) const LOST_FOUND_US: u64 = 1_000_000;

/// Time until the connections of other nodes to a node that ended break.
pub(crate) const LOST_SEEN_US: u64 = 20_000;

/// Clock of the callers and nodes at the start of a session, in milliseconds.
const UNIX_MS: u64 = 1_700_000_000_000;

impl World {
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
        let deadline_us = sub.deadline_us.max(now_us);
        self.note(now_us, || TraceEvent::RequestBegan(replica, sub, instance));
        let overrun_us = self.target(replica).overrun_us;
        if overrun_us > 0 {
            self.events
                .push(deadline_us, Event::GiveUp(replica, attempt));
        }
        end_us.min(deadline_us + overrun_us)
    }

    /// The sender of a request got no reply by its deadline.
    pub(crate) fn sender_gives_up(&mut self, now_us: u64, replica: ReplicaKey, attempt: AttemptId) {
        if !self.target(replica).holds(attempt) {
            return;
        }
        if let Some((node, _)) = self.held.remove(&attempt) {
            let reply = TargetReply {
                instance: None,
                outcome: TargetOutcome::DeadlineExceeded,
                served: Vec::new(),
            };
            let event = GateEvent::TargetReply { attempt, reply };
            self.events.push(now_us, Event::Gate(node, event));
        }
    }

    /// A target is asked whether a request still runs.
    pub(crate) fn poll_end(
        &mut self,
        now_us: u64,
        node: NodeKey,
        replica: ReplicaKey,
        attempt: AttemptId,
    ) {
        let target = self.target(replica);
        let outcome = if !target.up {
            TargetOutcome::Unreachable
        } else if target.holds(attempt) {
            TargetOutcome::Cancelled
        } else {
            TargetOutcome::UnknownAttempt
        };
        if outcome == TargetOutcome::Cancelled {
            self.cancel_at_target(now_us, replica, attempt);
        }
        let event = GateEvent::PollReply {
            attempt,
            replica,
            reply: self.reply(replica, outcome),
        };
        let at_us = now_us + self.network.within_us;
        self.events.push(at_us, Event::Gate(node, event));
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
            Step::Abort(replica) => {
                for attempt in self.target(replica).held() {
                    self.cancel_at_target(now_us, replica, attempt);
                }
            }
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
            Step::Overrun(replica, us) => self.target(replica).overrun_us = us,
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
            Step::WithholdLeases(..)
            | Step::MessageFaults(..)
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
            Step::WithholdLeases(node, us) => {
                session.lapsed.insert(node, now_us + us);
            }
            Step::MessageFaults(links, us) => session.links = (links, now_us + us),
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
