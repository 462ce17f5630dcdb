use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use fastrand::Rng;

use crate::RunResult;
use crate::Scenario;
use crate::Step;
use crate::TraceEvent;
use crate::event_queue::EventQueue;
use crate::fake_target::FakeTarget;
use crate::fake_target::LimitViolations;
use crate::load;
use crate::network::Network;
use crate::query_trace::QueryTrace;
use crate::scenario::Fault;
use crate::session::SessionState;
use crate::session_store::StoreCall;
use wigeonhall_gate::Gate;
use wigeonhall_gate::GateEvent;
use wigeonhall_query::Coordinator;
use wigeonhall_query::QueryEvent;
use wigeonhall_query::QueryId;
use wigeonhall_types::AttemptId;
use wigeonhall_types::ClassKey;
use wigeonhall_types::DataCentreKey;
use wigeonhall_types::Deployment;
use wigeonhall_types::HandOverState;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::NodeKey;
use wigeonhall_types::OwnershipTable;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::SubRequest;

/// Simulation of nodes that run the query and gate cores (their decision logic, without I/O), with
/// fake targets and callers.
#[derive(Debug)]
pub struct World {
    /// Generator for arrivals and their entry nodes.
    pub(crate) arrivals: Rng,
    pub(crate) deployment: Arc<Deployment>,
    pub(crate) events: EventQueue<Event>,
    /// Sub-requests that run or wait at targets, with the owner that sent each.
    pub(crate) at_targets: HashMap<AttemptId, (NodeKey, SubRequest)>,
    /// Nodes that crashed and have not been replaced.
    pub(crate) lost: BTreeSet<NodeKey>,
    pub(crate) network: Network,
    pub(crate) next_instance: u64,
    pub(crate) next_query: u64,
    pub(crate) nodes: BTreeMap<NodeKey, SimNode>,
    pub(crate) open_queries: HashMap<QueryId, OpenQuery>,
    /// Time at which each data centre that is out of service was taken out.
    pub(crate) out_since_us: BTreeMap<DataCentreKey, u64>,
    /// Arrival rate of each class, in queries per second.
    pub(crate) rates: BTreeMap<ClassKey, f64>,
    pub(crate) result: RunResult,
    /// Generator for service times and delays of changes.
    pub(crate) rng: Rng,
    /// `None` in a measured run.
    pub(crate) session: Option<Box<SessionState>>,
    /// End of the warm-up; arrivals before it are left out of the results.
    pub(crate) measure_from_us: u64,
    pub(crate) targets: BTreeMap<ReplicaKey, FakeTarget>,
    /// `None` unless the run is traced.
    pub(crate) trace: Option<QueryTrace>,
    /// Newest index version, which targets serve or change to.
    pub(crate) version: IndexVersion,
}

/// Simulated node: its cores and the state of the messages to and from it.
#[derive(Debug)]
pub(crate) struct SimNode {
    pub(crate) coordinator: Coordinator,
    pub(crate) data_centre: DataCentreKey,
    pub(crate) gate: Gate,
    /// Entry node of each sub-request that the node has as owner.
    pub(crate) submitters: HashMap<AttemptId, NodeKey>,
    /// Time of the next scheduled [`Event::Wake`].
    pub(crate) planned_wake_us: Option<u64>,
}

/// A query without an answer so far.
#[derive(Debug)]
pub(crate) struct OpenQuery {
    pub(crate) class: ClassKey,
    /// Whether the query arrived after the warm-up.
    pub(crate) counted: bool,
    /// Entry node; `None` in a session.
    pub(crate) entry: Option<NodeKey>,
    pub(crate) started_us: u64,
}

#[derive(Clone, Debug)]
pub(crate) enum Event {
    Arrival(ClassKey),
    /// An owner's poll for whether a request still runs arrives at the target.
    PollEnd(NodeKey, ReplicaKey, AttemptId),
    /// A cancellation arrives at the owner.
    Cancel(NodeKey, AttemptId),
    /// A cancellation arrives at the target.
    CancelAtTarget(ReplicaKey, AttemptId),
    Deployment(NodeKey, Arc<Deployment>),
    Fault(Fault),
    Gate(NodeKey, GateEvent),
    /// The deadline of a request passes before its owner has received a reply.
    SenderTimeout(ReplicaKey, AttemptId),
    HandOver {
        epoch: u64,
        from: NodeKey,
        replica: ReplicaKey,
        state: HandOverState,
        to: NodeKey,
    },
    /// A node requests a lease.
    LeaseRequest(NodeKey),
    /// A probe arrives at the target.
    Probe(NodeKey, ReplicaKey),
    Query(NodeKey, QueryEvent),
    /// A request for reports arrives at an owner.
    ReportRequest {
        from: NodeKey,
        to: NodeKey,
    },
    Restart(ReplicaKey),
    /// A target changes to a new index version.
    RollTarget(ReplicaKey, IndexVersion),
    Step(Step),
    StoreCall {
        call: StoreCall,
        /// The node stops waiting before the reply arrives.
        timed_out: bool,
        node: NodeKey,
    },
    /// A node that got no reply of the store reads its claim back.
    StoreReadBack(NodeKey, StoreCall),
    Submit {
        from: NodeKey,
        to: NodeKey,
        sub: SubRequest,
    },
    TableUpdate(NodeKey, Arc<OwnershipTable>),
    /// The time at which a new owner starts without a hand-over.
    TakeOver {
        epoch: u64,
        node: NodeKey,
        replica: ReplicaKey,
    },
    /// A target process, given by its identity, completes a request.
    TargetDone(ReplicaKey, AttemptId, u64),
    /// A request of an owner arrives at the target.
    TargetStart(NodeKey, SubRequest),
    /// The earliest timer of the cores of a node.
    Wake(NodeKey),
}

