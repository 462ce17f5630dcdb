use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http::StatusCode;
use tokio::task;
use tokio::time;

use wigeonhall_dispatch::Exchange;
use wigeonhall_dispatch::GiveUpReason;
use wigeonhall_dispatch::LegState;
use wigeonhall_dispatch::Outcome;
use wigeonhall_dispatch::RefuseReason;
use wigeonhall_dispatch::ReplicaKey;
use wigeonhall_dispatch::Reply;
use wigeonhall_dispatch::Route;
use wigeonhall_dispatch::RouteTarget;
use wigeonhall_dispatch::Send;
use wigeonhall_dispatch::UnknownCause;

use crate::caller_request::CallerHead;
use crate::event::Event;
use crate::event::RequestEvent;
use crate::replica_client;
use crate::replica_client::OutgoingRequest;
use crate::replica_response::ReplicaResponse;
use crate::replica_response::SendResult;
use crate::responses;
use crate::responses::CallerResponse;
use crate::shared::Shared;

/// Shortest time for which a send may go on after its request was answered; a pause of
/// a replica is shorter, and its connection is kept.
const LEFTOVER_MIN_US: u64 = 250_000;

/// Longest time for which a send may go on after its request was answered.
const LEFTOVER_MAX_US: u64 = 1_000_000;

/// Longest lag of an answer that counts as the node's own.
const LAG_MAX_US: u64 = 30_000;

type SendFuture = Pin<Box<dyn Future<Output = (Send, SendResult)>>>;

/// A request that is being answered.
struct Query {
    exchange: Exchange,
    outgoing: Rc<OutgoingRequest>,
    pending: FuturesUnordered<SendFuture>,
    /// The usable answer of each leg's newest attempt.
    responses: Vec<Option<(usize, ReplicaResponse)>>,
    shared: Rc<Shared>,
    started_us: u64,
}

/// Sends a request to replicas as its exchange decides, and answers the caller.
pub(crate) async fn answer(
    shared: &Rc<Shared>,
    head: &CallerHead,
    outgoing: OutgoingRequest,
    started_us: u64,
) -> CallerResponse {
    let route = head.route.clone();
    let timeout_us = route.spec.timeout_ms * 1_000;
    let remaining_us = head
        .remaining_ms
        .map_or(timeout_us, |ms| ms.saturating_mul(1_000));
    let deadline_us = started_us + timeout_us.min(remaining_us);
    let hedge_delay_us = hedge_delay_us(shared, &route);
    let exchange = Exchange::new(
        started_us,
        deadline_us,
        hedge_delay_us,
        shared.answer_lag.get(),
        route,
    );
    let legs = exchange.legs().count();
    let mut query = Query {
        exchange,
        outgoing: Rc::new(outgoing),
        pending: FuturesUnordered::new(),
        responses: (0..legs).map(|_| None).collect(),
        shared: shared.clone(),
        started_us,
    };
    let outcome = query.run().await;
    let response = query.respond(outcome);
    query.observe_lag();
    query.record(head, outcome, response.status());
    query.finish_sends(hedge_delay_us);
    response
}

fn hedge_delay_us(shared: &Shared, route: &Route) -> u64 {
    let mut latencies = shared.latencies.borrow_mut();
    let latency = latencies.entry(route.spec.name.clone()).or_default();
    latency.hedge_delay_us(route.spec.target_latency_ms)
}

impl Query {
    async fn run(&mut self) -> Outcome {
        let mut sends = Vec::new();
        let now_us = self.shared.clock.now_us();
        let started = {
            let mut pool = self.shared.pool.borrow_mut();
            self.exchange.start(&mut pool, now_us, &mut sends)
        };
        if let Some(outcome) = started {
            return outcome;
        }
        loop {
            for send in sends.drain(..) {
                self.dispatch(send);
            }
            let now_us = self.shared.clock.now_us();
            let wake_at = self
                .shared
                .clock
                .instant(self.exchange.next_timer_us(now_us));
            let outcome = tokio::select! {
                biased;
                Some((send, result)) = self.pending.next() => self.take(send, result, &mut sends),
                () = time::sleep_until(wake_at) => self.tick(&mut sends),
            };
            if let Some(outcome) = outcome {
                for send in sends {
                    self.dispatch(send);
                }
                return outcome;
            }
        }
    }

    fn tick(&mut self, sends: &mut Vec<Send>) -> Option<Outcome> {
        let now_us = self.shared.clock.now_us();
        let mut pool = self.shared.pool.borrow_mut();
        self.exchange.timer(&mut pool, now_us, sends)
    }

