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
use crate::request_trace::RequestTrace;
use crate::request_trace::SentSub;
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
use wigeonhall_types::Catalog;
use wigeonhall_types::ClassKey;
use wigeonhall_types::Deployment;
use wigeonhall_types::NodeKey;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::ReplicaState;

/// Longest sleep of the decision thread, so that metrics stay fresh.
const MAX_SLEEP_MS: u64 = 500;

/// Sleep of the decision thread during a planned stop.
const STOP_POLL_MS: u64 = 2;

/// Time in which the balancer notices that the health check fails.
pub(crate) const BALANCER_LAG_MS: u64 = 2_000;

/// Time in which the other nodes learn the new owners of this node's replicas; two
/// periods of the exchange of digests.
pub(crate) const OWNERS_LAG_MS: u64 = 2_000;

/// Time between two clean-ups of old claims.
const CLAIM_CLEAN_UP_US: u64 = 3_600_000_000;

/// The decision thread: owns the three cores and turns their actions into I/O.
///
/// Invariant: every sender in `open` and `submitted` gets exactly one reply, since
/// each core ends what it accepted exactly once.
#[derive(Debug)]
pub struct Engine {
    pub(crate) boot: u64,
    /// Broken connections of each replica that the gate knows of.
    pub(crate) broken_connections: HashMap<ReplicaKey, u64>,
    pub(crate) burn: BurnRecorder,
    pub(crate) catalog: Catalog,
    /// Local time of the last clean-up of old claims.
    pub(crate) cleaned_us: Option<u64>,
    pub(crate) clock: Clock,
    pub(crate) config: Option<ConfigRecord>,
    pub(crate) coordinator: Coordinator,
    pub(crate) data_centre: Arc<str>,
    pub(crate) deployment: Arc<Deployment>,
    pub(crate) events: Sender<Event>,
    pub(crate) fleet: Fleet,
    pub(crate) gate: Gate,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) name: Arc<str>,
    pub(crate) next_query: u64,
    pub(crate) node: NodeKey,
    pub(crate) open: HashMap<QueryId, OpenRequest>,
    pub(crate) peers: Peers,
    /// Inputs of the cores that follow from the event being handled.
    pub(crate) pending: VecDeque<Input>,
    /// Local time at which the metrics were last brought up to date.
    pub(crate) published_us: u64,
    pub(crate) readiness: Arc<Readiness>,
    /// Local time from which a node that was taken out refuses callers.
    pub(crate) refused_from_us: Option<u64>,
    /// State of each owned replica that was recorded last.
    pub(crate) replica_states: HashMap<ReplicaKey, ReplicaState>,
    /// Sub-requests of this node's own requests without an outcome.
    pub(crate) sent: HashMap<AttemptId, SentSub>,
    /// Longest time of a planned stop.
    pub(crate) shutdown_ms: u64,
    pub(crate) stage: Stage,
    /// Local time at which a planned stop ends whatever is open.
    pub(crate) stop_by_us: u64,
    pub(crate) store: Store,
    /// Who waits for the result of each sub-request that the gate holds.
    pub(crate) submitted: HashMap<AttemptId, Submitter>,
    pub(crate) targets: TargetPool,
    /// Keeps the parsed parts of the newest text that arrived.
    pub(crate) text_reader: IncrementalReader,
    pub(crate) trace: DecisionTrace,
}

/// Input of one of the cores.
#[derive(Debug)]
pub(crate) enum Input {
    /// The gate knows of this many broken connections.
    BrokenConnections {
        broken: u64,
        replica: ReplicaKey,
    },
    Fleet(FleetEvent),
    Gate(GateEvent),
    Query(QueryEvent),
}

/// A caller that waits for its answer.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    pub(crate) class: ClassKey,
    pub(crate) reply: Sender<CallerAnswer>,
    pub(crate) started_us: u64,
    pub(crate) trace: RequestTrace,
}

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stage {
    Serving,
    /// The health check fails, but callers are served until this local time,
    /// because the balancer sends them until it has seen that.
    Announced {
        until_us: u64,
    },
    /// No new callers; their open requests end first.
    Finishing,
    /// Replicas are handed over.
    Leaving,
    /// Replicas are handed over; running sub-requests end. Until this local time
    /// nodes that do not know the new owners yet are told so instead of cut off.
    Draining {
        until_us: u64,
    },
    Stopped,
}

/// Who waits for the result of a sub-request.
#[derive(Debug)]
pub(crate) enum Submitter {
    /// This node's own query core.
    Local,
    /// Another node.
    Remote(Sender<SubmitReply>),
}

