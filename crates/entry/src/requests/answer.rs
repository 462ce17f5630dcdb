use std::rc::Rc;

use http::StatusCode;

use wigeonhall_dispatch::Arrival;
use wigeonhall_dispatch::Exchange;
use wigeonhall_dispatch::GiveUpReason;
use wigeonhall_dispatch::Outcome;
use wigeonhall_dispatch::RefuseReason;
use wigeonhall_dispatch::Route;
use wigeonhall_dispatch::TenantClaim;

use crate::callers::caller_request::CallerHead;
use crate::callers::caller_response::CallerResponse;
use crate::callers::responses;
use crate::process::event::Event;
use crate::process::event::RequestEvent;
use crate::process::node_state::NodeState;
use crate::replicas::outgoing_request::OutgoingRequest;
use crate::requests::answer_lag::AnswerDue;
use crate::requests::answer_summary::AnswerSummary;
use crate::requests::crash_trial;
use crate::requests::crash_trial::Admitted;
use crate::requests::query::Query;
use crate::requests::shared_gather;
use crate::requests::shared_gather::SharedGather;

/// Refusal of a request that this node cannot answer before it stops; another node can at once.
const STOPPING: Outcome = Outcome::Refuse {
    reason: RefuseReason::Stopping,
    retry_after_ms: 50,
};

/// Times of a request, for its log line.
#[derive(Clone, Copy, Debug)]
#[expect(clippy::struct_field_names, reason = "the unit is the suffix")]
struct RequestTimes {
    arrived_us: u64,
    deadline_us: u64,
    /// Time from which a gather is answered with the parts received so far.
    due_us: u64,
}

/// Answers a caller. The parts of a gather, which one replica of each shard returns, are collected
/// by this node alone or together with its peers.
pub(crate) async fn answer(
    shared: &Rc<NodeState>,
    head: &CallerHead,
    outgoing: OutgoingRequest,
    arrival: Arrival,
) -> CallerResponse {
    let arrived_us = arrival.arrived_us;
    let route = head.route.clone();
    let timeout_us = route.spec.timeout_ms.saturating_mul(1_000);
    let remaining_us = head
        .remaining_ms
        .map_or(timeout_us, |ms| ms.saturating_mul(1_000));
    let deadline_us = arrived_us.saturating_add(timeout_us.min(remaining_us));
    let hedge_delay_us = shared.hedge_delay_us(&route);
    let mut exchange = Exchange::new(arrival, deadline_us, hedge_delay_us, route.clone())
        .with_queueing_latency(shared.queueing_us(&route))
        .with_profile(shared.route_profile(&route))
        .with_claim(claim(shared, head));
    let soft_deadline_us = exchange.soft_deadline_us();
    let outgoing = Rc::new(outgoing);
    let admitted = if is_too_late(shared, &route) {
        Admitted::Answered(STOPPING)
    } else {
        crash_trial::admit(shared, &mut exchange, &outgoing).await
    };
    let tried = matches!(admitted, Admitted::Tried);
    let plan = plan(shared, &exchange);
    let (mut outcome, mut response, summary) = match plan {
        _ if let Admitted::Answered(outcome) = admitted => {
            refuse(shared, exchange, outgoing.clone(), outcome)
        }
        Some(plan) => match refuse_unservable(shared, &mut exchange) {
            Some(outcome) => refuse(shared, exchange, outgoing.clone(), outcome),
            None => {
                SharedGather::new(shared, &exchange, outgoing.clone(), hedge_delay_us)
                    .run(plan)
                    .await
            }
        },
        None => answer_locally(shared, exchange, outgoing.clone(), admitted).await,
    };
    if summary.missing.is_empty() && response.status().is_success() {
        crash_trial::record_answer(shared, &outgoing);
    }
    if tried && matches!(outcome, Outcome::Refuse { .. }) {
        // A refusal states that the request has not run.
        outcome = Outcome::GiveUp(GiveUpReason::TooFewParts);
        response = responses::given_up(GiveUpReason::TooFewParts);
    }
    response.extensions_mut().insert(AnswerDue {
        due_us: soft_deadline_us,
    });
    let times = RequestTimes {
        arrived_us,
        deadline_us,
        due_us: soft_deadline_us,
    };
    record_answer(shared, head, times, outcome, response.status(), summary);
    response
}

/// Returns the claim of a request to capacity; `None` where the configuration names no tenants.
fn claim(shared: &NodeState, head: &CallerHead) -> Option<TenantClaim> {
    let table = shared.table.borrow();
    let tenants = table.as_ref()?.tenants.as_ref()?;
    let tenant = head.tenant.as_deref();
    let view = shared.quotas.view.borrow();
    let now_us = shared.clock.now_us();
    let demand_per_s = tenant.and_then(|tenant| view.demand_per_s(now_us, &tenant.name));
    Some(tenants.claim(tenant, demand_per_s))
}

/// Whether the node stops before a request on this route can be answered.
fn is_too_late(shared: &NodeState, route: &Route) -> bool {
    let now_us = shared.clock.now_us();
    let target_ms = route.spec.target_latency_ms;
    let limit = shared.stop_limit.get();
    limit.is_some_and(|limit| !limit.accepts(now_us, target_ms))
}