impl World {
    /// Runs a scenario for `run_us` of virtual time and returns the results of the queries
    /// that arrive after `warm_up_us`.
    #[must_use]
    pub fn run(mut self, scenario: &Scenario, warm_up_us: u64, run_us: u64) -> RunResult {
        self.measure_from_us = warm_up_us;
        self.rates = load::rates(&self.deployment, scenario.load);
        for (at_us, class) in load::first_arrivals_us(&mut self.arrivals, &self.rates) {
            self.events.push(at_us, Event::Arrival(class));
        }
        for &(at_us, fault) in &scenario.faults {
            self.events.push(at_us, Event::Fault(fault));
        }
        let is_arrival = |event: &Event| matches!(event, Event::Arrival(_));
        while let Some((now_us, event)) =
            self.events
                .pop_within(run_us, !self.open_queries.is_empty(), is_arrival)
        {
            self.handle_event(now_us, event);
        }
        self.result.limit_violations = LimitViolations::sum(self.targets.values());
        if let Some(trace) = self.trace.take() {
            self.result.traces = trace.into_answers();
        }
        self.result
    }

    pub(crate) fn handle_event(&mut self, now_us: u64, event: Event) {
        if self.session.is_some() && !self.admit(now_us, &event) {
            return;
        }
        if !self.lost.is_empty() && self.is_for_lost_node(&event) {
            return;
        }
        match event {
            Event::Arrival(class) => self.handle_arrival(now_us, class),
            Event::PollEnd(node, replica, attempt) => self.poll_end(now_us, node, replica, attempt),
            Event::Cancel(node, attempt) => {
                self.feed_gate(now_us, node, GateEvent::Cancel(attempt));
            }
            Event::CancelAtTarget(replica, attempt) => {
                self.cancel_at_target(now_us, replica, attempt);
            }
            Event::Deployment(node, deployment) => {
                self.feed_gate(now_us, node, GateEvent::Deployment(Arc::clone(&deployment)));
                self.feed_query(now_us, node, QueryEvent::Deployment(deployment));
            }
            Event::Fault(fault) => self.apply_fault(now_us, fault),
            Event::SenderTimeout(replica, attempt) => self.sender_timeout(now_us, replica, attempt),
            Event::Gate(node, event) => self.feed_gate(now_us, node, event),
            Event::HandOver {
                epoch,
                replica,
                state,
                to,
                ..
            } => self.receive_hand_over(now_us, to, epoch, replica, state),
            Event::LeaseRequest(node) => self.handle_lease_request(now_us, node),
            Event::Probe(node, replica) => self.probe(now_us, node, replica),
            Event::Query(node, event) => self.feed_query(now_us, node, event),
            Event::ReportRequest { from, to } => self.send_reports(now_us, from, to),
            Event::Restart(replica) => {
                let instance = self.next_instance;
                self.next_instance += 1;
                self.target(replica).restart(instance);
                self.record(now_us, || TraceEvent::TargetStarted(replica, instance));
            }
            Event::RollTarget(replica, version) => {
                self.record(now_us, || TraceEvent::Rolled(replica, version));
                self.roll_target(replica, version);
            }
            Event::Step(step) => self.session_step(now_us, step),
            Event::StoreCall {
                call,
                timed_out,
                node,
            } => self.handle_store_call(now_us, node, call, timed_out),
            Event::StoreReadBack(node, call) => self.store_read_back(now_us, node, &call),
            Event::Submit { from, to, sub } => {
                if let Some(node) = self.nodes.get_mut(&to) {
                    node.submitters.insert(sub.attempt, from);
                    if let Some(trace) = &mut self.trace {
                        trace.arrived(now_us, sub.attempt);
                    }
                    self.feed_gate(now_us, to, GateEvent::Submit(sub));
                }
            }
            Event::TableUpdate(node, table) => self.apply_table(now_us, node, &table),
            Event::TakeOver {
                epoch,
                node,
                replica,
            } => self.take_over(now_us, node, replica, epoch),
            Event::TargetDone(replica, attempt, instance) => {
                self.target_done(now_us, replica, attempt, instance);
            }
            Event::TargetStart(node, sub) => self.target_start(now_us, node, sub),
            Event::Wake(node) => self.wake(now_us, node),
        }
    }
}
