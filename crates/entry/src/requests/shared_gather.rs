//! Answers a shared gather: one whose legs are divided among nodes of a data centre, each of
//! which collects the parts of its legs.
//!
//! A leg is the share of a request that one shard service answers; a part is what a replica
//! returned for it. The fallback of a leg is the replica that this node uses if it reclaims the leg
//! from a peer.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::pin::Pin;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;

use futures::Stream;
use futures::StreamExt;
use futures::stream;
use futures::stream::SelectAll;
use tokio::task;
use tokio::time;

use wigeonhall_dispatch::Exchange;
use wigeonhall_dispatch::GiveUpReason;
use wigeonhall_dispatch::Notice;
use wigeonhall_dispatch::Outcome;
use wigeonhall_dispatch::RateLimit;
use wigeonhall_dispatch::RelayGroup;
use wigeonhall_dispatch::ReplicaKey;
use wigeonhall_dispatch::Route;
use wigeonhall_dispatch::ServiceKey;

use crate::callers::caller_response::CallerResponse;
use crate::callers::responses;
use crate::peers::relay_client;
use crate::peers::relay_client::LegAssignment;
use crate::peers::relay_client::PartsStream;
use crate::peers::relay_client::RelayDeadlines;
use crate::peers::relay_client::RelayError;
use crate::process::event::Event;
use crate::process::node_state::NodeState;
use crate::replicas::outgoing_request::OutgoingRequest;
use crate::requests::answer_summary::AnswerSummary;
use crate::requests::group_parts::GroupHead;
use crate::requests::group_parts::GroupParts;
use crate::requests::group_stream;
use crate::requests::query::Query;

/// The assignment of a gather's legs to nodes.
pub(crate) type GatherPlan = Vec<RelayGroup>;

type UpdateStream = Pin<Box<dyn Stream<Item = GatherUpdate>>>;

/// An update from one of the nodes that collect parts.
enum GatherUpdate {
    /// A peer delivered none of the parts that it was asked for.
    Failed {
        error: RelayError,
        node: Arc<str>,
        assignment: LegAssignment,
    },
    /// Parts arrived; `node` is the peer that collected them, or `None` for this node.
    Parts {
        node: Option<Arc<str>>,
        parts: GroupParts,
    },
}

/// A shared gather on the node that answers the caller.
///
/// Each leg is assigned to one node at a time, so that no part is counted twice: legs are
/// reclaimed only from a peer that delivered nothing and whose stream has been dropped.
pub(crate) struct SharedGather {
    collected: Vec<GroupParts>,
    /// Legs whose parts have arrived.
    done: BTreeSet<usize>,
    extra_sends: u32,
    hedge_delay_us: u64,
    /// Number of legs.
    legs: usize,
    min_parts: usize,
    outgoing: Rc<OutgoingRequest>,
    route: Rc<Route>,
    shared: Rc<NodeState>,
    deadlines: RelayDeadlines,
    updates: SelectAll<UpdateStream>,
}

impl SharedGather {
    pub(crate) fn new(
        shared: &Rc<NodeState>,
        exchange: &Exchange,
        outgoing: Rc<OutgoingRequest>,
        hedge_delay_us: u64,
    ) -> Self {
        Self {
            collected: Vec::new(),
            done: BTreeSet::new(),
            extra_sends: 0,
            hedge_delay_us,
            legs: exchange.legs().count(),
            min_parts: exchange.min_parts().unwrap_or(1),
            outgoing,
            route: exchange.route().clone(),
            shared: shared.clone(),
            deadlines: RelayDeadlines {
                deadline_us: exchange.deadline_us(),
                soft_deadline_us: exchange.soft_deadline_us(),
            },
            updates: SelectAll::new(),
        }
    }

    /// Asks the nodes of the plan for parts, and answers once all parts have arrived, or from the
    /// soft deadline (when an incomplete answer is enough) on as soon as enough have; gives up at
    /// the deadline.
    pub(crate) async fn run(
        mut self,
        plan: GatherPlan,
    ) -> (Outcome, CallerResponse, AnswerSummary) {
        let nodes = plan.len();
        self.start(plan);
        let soft_at = self.shared.clock.instant(self.deadlines.soft_deadline_us);
        let shared = self.shared.clone();
        let mut told_to_stop = pin!(shared.told_to_stop());
        let mut due = false;
        while !(due && self.done.len() >= self.min_parts) {
            let deadline_us = self.deadlines.deadline_us.min(shared.answers_due_us());
            let deadline_at = shared.clock.instant(deadline_us);
            let wake_at = if due { deadline_at } else { soft_at };
            tokio::select! {
                biased;
                update = self.updates.next() => match update {
                    Some(update) => self.handle_update(update),
                    None => break,
                },
                () = &mut told_to_stop => told_to_stop.set(shared.told_to_stop()),
                () = time::sleep_until(wake_at.min(deadline_at)) => {
                    if due {
                        break;
                    }
                    due = true;
                    self.observe();
                }
            }
            if self.done.len() == self.legs {
                break;
            }
        }
        if !due {
            self.observe();
        }
        self.answer(nodes)
    }