impl Engine {
    /// Runs until a planned stop has ended or every sender of events is gone.
    pub fn run(mut self, events: &Receiver<Event>) {
        self.pending.push_back(Input::Fleet(FleetEvent::Tick));
        self.settle();
        while self.stage != Stage::Stopped {
            match events.recv_timeout(self.sleep()) {
                Ok(event) => self.take(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.wake();
            self.settle();
            self.advance_stop();
            self.publish();
        }
    }

    fn sleep(&self) -> Duration {
        let wakes = [
            self.coordinator.next_wake_us(),
            self.fleet.next_wake_us(),
            self.gate.next_wake_us(),
        ];
        let longest = Duration::from_millis(MAX_SLEEP_MS);
        let next = wakes.into_iter().flatten().min();
        if self.stage != Stage::Serving {
            return Duration::from_millis(STOP_POLL_MS);
        }
        next.map_or(longest, |at_us| self.clock.until(at_us).min(longest))
    }

    fn wake(&mut self) {
        let now_us = self.clock.now_us();
        let due = |wake: Option<u64>| wake.is_some_and(|at_us| at_us <= now_us);
        if due(self.gate.next_wake_us()) {
            self.pending.push_back(Input::Gate(GateEvent::Tick));
        }
        if due(self.fleet.next_wake_us()) {
            self.pending.push_back(Input::Fleet(FleetEvent::Tick));
        }
        if due(self.coordinator.next_wake_us()) {
            self.pending.push_back(Input::Query(QueryEvent::Tick));
        }
    }

    /// Feeds the cores until nothing more follows.
    fn settle(&mut self) {
        while let Some(input) = self.pending.pop_front() {
            let now_us = self.clock.now_us();
            match input {
                Input::BrokenConnections { broken, replica } => {
                    self.broken_connections.insert(replica, broken);
                }
                Input::Fleet(event) => self.run_fleet(now_us, event),
                Input::Gate(event) => self.run_gate(now_us, event),
                Input::Query(event) => self.run_query(now_us, event),
            }
        }
    }

    /// Copies the counters of the cores to the metrics, at most every `MAX_SLEEP_MS`.
    fn publish(&mut self) {
        let now_us = self.clock.now_us();
        if now_us < self.published_us + MAX_SLEEP_MS * 1_000 {
            return;
        }
        self.published_us = now_us;
        self.metrics.set_decisions("fleet", self.fleet.counters());
        self.metrics.set_decisions("gate", self.gate.counters());
        self.metrics
            .set_decisions("query", self.coordinator.counters());
        self.metrics
            .set_decisions("settings", &self.text_reader.counts());
        self.trace_replica_states(now_us);
        let due = |at_us: u64| at_us + CLAIM_CLEAN_UP_US <= now_us;
        if self.cleaned_us.is_none_or(due) && self.cleans_claims() {
            self.cleaned_us = Some(now_us);
            self.store.delete_old_claims();
            self.store.remove_unused_parts();
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Call(call) => self.take_call(call),
            Event::Evacuate { evacuation, reply } => {
                let _ = reply.send(self.evacuate(evacuation));
            }
            Event::Explain { subject, reply } => {
                let now_us = self.clock.now_us();
                drop(reply.send(self.trace.explain(now_us, &self.name, &subject)));
            }
            Event::Fleet(event) => self.pending.push_back(Input::Fleet(event)),
            Event::Gate(event) => self.pending.push_back(Input::Gate(event)),
            Event::Query(event) => self.pending.push_back(Input::Query(event)),
            Event::Read { request, reply } => self.read(&request, reply),
            Event::Reports(reports) => self.take_reports(reports),
            Event::Burn(reply) => drop(reply.send(self.burn_sample())),
            Event::Status { brief, reply } => drop(reply.send(self.status(brief))),
            Event::Stop => self.stop(),
            Event::SubReply {
                attempt,
                node,
                reply,
            } => self.take_sub_reply(attempt, node, reply),
            Event::Write { request, reply } => self.write(request, reply),
        }
    }

    fn stop(&mut self) {
        if self.stage == Stage::Serving {
            log::info!("planned stop: {} requests open", self.open.len());
            let now_us = self.clock.now_us();
            let lag_ms = BALANCER_LAG_MS.min(self.shutdown_ms / 2);
            let until_us = now_us + lag_ms * 1_000;
            self.stop_by_us = now_us + self.shutdown_ms * 1_000;
            self.stage = Stage::Announced { until_us };
            self.readiness.set(Some("leaving"));
        }
    }

    /// Whether callers are served.
    pub(crate) const fn is_serving(&self) -> bool {
        matches!(self.stage, Stage::Serving | Stage::Announced { .. })
    }

    /// Whether this node deletes old claims: the first by name of those that may be
    /// ready. A member that is not known to be dead counts, so that a node that just
    /// started does not take over from one that it has not met yet.
    fn cleans_claims(&self) -> bool {
        let first = self.fleet.members().into_iter().all(|member| {
            member.state == MemberState::Dead
                || member.leaving
                || self.deployment.is_node_out(member.node)
                || self.catalog.node_name(member.node) > self.name
        });
        first && self.stage == Stage::Serving && self.readiness.reason().is_none()
    }

    fn advance_stop(&mut self) {
        if self.clock.now_us() >= self.stop_by_us && self.stage != Stage::Stopped {
            log::warn!(
                "planned stop: {} requests of callers and {} of nodes are cut after {} ms",
                self.open.len(),
                self.gate.open_requests(),
                self.shutdown_ms
            );
            self.stage = Stage::Stopped;
        }
        if let Stage::Announced { until_us } = self.stage
            && self.clock.now_us() >= until_us
        {
            self.stage = Stage::Finishing;
        }
        if self.stage == Stage::Finishing && self.coordinator.open_requests() == 0 {
            self.stage = Stage::Leaving;
            self.pending.push_back(Input::Fleet(FleetEvent::Stop));
            self.settle();
        }
        if let Stage::Draining { until_us } = self.stage
            && self.clock.now_us() >= until_us
            && self.gate.open_requests() == 0
        {
            log::info!("planned stop: all work has ended");
            self.stage = Stage::Stopped;
        }
    }
}
