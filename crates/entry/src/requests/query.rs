use std::cell::Cell;
use std::future;
use std::mem;
use std::pin::Pin;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http::HeaderValue;
use tokio::task;
use tokio::time;

use wigeonhall_adapter::LEAVING;
use wigeonhall_adapter::RATE_LIMIT;
use wigeonhall_adapter::rate_limit_per_s;
use wigeonhall_dispatch::DeadReason;
use wigeonhall_dispatch::Exchange;
use wigeonhall_dispatch::LegState;
use wigeonhall_dispatch::Outcome;
use wigeonhall_dispatch::Pool;
use wigeonhall_dispatch::Replica;
use wigeonhall_dispatch::ReplicaKey;
use wigeonhall_dispatch::Reply;
use wigeonhall_dispatch::Route;
use wigeonhall_dispatch::SubRequest;
use wigeonhall_dispatch::TargetSpec;
use wigeonhall_dispatch::UnknownCause;

use crate::process::event::Event;
use crate::process::node_state::NodeState;
use crate::replicas::outgoing_request::OutgoingRequest;
use crate::replicas::replica_client;
use crate::replicas::replica_response::ReplicaResponse;
use crate::replicas::replica_response::SubRequestResult;
use crate::requests::crash_trial;
use crate::requests::group_parts::NamedLimit;

/// Time for which a sub-request may continue after its request was answered: longer than a typical
/// pause of a replica, and short enough if the caller has disconnected meanwhile.
const LEFTOVER_SUB_REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

/// Time without a response after which a dropped sub-request counts as silent.
const SILENT_SUB_REQUEST_US: u64 = 250_000;

type SubRequestFuture = Pin<Box<dyn Future<Output = (SubRequest, SubRequestResult)>>>;

/// A request in progress: its sub-requests to replicas and their responses.
///
/// A leg is the share of the request that one service answers; the response to a leg of a gather
/// is a part of the answer. A hedge is a second sub-request for a leg that is late.
pub(crate) struct Query {
    /// Whether the request was answered.
    answered: bool,
    /// Decides which sub-requests to send and when the request is answered.
    pub(crate) exchange: Exchange,
    outgoing: Rc<OutgoingRequest>,
    pending: FuturesUnordered<SubRequestFuture>,
    /// For each leg, the last response received while it was open, with the index of its
    /// sub-request.
    responses: Vec<Option<(usize, ReplicaResponse)>>,
    shared: Rc<NodeState>,
}

impl Query {
    pub(crate) fn new(
        shared: &Rc<NodeState>,
        exchange: Exchange,
        outgoing: Rc<OutgoingRequest>,
    ) -> Self {
        let legs = exchange.legs().count();
        Self {
            answered: false,
            exchange,
            outgoing,
            pending: FuturesUnordered::new(),
            responses: (0..legs).map(|_| None).collect(),
            shared: shared.clone(),
        }
    }

    /// Sends the first requests and drives the exchange to an outcome.
    pub(crate) async fn run(&mut self) -> Outcome {
        let mut sub_requests = Vec::new();
        let now_us = self.shared.clock.now_us();
        let started = {
            let mut pool = self.shared.pool.borrow_mut();
            self.exchange.start(&mut pool, now_us, &mut sub_requests)
        };
        if let Some(outcome) = started {
            return outcome;
        }
        self.dispatch_all(sub_requests);
        self.drive().await
    }

    /// Drives the exchange to its next outcome.
    pub(crate) async fn drive(&mut self) -> Outcome {
        let mut sub_requests = Vec::new();
        let shared = self.shared.clone();
        let mut told_to_stop = pin!(shared.told_to_stop());
        loop {
            self.exchange.limit_deadline(shared.answers_due_us());
            let now_us = self.shared.clock.now_us();
            let next_us = self.exchange.next_timer_us(now_us);
            let wake_at = self.shared.clock.instant(next_us);
            let outcome = tokio::select! {
                biased;
                Some((sub_request, result)) = self.pending.next() => self.handle_result(sub_request, result, &mut sub_requests),
                () = time::sleep_until(wake_at) => self.handle_timer(&mut sub_requests),
                () = &mut told_to_stop => {
                    told_to_stop.set(shared.told_to_stop());
                    None
                }
            };
            self.dispatch_all(std::mem::take(&mut sub_requests));
            if let Some(outcome) = outcome {
                return outcome;
            }
        }
    }

    fn dispatch_all(&self, sub_requests: Vec<SubRequest>) {
        for sub_request in sub_requests {
            self.dispatch(sub_request);
        }
    }

    fn handle_timer(&mut self, sub_requests: &mut Vec<SubRequest>) -> Option<Outcome> {
        let now_us = self.shared.clock.now_us();
        let mut pool = self.shared.pool.borrow_mut();
        self.exchange.timer(&mut pool, now_us, sub_requests)
    }