    /// Records whether the gather had enough parts when its answer was due.
    fn observe(&self) {
        let enough_parts = self.done.len() >= self.min_parts;
        let mut pool = self.shared.pool.borrow_mut();
        pool.observe_gather(self.route.legs_key, enough_parts);
    }

    fn start(&mut self, plan: GatherPlan) {
        let services = self.route.select().services;
        for group in plan {
            match group.peer {
                None => self.collect_locally(group.legs, self.route.spec.max_attempts, &[]),
                Some((name, address)) => {
                    let assignment = self.assign(group.legs, &services);
                    let request = RelayRequest {
                        address,
                        node: name,
                        outgoing: self.outgoing.clone(),
                        route: self.route.clone(),
                        shared: self.shared.clone(),
                        deadlines: self.deadlines,
                        assignment,
                    };
                    self.updates.push(Box::pin(request.updates()));
                }
            }
        }
    }

    /// Assigns legs to a peer and chooses their fallback replicas.
    fn assign(&self, legs: Vec<usize>, services: &[ServiceKey]) -> LegAssignment {
        let now_us = self.shared.clock.now_us();
        let mut pool = self.shared.pool.borrow_mut();
        let fallback = |leg: &usize| pool.choose_fallback(now_us, services[*leg]);
        LegAssignment {
            fallbacks: legs.iter().map(fallback).collect(),
            legs,
        }
    }

    /// Collects legs on this node, each from at most `max_runs` replicas including its fallback.
    fn collect_locally(
        &mut self,
        legs: Vec<usize>,
        max_runs: u32,
        fallbacks: &[Option<ReplicaKey>],
    ) {
        let exchange = Exchange::for_legs(
            self.route.clone(),
            &legs,
            max_runs,
            self.deadlines.soft_deadline_us,
            self.deadlines.deadline_us,
            self.hedge_delay_us,
        )
        .with_fallbacks(fallbacks)
        .with_queueing_latency(self.shared.queueing_us(&self.route))
        .with_profile(self.shared.route_profile(&self.route));
        let query = Query::new(&self.shared, exchange, self.outgoing.clone());
        let parts = group_stream::collect(query, legs, self.route.top_records());
        let updates = parts.map(|parts| GatherUpdate::Parts { node: None, parts });
        self.updates.push(Box::pin(updates));
    }

    /// Reclaims legs from a peer that may have sent them: only those with a fallback replica.
    fn reclaim(&mut self, assignment: LegAssignment) {
        let legs = assignment.legs.into_iter().zip(assignment.fallbacks);
        let (legs, fallbacks): (Vec<usize>, Vec<_>) =
            legs.filter(|(_, fallback)| fallback.is_some()).unzip();
        if !legs.is_empty() {
            self.collect_locally(legs, 1, &fallbacks);
        }
    }

    fn handle_update(&mut self, update: GatherUpdate) {
        match update {
            GatherUpdate::Parts { node, parts } => {
                if let Some(node) = node {
                    self.shared.peers.borrow_mut().clear_peer_suspicion(&node);
                }
                self.add(parts);
            }
            GatherUpdate::Failed {
                error,
                node,
                assignment,
            } => {
                self.record_failure(&node, error);
                match error {
                    // The peer sent none of the legs.
                    RelayError::Declined | RelayError::Unreachable => {
                        self.collect_locally(assignment.legs, self.route.spec.max_attempts, &[]);
                    }
                    // The peer may have sent the legs to other replicas.
                    RelayError::Lost | RelayError::Silent => self.reclaim(assignment),
                }
            }
        }
    }

    fn add(&mut self, parts: GroupParts) {
        self.apply_notices(&parts.head);
        self.extra_sends += parts.head.extra_sends;
        self.done.extend(&parts.head.legs);
        self.collected.push(parts);
    }

    /// Heeds what replicas announced to a peer, that they are draining or limit their rate, as if
    /// this node had received their responses itself.
    fn apply_notices(&self, head: &GroupHead) {
        for id in &head.leaving {
            let notice = Notice {
                draining: true,
                ..Notice::default()
            };
            self.apply_notice(id, notice);
        }
        for limit in &head.limits {
            let notice = Notice {
                rate_limit: RateLimit::PerSecond(limit.per_s),
                ..Notice::default()
            };
            self.apply_notice(&limit.replica, notice);
        }
    }

