//! Engine thread: passes events to three cores and carries out the actions that they return.
//!
//! A core is a decision component without I/O. The fleet core decides on membership, the owner
//! of each replica and the configuration; the gate core on the requests to replicas that this
//! node owns; the query core on the sub-requests of callers' requests.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use flume::Receiver;
use flume::RecvTimeoutError;
use flume::Sender;

use crate::CallerAnswer;
use crate::Event;
use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::readiness::Readiness;
use crate::request_trace::SentSubRequest;
use crate::request_trace::SubRequestClassifier;
use crate::store::Store;
use wigeonhall_burn::BurnRecorder;
use wigeonhall_fleet::ConfigRecord;
use wigeonhall_fleet::Fleet;
use wigeonhall_fleet::FleetEvent;
use wigeonhall_fleet::MemberState;
use wigeonhall_gate::Gate;
use wigeonhall_gate::GateEvent;
use wigeonhall_protocol::DecisionTrace;
use wigeonhall_protocol::SubmitReply;
use wigeonhall_query::Coordinator;
use wigeonhall_query::QueryEvent;
use wigeonhall_query::QueryId;
use wigeonhall_settings::IncrementalReader;
use wigeonhall_target::TargetPool;
use wigeonhall_types::AttemptId;
use wigeonhall_types::ClassKey;
use wigeonhall_types::Deployment;
use wigeonhall_types::NameCatalog;
use wigeonhall_types::NodeKey;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::ReplicaState;

/// Longest sleep of the engine thread, which bounds the age of the metrics.
const MAX_SLEEP_MS: u64 = 500;

/// Sleep of the engine thread between two checks of the progress of a planned stop.
const STOP_POLL_INTERVAL_MS: u64 = 2;

/// Time within which the balancer detects a failing health check.
pub(crate) const BALANCER_DETECTION_MS: u64 = 2_000;

/// Time within which the other nodes receive the new owners of this node's replicas: two
/// gossip periods.
pub(crate) const OWNER_PROPAGATION_MS: u64 = 2_000;

/// Time between two clean-ups of old claims and unused parts.
const CLEAN_UP_PERIOD_US: u64 = 3_600_000_000;

/// State of the engine thread.
///
/// Invariant: every sender in `open_requests` and `result_receivers` gets exactly one reply, since
/// each core ends each request that it accepted exactly once.
#[derive(Debug)]
pub struct Engine {
    /// Random number that identifies this start of the process.
    pub(crate) boot: u64,
    /// Number of broken connections to each replica that were reported to the gate core.
    pub(crate) reported_broken_connections: HashMap<ReplicaKey, u64>,
    pub(crate) burn: BurnRecorder,
    pub(crate) catalog: NameCatalog,
    /// Local time of the last clean-up of old claims and unused parts.
    pub(crate) last_store_clean_up_us: Option<u64>,
    pub(crate) clock: Clock,
    /// Configuration in force; `None` until the first one is applied.
    pub(crate) config: Option<ConfigRecord>,
    pub(crate) coordinator: Coordinator,
    pub(crate) data_centre: Arc<str>,
    pub(crate) deployment: Arc<Deployment>,
    pub(crate) events: Sender<Event>,
    pub(crate) fleet: Fleet,
    pub(crate) gate: Gate,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) name: Arc<str>,
    pub(crate) next_query_id: u64,
    pub(crate) node: NodeKey,
    pub(crate) open_requests: HashMap<QueryId, OpenRequest>,
    pub(crate) peers: Peers,
    /// Inputs of the cores that result from the current event and are not processed yet.
    pub(crate) pending_inputs: VecDeque<EngineInput>,
    /// Local time of the last update of the metrics.
    pub(crate) metrics_updated_us: u64,
    pub(crate) readiness: Arc<Readiness>,
    /// Local time from which this node, which is out of service, refuses callers; `None` if it is
    /// in service.
    pub(crate) refusal_start_us: Option<u64>,
    /// Last recorded state of each owned replica.
    pub(crate) replica_states: HashMap<ReplicaKey, ReplicaState>,
    /// Sub-requests of this node's callers that have no outcome yet, at this node or others.
    pub(crate) sent_sub_requests: HashMap<AttemptId, SentSubRequest>,
    /// Longest duration of a planned stop.
    pub(crate) shutdown_ms: u64,
    pub(crate) stage: StopStage,
    /// Local time at which a planned stop aborts the requests that are still open.
    pub(crate) stop_deadline_us: u64,
    pub(crate) store: Store,
    /// Receiver of the result of each sub-request that is in this node's gate core.
    pub(crate) result_receivers: HashMap<AttemptId, ResultReceiver>,
    pub(crate) targets: TargetPool,
    /// Caches the parsed parts of the last configuration text.
    pub(crate) text_reader: IncrementalReader,
    pub(crate) trace: DecisionTrace,
}