    fn take(&mut self, send: Send, result: SendResult, sends: &mut Vec<Send>) -> Option<Outcome> {
        if result.reply != Reply::Success {
            self.log_send(send, result.reply);
        }
        // The answer of a leg that is done stays; a hedge may end after it.
        if let Some(response) = result.response
            && self.exchange.is_open(send.leg)
        {
            self.responses[send.leg] = Some((send.attempt, response));
        }
        let now_us = self.shared.clock.now_us();
        let mut pool = self.shared.pool.borrow_mut();
        self.exchange
            .reply(&mut pool, now_us, send, result.reply, sends)
    }

    fn dispatch(&self, send: Send) {
        let shared = self.shared.clone();
        let outgoing = self.outgoing.clone();
        let deadline_us = self.exchange.deadline_us();
        let route = self.exchange.route().clone();
        let flight = Flight::new(shared.clone(), send.replica, route);
        self.pending.push(Box::pin(async move {
            let result = replica_client::send(&shared, send.replica, &outgoing, deadline_us).await;
            flight.land(result.reply);
            (send, result)
        }));
    }

    /// Observes how long after its time an answer was made.
    fn observe_lag(&self) {
        let now_us = self.shared.clock.now_us();
        let soft_us = self.exchange.soft_us();
        // A request that waited longer on purpose says nothing of the node.
        let due = now_us.checked_sub(soft_us);
        if let Some(lag_us) = due.filter(|lag_us| *lag_us <= LAG_MAX_US) {
            self.shared.answer_lag.observe(lag_us);
        }
    }

    fn respond(&mut self, outcome: Outcome) -> CallerResponse {
        match outcome {
            Outcome::Forward { attempt } => match self.responses[0].take() {
                Some((found, response)) if found == attempt => responses::forwarded(response),
                _ => responses::plain(StatusCode::BAD_GATEWAY, "the answer is lost"),
            },
            Outcome::Gather { missing } => self.merge(missing),
            Outcome::GiveUp(GiveUpReason::DeadlinePassed) => {
                responses::plain(StatusCode::GATEWAY_TIMEOUT, "the deadline passed")
            }
            Outcome::GiveUp(GiveUpReason::NoAnswer) => {
                responses::plain(StatusCode::BAD_GATEWAY, "no replica gave a usable answer")
            }
            Outcome::GiveUp(GiveUpReason::TooFewParts) => {
                responses::plain(StatusCode::BAD_GATEWAY, "too few shards can answer")
            }
            Outcome::Refuse {
                reason,
                retry_after_ms,
            } => responses::refusal(refusal_text(reason), retry_after_ms),
        }
    }

    fn merge(&mut self, missing: usize) -> CallerResponse {
        let states: Vec<LegState> = self.exchange.legs().collect();
        let mut parts = Vec::with_capacity(states.len());
        for (slot, state) in self.responses.iter_mut().zip(&states) {
            if let (LegState::Done(attempt), Some((found, response))) = (state, slot.take())
                && *attempt == found
            {
                parts.push(response);
            }
        }
        let top_records = match &self.exchange.route().target {
            RouteTarget::Gather { top_records, .. } => *top_records,
            RouteTarget::Service(_) | RouteTarget::Split(_) => 0,
        };
        responses::gathered(&parts, missing, top_records)
            .unwrap_or_else(|| responses::plain(StatusCode::BAD_GATEWAY, "malformed receipt"))
    }

    fn log_send(&self, send: Send, reply: Reply) {
        let shared = &self.shared;
        let pool = shared.pool.borrow();
        let elapsed_us = shared.clock.now_us() - self.exchange.sent_us(send);
        shared.log(&Event::Send {
            elapsed_ms: elapsed_us as f64 / 1_000.0,
            replica: pool
                .replica(send.replica)
                .map_or("gone", |replica| replica.id()),
            reply: format!("{reply:?}"),
            request_id: self.outgoing.request_id.to_str().unwrap_or(""),
            service: pool.service_name(self.exchange.service(send.leg)),
        });
    }

    fn record(&self, head: &CallerHead, outcome: Outcome, status: StatusCode) {
        let shared = &self.shared;
        let now_us = shared.clock.now_us();
        let elapsed_us = now_us - self.started_us;
        let heard_us = shared.replicas_heard_us.get().unwrap_or(0);
        let route = self.exchange.route();
        let missing = self.missing();
        let metrics = &shared.metrics;
        metrics
            .extra_sends
            .inc_by(u64::from(self.exchange.extra_sends()));
        metrics.missing_parts.inc_by(missing.len() as u64);
        metrics
            .requests
            .with_label_values(&[outcome_label(outcome)])
            .inc();
        metrics
            .request_latency_s
            .with_label_values(&[&*route.spec.name])
            .observe(elapsed_us as f64 / 1_000_000.0);
        shared.log(&Event::Request(RequestEvent {
            config_version: route.version,
            deadline_ms: (self.exchange.deadline_us() - self.started_us) / 1_000,
            elapsed_ms: elapsed_us as f64 / 1_000.0,
            extra_sends: self.exchange.extra_sends(),
            legs: self.responses.len(),
            missing,
            outcome: format!("{outcome:?}"),
            request_id: head.request_id.to_str().unwrap_or(""),
            route: &route.spec.name,
            status: status.as_u16(),
            store_age_ms: (now_us - heard_us) / 1_000,
        }));
    }