    fn apply_notice(&self, replica: &str, notice: Notice) {
        let now_us = self.shared.clock.now_us();
        let key = self.shared.pool.borrow().key_of(replica);
        if let Some(key) = key {
            self.shared.apply_notice(now_us, key, notice);
        }
    }

    fn record_failure(&self, node: &Arc<str>, error: RelayError) {
        self.shared.metrics.relay_failures.inc();
        if error != RelayError::Declined {
            let now_us = self.shared.clock.now_us();
            self.shared.peers.borrow_mut().suspect_peer(now_us, node);
        }
        self.shared.log(&Event::Relay {
            peer: node,
            reason: format!("{error:?}"),
            request_id: self.outgoing.request_id.to_str().unwrap_or(""),
        });
    }

    fn answer(self, nodes: usize) -> (Outcome, CallerResponse, AnswerSummary) {
        let missing = self.legs - self.done.len();
        let summary = AnswerSummary {
            extra_sends: self.extra_sends,
            legs: self.legs,
            missing: self.missing(),
            nodes,
        };
        if self.done.len() >= self.min_parts {
            let top_records = self.route.top_records();
            if let Some(response) = responses::merged_groups(&self.collected, missing, top_records)
            {
                return (Outcome::Gather { missing }, response, summary);
            }
        }
        let deadline_passed = self.shared.clock.now_us() >= self.deadlines.deadline_us;
        let reason = if deadline_passed {
            GiveUpReason::DeadlinePassed
        } else {
            GiveUpReason::TooFewParts
        };
        (
            Outcome::GiveUp(reason),
            responses::given_up(reason),
            summary,
        )
    }

    /// Returns the services whose parts have not arrived.
    fn missing(&self) -> Vec<String> {
        let pool = self.shared.pool.borrow();
        let services = self.route.select().services;
        let numbered = services.iter().enumerate();
        numbered
            .filter(|(leg, _)| !self.done.contains(leg))
            .map(|(_, service)| pool.service_name(*service).to_string())
            .collect()
    }
}

/// A request to a peer to collect the parts of legs.
struct RelayRequest {
    address: SocketAddr,
    node: Arc<str>,
    outgoing: Rc<OutgoingRequest>,
    route: Rc<Route>,
    shared: Rc<NodeState>,
    deadlines: RelayDeadlines,
    assignment: LegAssignment,
}

/// Progress of a [`RelayRequest`].
enum RelayProgress {
    Ended,
    /// Some parts arrived; more may follow.
    Streaming(PartsStream, Arc<str>),
    Unsent(RelayRequest),
}

impl RelayRequest {
    /// Asks the peer and returns its parts as they arrive.
    ///
    /// A failure after the first parts ends the stream: the remaining legs stay without a part.
    fn updates(self) -> impl Stream<Item = GatherUpdate> {
        stream::unfold(RelayProgress::Unsent(self), |progress| async move {
            match progress {
                RelayProgress::Ended => None,
                RelayProgress::Unsent(request) => Some(request.ask().await),
                RelayProgress::Streaming(stream, node) => next_update(stream, node).await,
            }
        })
    }

    async fn ask(self) -> (GatherUpdate, RelayProgress) {
        let response = relay_client::ask(
            &self.shared,
            self.address,
            &self.route,
            &self.assignment,
            &self.outgoing,
            self.deadlines,
        );
        let mut stream = match response.await {
            Ok(stream) => stream,
            Err(error) => return (self.failure(error), RelayProgress::Ended),
        };
        match stream.next().await {
            Ok(Some(parts)) => parts_update(parts, stream, self.node),
            Ok(None) => (self.failure(RelayError::Lost), RelayProgress::Ended),
            Err(error) => (self.failure(error), RelayProgress::Ended),
        }
    }

    fn failure(self, error: RelayError) -> GatherUpdate {
        GatherUpdate::Failed {
            error,
            node: self.node,
            assignment: self.assignment,
        }
    }
}

async fn next_update(
    mut stream: PartsStream,
    node: Arc<str>,
) -> Option<(GatherUpdate, RelayProgress)> {
    match stream.next().await {
        Ok(Some(parts)) => Some(parts_update(parts, stream, node)),
        Ok(None) => None,
        Err(error) => {
            log::debug!("the stream of parts from peer {node} failed: {error:?}");
            None
        }
    }
}

fn parts_update(
    parts: GroupParts,
    stream: PartsStream,
    node: Arc<str>,
) -> (GatherUpdate, RelayProgress) {
    let progress = if parts.head.last {
        // Reads the end of the stream, so that the connection can be reused.
        task::spawn_local(stream.finish());
        RelayProgress::Ended
    } else {
        RelayProgress::Streaming(stream, node.clone())
    };
    let update = GatherUpdate::Parts {
        node: Some(node),
        parts,
    };
    (update, progress)
}