/// Input that the engine processes in order.
#[derive(Debug)]
pub(crate) enum EngineInput {
    /// The gate core has processed a report of broken connections to the replica. `broken` is their
    /// total number so far.
    BrokenConnections {
        broken: u64,
        replica: ReplicaKey,
    },
    Fleet(FleetEvent),
    Gate(GateEvent),
    Query(QueryEvent),
}

/// Request of a caller that has no answer yet.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    pub(crate) class: ClassKey,
    pub(crate) answer_sender: Sender<CallerAnswer>,
    pub(crate) started_us: u64,
    pub(crate) classifier: SubRequestClassifier,
}

/// Stage of a planned stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StopStage {
    Serving,
    /// The health check fails, but callers are served until this local time, because the
    /// balancer sends callers until it detects the failing health check.
    Announced {
        until_us: u64,
    },
    /// New callers are refused; open requests complete.
    Finishing,
    /// The replicas are being handed over to new owners.
    Leaving,
    /// The replicas are handed over, and running sub-requests complete. Until this local time,
    /// nodes whose ownership table still names this node as an owner get a refusal instead of a
    /// broken connection.
    Draining {
        until_us: u64,
    },
    Stopped,
}

/// Receiver of the result of a sub-request.
#[derive(Debug)]
pub(crate) enum ResultReceiver {
    /// This node's own query core.
    Local,
    /// Another node.
    Remote(Sender<SubmitReply>),
}