    fn handle_result(
        &mut self,
        sub_request: SubRequest,
        result: SubRequestResult,
        sub_requests: &mut Vec<SubRequest>,
    ) -> Option<Outcome> {
        if result.reply != Reply::Success {
            self.log_failed_sub_request(sub_request, result.reply);
        }
        // A hedge that ends late must not replace the response of a leg that is done.
        if let Some(response) = result.response
            && self.exchange.is_open(sub_request.leg)
        {
            self.responses[sub_request.leg] = Some((sub_request.attempt, response));
        }
        let now_us = self.shared.clock.now_us();
        let mut pool = self.shared.pool.borrow_mut();
        self.exchange
            .reply(&mut pool, now_us, sub_request, result.reply, sub_requests)
    }

    fn dispatch(&self, sub_request: SubRequest) {
        let shared = self.shared.clone();
        let outgoing = self.outgoing.clone();
        let deadline_us = self.exchange.deadline_us();
        let route = self.exchange.route().clone();
        let is_gather = matches!(route.spec.target, TargetSpec::Gather { .. });
        let in_flight = InFlightSubRequest::new(shared.clone(), sub_request.replica, route);
        self.pending.push(Box::pin(async move {
            let mut result =
                replica_client::send(&shared, sub_request.replica, &outgoing, deadline_us).await;
            if is_gather {
                result.require_listed_receipt();
            }
            in_flight.complete(&result);
            // Also a sub-request that ends after its request was answered.
            if result.reply == Reply::Unknown(UnknownCause::Crashed) {
                in_flight.record_crash(&outgoing);
            }
            (sub_request, result)
        }));
    }

    pub(crate) fn request_id(&self) -> &HeaderValue {
        &self.outgoing.request_id
    }

    /// Removes and returns the response to a leg's sub-request with the index `attempt`.
    pub(crate) fn take_response(&mut self, leg: usize, attempt: usize) -> Option<ReplicaResponse> {
        let (found, response) = self.responses.get_mut(leg)?.take()?;
        (found == attempt).then_some(response)
    }

    /// Removes and returns the parts received so far, each with its leg.
    pub(crate) fn take_parts(&mut self) -> Vec<(usize, ReplicaResponse)> {
        let states: Vec<LegState> = self.exchange.legs().collect();
        let mut parts = Vec::with_capacity(states.len());
        for (leg, state) in states.into_iter().enumerate() {
            if let LegState::Done(attempt) = state
                && let Some(response) = self.take_response(leg, attempt)
            {
                parts.push((leg, response));
            }
        }
        parts
    }

    /// Returns the replicas that announced in these responses that they are draining.
    pub(crate) fn draining_replicas(&self, parts: &[(usize, ReplicaResponse)]) -> Vec<String> {
        let pool = self.shared.pool.borrow();
        let announcing = parts
            .iter()
            .filter(|(_, response)| response.headers.contains_key(&LEAVING));
        let id = |leg: usize| Some(self.replica_of_part(&pool, leg)?.id().to_string());
        announcing.filter_map(|(leg, _)| id(*leg)).collect()
    }

    /// Returns the limits of the rate that replicas named in these responses.
    pub(crate) fn named_limits(&self, parts: &[(usize, ReplicaResponse)]) -> Vec<NamedLimit> {
        let pool = self.shared.pool.borrow();
        let limits = parts.iter().filter_map(|(leg, response)| {
            let per_s = response
                .headers
                .get(&RATE_LIMIT)
                .and_then(rate_limit_per_s)?;
            let replica = self.replica_of_part(&pool, *leg)?.id().to_string();
            Some(NamedLimit { per_s, replica })
        });
        limits.collect()
    }

    /// Returns the replica whose response is the part of a leg.
    fn replica_of_part<'a>(&self, pool: &'a Pool, leg: usize) -> Option<&'a Replica> {
        let LegState::Done(attempt) = self.exchange.legs().nth(leg)? else {
            return None;
        };
        let key = self.exchange.replicas(leg).nth(attempt)?;
        pool.replica(key)
    }

    fn log_failed_sub_request(&self, sub_request: SubRequest, reply: Reply) {
        let shared = &self.shared;
        let replica = replica_id(shared, sub_request.replica);
        let pool = shared.pool.borrow();
        let elapsed_us = shared.clock.now_us() - self.exchange.sent_us(sub_request);
        shared.log(&Event::Send {
            elapsed_ms: elapsed_us as f64 / 1_000.0,
            replica: &replica,
            reply: format!("{reply:?}"),
            request_id: self.outgoing.request_id.to_str().unwrap_or(""),
            service: pool.service_name(self.exchange.service(sub_request.leg)),
        });
    }

    /// Describes each service without a usable response: its state and the replicas that were
    /// asked, or why none was.
    pub(crate) fn missing(&self) -> Vec<String> {
        let pool = self.shared.pool.borrow();
        let mut missing = Vec::new();
        for (leg, state) in self.exchange.legs().enumerate() {
            if matches!(state, LegState::Done(_)) {
                continue;
            }
            let service = pool.service_name(self.exchange.service(leg));
            if state == LegState::Dead(DeadReason::NoReplica) {
                missing.push(format!(
                    "{service}: {state:?}, {}",
                    self.describe_unavailable(&pool, leg)
                ));
                continue;
            }
            let replicas = self.exchange.replicas(leg);
            let asked: Vec<&str> = replicas
                .map(|key| pool.replica(key).map_or("gone", |replica| replica.id()))
                .collect();
            missing.push(format!("{service}: {state:?}, asked [{}]", asked.join(" ")));
        }
        missing
    }

    /// Describes the replicas of a leg's service and why they take no requests.
    fn describe_unavailable(&self, pool: &Pool, leg: usize) -> String {
        let now_us = self.shared.clock.now_us();
        let replicas = pool.replicas_of(self.exchange.service(leg)).iter();
        let states = replicas.filter_map(|key| {
            let availability = pool.availability(now_us, *key)?;
            Some(format!("{} {availability:?}", pool.replica(*key)?.id()))
        });
        let states: Vec<String> = states.collect();
        format!("known [{}]", states.join(", "))
    }

    /// Records that the request was answered: sub-requests still in flight may then finish for a
    /// short time, which keeps their connections reusable.
    pub(crate) const fn mark_answered(&mut self) {
        self.answered = true;
    }
}

