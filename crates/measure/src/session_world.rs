//! Executes the steps of a session.

use std::sync::Arc;

use crate::Delivery;
use crate::DeploymentChange;
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

/// Time within which a changed deployment reaches every node, unless the message is lost.
const CONFIG_PROPAGATION_US: u64 = 1_000_000;

/// Time from the crash of a node to the ownership table that reassigns its replicas.
pub(crate) const REASSIGNMENT_DELAY_US: u64 = 1_000_000;

/// Time from the crash of a node until other nodes see their connections to it break.
pub(crate) const CONNECTION_BREAK_DELAY_US: u64 = 20_000;

/// Unix time of callers and nodes at the start of a session.
const START_UNIX_MS: u64 = 1_700_000_000_000;

impl World {
    /// Records that a target begins to run a request, and returns the time at which it ends: at
    /// `end_us` or at its deadline, or later while the target overruns deadlines.
    pub(crate) fn record_begin(
        &mut self,
        now_us: u64,
        replica: ReplicaKey,
        attempt: AttemptId,
        instance: u64,
        end_us: u64,
    ) -> u64 {
        let Some((_, sub)) = self.at_targets.get(&attempt) else {
            return end_us;
        };
        let sub = sub.clone();
        let deadline_us = sub.deadline_us.max(now_us);
        self.record(now_us, || TraceEvent::RequestBegan(replica, sub, instance));
        let overrun_us = self.target(replica).overrun_us;
        if overrun_us > 0 {
            self.events
                .push(deadline_us, Event::SenderTimeout(replica, attempt));
        }
        end_us.min(deadline_us + overrun_us)
    }

    /// Replies to the owner that the deadline of a request has passed, if the target still runs
    /// it.
    pub(crate) fn sender_timeout(&mut self, now_us: u64, replica: ReplicaKey, attempt: AttemptId) {
        if !self.target(replica).contains(attempt) {
            return;
        }
        if let Some((node, _)) = self.at_targets.remove(&attempt) {
            let reply = TargetReply {
                instance: None,
                outcome: TargetOutcome::DeadlineExceeded,
                served: Vec::new(),
            };
            let event = GateEvent::TargetReply { attempt, reply };
            self.events.push(now_us, Event::Gate(node, event));
        }
    }