impl Engine {
    /// Handles events until a planned stop has ended or all senders of events are dropped.
    pub fn run(mut self, events: &Receiver<Event>) {
        self.pending_inputs
            .push_back(EngineInput::Fleet(FleetEvent::Tick));
        self.process_pending();
        while self.stage != StopStage::Stopped {
            match events.recv_timeout(self.sleep_time()) {
                Ok(event) => self.handle_event(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.queue_ticks();
            self.process_pending();
            self.advance_stop();
            self.run_periodic_tasks();
        }
    }

    /// Returns the time until the next tick of a core.
    fn sleep_time(&self) -> Duration {
        let wakes = [
            self.coordinator.next_wake_us(),
            self.fleet.next_wake_us(),
            self.gate.next_wake_us(),
        ];
        let longest = Duration::from_millis(MAX_SLEEP_MS);
        let next = wakes.into_iter().flatten().min();
        if self.stage != StopStage::Serving {
            return Duration::from_millis(STOP_POLL_INTERVAL_MS);
        }
        next.map_or(longest, |at_us| self.clock.until(at_us).min(longest))
    }

    /// Queues a tick for each core whose wake time has been reached.
    fn queue_ticks(&mut self) {
        let now_us = self.clock.now_us();
        let due = |wake: Option<u64>| wake.is_some_and(|at_us| at_us <= now_us);
        if due(self.gate.next_wake_us()) {
            self.pending_inputs
                .push_back(EngineInput::Gate(GateEvent::Tick));
        }
        if due(self.fleet.next_wake_us()) {
            self.pending_inputs
                .push_back(EngineInput::Fleet(FleetEvent::Tick));
        }
        if due(self.coordinator.next_wake_us()) {
            self.pending_inputs
                .push_back(EngineInput::Query(QueryEvent::Tick));
        }
    }

    /// Processes pending inputs, including those that they cause, until none are left.
    fn process_pending(&mut self) {
        while let Some(input) = self.pending_inputs.pop_front() {
            let now_us = self.clock.now_us();
            match input {
                EngineInput::BrokenConnections { broken, replica } => {
                    self.reported_broken_connections.insert(replica, broken);
                }
                EngineInput::Fleet(event) => self.run_fleet(now_us, event),
                EngineInput::Gate(event) => self.run_gate(now_us, event),
                EngineInput::Query(event) => self.run_query(now_us, event),
            }
        }
    }

    /// Updates the metrics from the counters of the cores and starts due clean-ups, at most
    /// every `MAX_SLEEP_MS`.
    fn run_periodic_tasks(&mut self) {
        let now_us = self.clock.now_us();
        if now_us < self.metrics_updated_us + MAX_SLEEP_MS * 1_000 {
            return;
        }
        self.metrics_updated_us = now_us;
        self.metrics.set_decisions("fleet", self.fleet.counters());
        self.metrics.set_decisions("gate", self.gate.counters());
        self.metrics
            .set_decisions("query", self.coordinator.counters());
        self.metrics
            .set_decisions("settings", &self.text_reader.counts());
        self.trace_replica_states(now_us);
        let due = |at_us: u64| at_us + CLEAN_UP_PERIOD_US <= now_us;
        if self.last_store_clean_up_us.is_none_or(due) && self.runs_clean_ups() {
            self.last_store_clean_up_us = Some(now_us);
            self.store.delete_old_claims();
            self.store.remove_unused_parts();
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Call(call) => self.handle_call(call),
            Event::Evacuate { evacuation, reply } => {
                let _ = reply.send(self.evacuate(evacuation));
            }
            Event::Explain { subject, reply } => {
                let now_us = self.clock.now_us();
                drop(reply.send(self.trace.explain(now_us, &self.name, &subject)));
            }
            Event::Fleet(event) => self.pending_inputs.push_back(EngineInput::Fleet(event)),
            Event::Gate(event) => self.pending_inputs.push_back(EngineInput::Gate(event)),
            Event::Query(event) => self.pending_inputs.push_back(EngineInput::Query(event)),
            Event::Read {
                request,
                answer_sender,
            } => self.start_read(&request, answer_sender),
            Event::Reports(reports) => self.handle_reports(reports),
            Event::Burn(reply) => drop(reply.send(self.burn_sample())),
            Event::Status { brief, reply } => drop(reply.send(self.status(brief))),
            Event::Stop => self.start_stop(),
            Event::SubReply {
                attempt,
                node,
                reply,
            } => self.handle_sub_reply(attempt, node, reply),
            Event::Write {
                request,
                answer_sender,
            } => self.start_write(request, answer_sender),
        }
    }

    fn start_stop(&mut self) {
        if self.stage == StopStage::Serving {
            log::info!(
                "planned stop: waiting for {} open requests",
                self.open_requests.len()
            );
            let now_us = self.clock.now_us();
            let detection_ms = BALANCER_DETECTION_MS.min(self.shutdown_ms / 2);
            let until_us = now_us + detection_ms * 1_000;
            self.stop_deadline_us = now_us + self.shutdown_ms * 1_000;
            self.stage = StopStage::Announced { until_us };
            self.readiness.set(Some("leaving"));
        }
    }

    /// Returns whether the stage of a planned stop still allows new callers.
    pub(crate) const fn is_serving(&self) -> bool {
        matches!(self.stage, StopStage::Serving | StopStage::Announced { .. })
    }

    /// Returns whether this node deletes old claims and unused parts. That is the first node by
    /// name among those that may be ready. Every member that is not known to be dead counts, so
    /// that a node that has just started does not run clean-ups beside a node that it has no
    /// contact with yet.
    fn runs_clean_ups(&self) -> bool {
        let first = self.fleet.members().into_iter().all(|member| {
            member.state == MemberState::Dead
                || member.leaving
                || self.deployment.is_node_out(member.node)
                || self.catalog.node_name(member.node) > self.name
        });
        first && self.stage == StopStage::Serving && self.readiness.reason().is_none()
    }

    /// Moves a planned stop to its next stage if the current one is complete.
    fn advance_stop(&mut self) {
        if self.clock.now_us() >= self.stop_deadline_us && self.stage != StopStage::Stopped {
            log::warn!(
                "planned stop: aborting {} requests of callers and {} of nodes after {} ms",
                self.open_requests.len(),
                self.gate.open_request_count(),
                self.shutdown_ms
            );
            self.stage = StopStage::Stopped;
        }
        if let StopStage::Announced { until_us } = self.stage
            && self.clock.now_us() >= until_us
        {
            self.stage = StopStage::Finishing;
        }
        if self.stage == StopStage::Finishing && self.coordinator.open_requests() == 0 {
            self.stage = StopStage::Leaving;
            self.pending_inputs
                .push_back(EngineInput::Fleet(FleetEvent::Stop));
            self.process_pending();
        }
        if let StopStage::Draining { until_us } = self.stage
            && self.clock.now_us() >= until_us
            && self.gate.open_request_count() == 0
        {
            log::info!("planned stop: all requests completed");
            self.stage = StopStage::Stopped;
        }
    }
}