fn plan(shared: &NodeState, exchange: &Exchange) -> Option<shared_gather::GatherPlan> {
    exchange.min_parts()?;
    let pool = shared.pool.borrow();
    if !pool.policy().shared_gathers {
        return None;
    }
    let now_us = shared.clock.now_us();
    let gather = pool.gather_size(exchange.route());
    shared.peers.borrow().plan(now_us, gather)
}

fn refuse_unservable(shared: &NodeState, exchange: &mut Exchange) -> Option<Outcome> {
    let now_us = shared.clock.now_us();
    let mut pool = shared.pool.borrow_mut();
    let refusal = exchange.refuse_unservable(&pool, now_us);
    refusal.or_else(|| exchange.refuse_overload(&mut pool, now_us))
}

/// Refuses a request before any node is asked for its parts.
fn refuse(
    shared: &Rc<NodeState>,
    exchange: Exchange,
    outgoing: Rc<OutgoingRequest>,
    outcome: Outcome,
) -> (Outcome, CallerResponse, AnswerSummary) {
    finish(Query::new(shared, exchange, outgoing), outcome)
}

async fn answer_locally(
    shared: &Rc<NodeState>,
    exchange: Exchange,
    outgoing: Rc<OutgoingRequest>,
    admitted: Admitted,
) -> (Outcome, CallerResponse, AnswerSummary) {
    let mut query = Query::new(shared, exchange, outgoing);
    let outcome = query.run().await;
    if let Admitted::Trial(key) = admitted {
        let passed = matches!(
            outcome,
            Outcome::Forward { .. } | Outcome::GiveUp(GiveUpReason::FalseRefusal)
        );
        crash_trial::end_trial(shared, key, passed);
    }
    finish(query, outcome)
}

fn finish(mut query: Query, outcome: Outcome) -> (Outcome, CallerResponse, AnswerSummary) {
    let summary = AnswerSummary {
        extra_sends: query.exchange.extra_sends(),
        legs: query.exchange.legs().count(),
        missing: query.missing(),
        nodes: 1,
    };
    let response = respond(&mut query, outcome);
    query.mark_answered();
    (outcome, response, summary)
}

fn respond(query: &mut Query, outcome: Outcome) -> CallerResponse {
    match outcome {
        Outcome::Forward { attempt } => match query.take_response(0, attempt) {
            Some(response) => responses::forwarded(response),
            None => responses::plain(StatusCode::BAD_GATEWAY, "the answer is lost"),
        },
        Outcome::Gather { missing } => {
            let parts = query.take_parts().into_iter().map(|(_, part)| part);
            let parts: Vec<_> = parts.collect();
            let top_records = query.exchange.route().top_records();
            responses::merged_parts(&parts, missing, top_records)
                .unwrap_or_else(|| responses::plain(StatusCode::BAD_GATEWAY, "malformed receipt"))
        }
        Outcome::GiveUp(reason) => responses::given_up(reason),
        Outcome::Refuse {
            reason,
            retry_after_ms,
        } => responses::refused(reason, retry_after_ms),
    }
}

fn record_answer(
    shared: &NodeState,
    head: &CallerHead,
    times: RequestTimes,
    outcome: Outcome,
    status: StatusCode,
    summary: AnswerSummary,
) {
    let now_us = shared.clock.now_us();
    let elapsed_us = now_us - times.arrived_us;
    let fresh_us = shared.replicas_fresh_us.get().unwrap_or(0);
    let route = &head.route;
    let metrics = &shared.metrics;
    metrics.extra_sends.inc_by(u64::from(summary.extra_sends));
    metrics.missing_parts.inc_by(summary.missing.len() as u64);
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
        deadline_ms: (times.deadline_us - times.arrived_us) / 1_000,
        due_ms: (times.due_us - times.arrived_us) / 1_000,
        elapsed_ms: elapsed_us as f64 / 1_000.0,
        extra_sends: summary.extra_sends,
        legs: summary.legs,
        missing: summary.missing,
        nodes: summary.nodes,
        outcome: format!("{outcome:?}"),
        request_id: head.request_id.to_str().unwrap_or(""),
        route: &route.spec.name,
        status: status.as_u16(),
        store_age_ms: (now_us - fresh_us) / 1_000,
        tenant: head.tenant.as_ref().map(|tenant| &*tenant.name),
    }));
}

const fn outcome_label(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Forward { .. } => "forwarded",
        Outcome::Gather { missing: 0 } => "whole",
        Outcome::Gather { .. } => "partial",
        Outcome::GiveUp(GiveUpReason::DeadlinePassed) => "deadline_passed",
        Outcome::GiveUp(GiveUpReason::FalseRefusal) => "false_refusal",
        Outcome::GiveUp(GiveUpReason::NoAnswer) => "no_answer",
        Outcome::GiveUp(GiveUpReason::TooFewParts) => "too_few_parts",
        Outcome::Refuse { .. } => "refused",
    }
}