    /// Services without an answer, each with its state.
    fn missing(&self) -> Vec<String> {
        let pool = self.shared.pool.borrow();
        let mut missing = Vec::new();
        for (leg, state) in self.exchange.legs().enumerate() {
            if !matches!(state, LegState::Done(_)) {
                let service = pool.service_name(self.exchange.service(leg));
                missing.push(format!("{service}: {state:?}"));
            }
        }
        missing
    }

    /// Lets sends that are still out end by themselves for a while, which keeps their
    /// connections, and then ends them.
    fn finish_sends(self, hedge_delay_us: u64) {
        if self.pending.is_empty() {
            return;
        }
        let leftover_us = (4 * hedge_delay_us).clamp(LEFTOVER_MIN_US, LEFTOVER_MAX_US);
        let pending = self.pending;
        task::spawn_local(async move {
            let rest = pending.for_each(|_| std::future::ready(()));
            // Sends that are still out are counted as silent when they are dropped.
            if time::timeout(Duration::from_micros(leftover_us), rest)
                .await
                .is_err()
            {
                log::debug!("sends of an answered request were ended");
            }
        });
    }
}

const fn refusal_text(reason: RefuseReason) -> &'static str {
    match reason {
        RefuseReason::Busy => "replicas have no room",
        RefuseReason::DeadlinePassed => "no replica was reached in time",
        RefuseReason::NoReplica => "no replica is available",
        RefuseReason::TooFewShards => "too few shards have an available replica",
    }
}

const fn outcome_label(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Forward { .. } => "forwarded",
        Outcome::Gather { missing: 0 } => "whole",
        Outcome::Gather { .. } => "partial",
        Outcome::GiveUp(GiveUpReason::DeadlinePassed) => "deadline_passed",
        Outcome::GiveUp(GiveUpReason::NoAnswer) => "no_answer",
        Outcome::GiveUp(GiveUpReason::TooFewParts) => "too_few_parts",
        Outcome::Refuse { .. } => "refused",
    }
}

/// A send on its way; tells the pool what came of it, also when it is dropped.
struct Flight {
    landed: Cell<bool>,
    replica: ReplicaKey,
    route: Rc<Route>,
    sent_us: u64,
    shared: Rc<Shared>,
}

impl Flight {
    fn new(shared: Rc<Shared>, replica: ReplicaKey, route: Rc<Route>) -> Self {
        Self {
            landed: Cell::new(false),
            replica,
            route,
            sent_us: shared.clock.now_us(),
            shared,
        }
    }

    fn land(&self, reply: Reply) {
        self.landed.set(true);
        let shared = &self.shared;
        let now_us = shared.clock.now_us();
        let latency_us = now_us - self.sent_us;
        let mut latencies = shared.latencies.borrow_mut();
        let latency = latencies.entry(self.route.spec.name.clone()).or_default();
        let ratio = if reply == Reply::Success {
            shared
                .metrics
                .replica_latency_s
                .observe(latency_us as f64 / 1_000_000.0);
            latency.observe(latency_us)
        } else {
            latency.ratio(latency_us)
        };
        shared
            .metrics
            .replica_replies
            .with_label_values(&[reply_label(reply)])
            .inc();
        let mut pool = shared.pool.borrow_mut();
        pool.finished(now_us, self.replica, reply, ratio);
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        if self.landed.get() {
            return;
        }
        let now_us = self.shared.clock.now_us();
        let silent = now_us - self.sent_us >= LEFTOVER_MIN_US;
        let mut pool = self.shared.pool.borrow_mut();
        if silent {
            let reply = Reply::Unknown(UnknownCause::Silent);
            pool.finished(now_us, self.replica, reply, 1.0);
        } else {
            pool.abandoned(self.replica);
        }
    }
}

const fn reply_label(reply: Reply) -> &'static str {
    match reply {
        Reply::Failed { .. } => "failed",
        Reply::NotRun(_) => "not_run",
        Reply::Success => "success",
        Reply::Unknown(_) => "unknown",
    }
}