impl Drop for Query {
    /// Cancels all sub-requests if the request wasn't answered, as its caller has then
    /// disconnected, or if it crashes the replicas that run it.
    fn drop(&mut self) {
        let cancelled = !self.answered || self.exchange.crashes_replicas();
        if cancelled || self.pending.is_empty() {
            return;
        }
        let leftover_sub_requests = mem::take(&mut self.pending).for_each(|_| future::ready(()));
        task::spawn_local(async move {
            // Sub-requests still in flight at the timeout count as silent when they are dropped.
            if time::timeout(LEFTOVER_SUB_REQUEST_TIMEOUT, leftover_sub_requests)
                .await
                .is_err()
            {
                log::debug!("cancelled sub-requests of an answered request");
            }
        });
    }
}

/// A sub-request in flight; reports its result to the pool, also when it is dropped.
struct InFlightSubRequest {
    completed: Cell<bool>,
    replica: ReplicaKey,
    route: Rc<Route>,
    sent_us: u64,
    shared: Rc<NodeState>,
}

impl InFlightSubRequest {
    fn new(shared: Rc<NodeState>, replica: ReplicaKey, route: Rc<Route>) -> Self {
        Self {
            completed: Cell::new(false),
            replica,
            route,
            sent_us: shared.clock.now_us(),
            shared,
        }
    }

    fn record_crash(&self, outgoing: &OutgoingRequest) {
        let id = replica_id(&self.shared, self.replica);
        crash_trial::record_crash(&self.shared, outgoing, &id, self.sent_us);
    }

    fn complete(&self, result: &SubRequestResult) {
        self.completed.set(true);
        let reply = result.reply;
        let shared = &self.shared;
        shared.apply_notice(self.sent_us, self.replica, result.notice);
        let now_us = shared.clock.now_us();
        let latency_us = now_us - self.sent_us;
        let mut latencies = shared.latencies.borrow_mut();
        let latency = latencies.entry(self.route.spec.name.clone()).or_default();
        if let Some(response) = result.response.as_ref().filter(|_| reply == Reply::Success) {
            latency.observe_bytes(response.body.len());
            shared.count_replica_bytes(self.replica, response.body.len());
        }
        if reply == Reply::Success {
            shared
                .metrics
                .replica_latency_s
                .observe(latency_us as f64 / 1_000_000.0);
        }
        let policy = *shared.pool.borrow().policy();
        let ratio = latency.observe_reply(&policy, reply, latency_us);
        shared
            .metrics
            .replica_replies
            .with_label_values(&[reply_label(reply)])
            .inc();
        let mut pool = shared.pool.borrow_mut();
        let route = &self.route.spec.name;
        pool.observe_version(now_us, self.sent_us, self.replica, route, Some(reply));
        pool.request_finished(now_us, self.replica, reply, ratio);
    }
}

impl Drop for InFlightSubRequest {
    fn drop(&mut self) {
        if self.completed.get() {
            return;
        }
        let now_us = self.shared.clock.now_us();
        let silent = now_us - self.sent_us >= SILENT_SUB_REQUEST_US;
        let mut pool = self.shared.pool.borrow_mut();
        if silent {
            let route = &self.route.spec.name;
            pool.observe_version(now_us, self.sent_us, self.replica, route, None);
            let reply = Reply::Unknown(UnknownCause::Silent);
            pool.request_finished(now_us, self.replica, reply, 1.0);
        } else {
            pool.request_dropped(self.replica);
        }
    }
}

fn replica_id(shared: &NodeState, key: ReplicaKey) -> Arc<str> {
    let pool = shared.pool.borrow();
    let replica = pool.replica(key);
    replica.map_or_else(|| "gone".into(), |replica| replica.id().clone())
}

const fn reply_label(reply: Reply) -> &'static str {
    match reply {
        Reply::Failed { .. } => "failed",
        Reply::NotRun(_) => "not_run",
        Reply::Success => "success",
        Reply::Unknown(_) => "unknown",
    }
}