    /// Handles an owner's poll for whether a request still runs at a target, which also cancels
    /// the request.
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
        } else if target.contains(attempt) {
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

    /// Returns the outcome of a request that ends at a target.
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
            self.run_sub_request(replica, sub)
        }
    }

    pub(crate) fn session_step(&mut self, now_us: u64, step: Step) {
        match step {
            Step::AbortRequests(replica) => {
                for attempt in self.target(replica).attempts() {
                    self.cancel_at_target(now_us, replica, attempt);
                }
            }
            // Both operators have read the same generation, so the second change is refused.
            Step::Conflict(first, second) => {
                let generation = self.deployment.generation;
                self.apply_change(now_us, first, generation);
                self.apply_change(now_us, second, generation);
            }
            Step::Deploy(change) => self.apply_change(now_us, change, self.deployment.generation),
            Step::Drain(replica) => self.target(replica).draining = true,
            Step::Fault(Fault::DataCentreOut(it)) => {
                self.apply_change(
                    now_us,
                    DeploymentChange::DataCentre(it, true),
                    self.deployment.generation,
                );
            }
            Step::Fault(Fault::DataCentreIn(it)) => {
                self.apply_change(
                    now_us,
                    DeploymentChange::DataCentre(it, false),
                    self.deployment.generation,
                );
            }
            Step::Fault(fault) => self.apply_fault(now_us, fault),
            Step::Overrun(replica, us) => self.target(replica).overrun_us = us,
            Step::MoveReplica {
                handed_over,
                replica,
                to,
            } => {
                if self.store_mode() == StoreMode::Down {
                    self.record(now_us, || TraceEvent::ChangeRefused("the store is down"));
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
            Step::RestartTarget(replica) => {
                self.crash(now_us, replica);
                self.handle_event(now_us, Event::Restart(replica));
            }
            Step::StopNode(node) => self.stop_node(now_us, node),
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
                    issued_unix_ms: START_UNIX_MS,
                    key,
                    received_unix_ms: START_UNIX_MS + at_us / 1_000,
                    request_id: Self::request_id(request),
                };
                self.events
                    .push(at_us, Event::Query(node, QueryEvent::Write(write)));
            }
            Step::WithholdLeases(..)
            | Step::MessageFaults(..)
            | Step::LoseStoreReply
            | Step::LoseTargetReply(_)
            | Step::PauseNode(..)
            | Step::Store(_) => self.set_fault(now_us, step),
        }
    }

    fn set_fault(&mut self, now_us: u64, step: Step) {
        let Some(session) = &mut self.session else {
            return;
        };
        match step {
            Step::WithholdLeases(node, us) => {
                session.no_lease_before_us.insert(node, now_us + us);
            }
            Step::MessageFaults(faults, us) => session.message_faults = (faults, now_us + us),
            Step::LoseStoreReply => session.store.lose_replies += 1,
            Step::LoseTargetReply(replica) => {
                session.lose_replies.insert(replica);
            }
            Step::PauseNode(node, us) => {
                let until_us = session.paused_until_us.entry(node).or_default();
                *until_us = (*until_us).max(now_us + us);
            }
            Step::Store(mode) => session.store.mode = mode,
            _ => {}
        }
    }

    /// Returns a deadline that no other request has, at or after `deadline_us`, so that the
    /// deadline of a sub-request identifies its request.
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
            // Only measured runs use the statistics and the entry node of a query.
            counted: false,
            entry: None,
            started_us: now_us,
        };
        self.open_queries.insert(id, open);
        (id, now_us + self.network.caller_us)
    }

    /// Applies an operator's change to the deployment, if the generation that the operator
    /// read is still the current one.
    fn apply_change(&mut self, now_us: u64, change: DeploymentChange, base_generation: u64) {
        if self.store_mode() == StoreMode::Down {
            self.record(now_us, || TraceEvent::ChangeRefused("the store is down"));
            return;
        }
        if self.deployment.generation != base_generation {
            self.record(now_us, || {
                TraceEvent::ChangeRefused("it conflicts with a newer generation")
            });
            return;
        }
        let mut deployment = Deployment::clone(&self.deployment);
        deployment.generation += 1;
        match change {
            DeploymentChange::DataCentre(key, out) => {
                if let Some(it) = deployment.data_centres.get_mut(&key) {
                    it.out = out;
                }
            }
            DeploymentChange::Replica(key, out) => {
                if let Some(it) = deployment.replicas.get_mut(&key) {
                    it.out = out;
                }
            }
        }
        let generation = deployment.generation;
        self.deployment = Arc::new(deployment);
        self.record(now_us, || TraceEvent::Changed(generation, change));
        let nodes: Vec<NodeKey> = self.nodes.keys().copied().collect();
        for node in nodes {
            let at_us = now_us + self.rng.u64(..CONFIG_PROPAGATION_US);
            // `u32::MAX` stands for the store as the sender. A node that misses the message gets
            // the deployment with its next lease request, which it sends once a second.
            if self.draw_delivery(now_us, NodeKey(u32::MAX), node) != Delivery::Lost {
                let deployment = Arc::clone(&self.deployment);
                self.events.push(at_us, Event::Deployment(node, deployment));
            }
        }
    }

    /// Crashes a node; another node of its data centre takes over its replicas.
    fn stop_node(&mut self, now_us: u64, node: NodeKey) {
        let data_centre = self.nodes[&node].data_centre;
        let Some(session) = &mut self.session else {
            return;
        };
        session.lost.insert(node);
        let lost = &session.lost;
        let table = &session.tables[&data_centre].0;
        let successors = table.members.clone();
        let successor = successors.into_iter().find(|it| !lost.contains(it));
        let owned = table.owners.iter().filter(|(_, owner)| **owner == node);
        let replicas: Vec<ReplicaKey> = owned.map(|(&replica, _)| replica).collect();
        let reassigned_us = now_us + REASSIGNMENT_DELAY_US;
        for &other in self.nodes.keys() {
            let event = Event::Query(other, QueryEvent::NodeLost(node));
            self.events.push(now_us + CONNECTION_BREAK_DELAY_US, event);
        }
        for (replica, to) in replicas.into_iter().zip(successor.into_iter().cycle()) {
            let step = Step::MoveReplica {
                handed_over: false,
                replica,
                to,
            };
            self.events.push(reassigned_us, Event::Step(step));
        }
    }
}
