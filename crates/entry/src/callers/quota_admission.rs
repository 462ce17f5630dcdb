//! Admits requests of tenants within their quotas.

use std::rc::Rc;
use std::time::Duration;

use wigeonhall_dispatch::QuotaDecision;
use wigeonhall_dispatch::QuotaNode;
use wigeonhall_dispatch::RouteTable;
use wigeonhall_dispatch::TenantSpec;
use wigeonhall_dispatch::Tenants;

use crate::callers::caller_request::CallerHead;
use crate::callers::caller_response::CallerResponse;
use crate::callers::responses;
use crate::peers::quota_client;
use crate::peers::quota_exchange;
use crate::peers::quota_server;
use crate::process::event::Event;
use crate::process::event::RequestEvent;
use crate::process::node_state::NodeState;

/// Divides the target latency of a route to give the timeout of a question to an owner.
const ASK_TIMEOUT_DIVISOR: u64 = 3;

/// Bounds of the timeout of a question to an owner.
const ASK_TIMEOUT_MIN_MS: u64 = 5;
const ASK_TIMEOUT_MAX_MS: u64 = 30;

/// Largest number of tenants that get a metric label each; with more, all are counted as `other`.
const NAMED_TENANTS_MAX: usize = 200;

/// Admits a request or returns its refusal. A request that is admitted and later refused for want
/// of capacity still counts: to give it back would take another message to each owner.
pub(crate) async fn admit(
    shared: &Rc<NodeState>,
    head: &CallerHead,
    arrived_us: u64,
    table: &RouteTable,
) -> Result<(), CallerResponse> {
    let Some(tenant) = head.tenant.as_ref().filter(|tenant| tenant.is_limited()) else {
        return Ok(());
    };
    let decision = match decide(shared, tenant) {
        QuotaDecision::Ask(owners) => ask(shared, head, tenant, &owners).await,
        decision => decision,
    };
    shared.quotas.due.notify_one();
    match decision {
        QuotaDecision::Admit => {
            count(shared, table, tenant, "admitted");
            Ok(())
        }
        QuotaDecision::Refuse { retry_after_ms } => {
            count(shared, table, tenant, "refused");
            log_refusal(shared, head, tenant, arrived_us, table.version);
            Err(responses::over_quota(retry_after_ms))
        }
        // `ask` returns a decision.
        QuotaDecision::Ask(_) => Err(responses::over_quota(0)),
    }
}

fn decide(shared: &NodeState, tenant: &TenantSpec) -> QuotaDecision {
    let now_us = shared.clock.now_us();
    let peers = shared.peers.borrow();
    let mut view = shared.quotas.view.borrow_mut();
    view.decide(now_us, tenant, &peers, fastrand::f64())
}

/// Asks the owners one after the other; if none replies, the equal share of this node decides.
async fn ask(
    shared: &Rc<NodeState>,
    head: &CallerHead,
    tenant: &TenantSpec,
    owners: &[QuotaNode],
) -> QuotaDecision {
    for owner in owners {
        if let Some(decision) = ask_owner(shared, head, tenant, owner).await {
            return decision;
        }
    }
    let now_us = shared.clock.now_us();
    let peers = shared.peers.borrow();
    let mut view = shared.quotas.view.borrow_mut();
    view.admit_by_share(now_us, tenant, &peers, fastrand::f64())
}

/// Asks one owner; `None` if it does not reply or declines.
async fn ask_owner(
    shared: &Rc<NodeState>,
    head: &CallerHead,
    tenant: &TenantSpec,
    owner: &QuotaNode,
) -> Option<QuotaDecision> {
    let mut message = quota_exchange::message_to(shared, &owner.name);
    message.ask = Some(tenant.name.clone());
    let reply = if quota_exchange::is_own(shared, &owner.name) {
        quota_server::apply(shared, &message)
    } else {
        let timeout_ms = head.route.spec.target_latency_ms / ASK_TIMEOUT_DIVISOR;
        let timeout_ms = timeout_ms.clamp(ASK_TIMEOUT_MIN_MS, ASK_TIMEOUT_MAX_MS);
        let timeout = Duration::from_millis(timeout_ms);
        let reply = quota_client::send(shared, owner.address, &message, timeout).await;
        let Some(reply) = reply else {
            quota_exchange::record_failure(shared, owner, &message);
            return None;
        };
        reply
    };
    quota_exchange::apply_reply(shared, owner, &reply);
    let now_us = shared.clock.now_us();
    let mut view = shared.quotas.view.borrow_mut();
    view.apply_answer(now_us, tenant, &owner.name, reply.answer?)
}

fn count(shared: &NodeState, table: &RouteTable, tenant: &TenantSpec, decision: &str) {
    let tenants = table.tenants.as_ref().map_or(0, Tenants::len);
    let label = if tenants <= NAMED_TENANTS_MAX {
        &*tenant.name
    } else {
        "other"
    };
    let counter = &shared.metrics.quota_decisions;
    counter.with_label_values(&[decision, label]).inc();
}

fn log_refusal(
    shared: &NodeState,
    head: &CallerHead,
    tenant: &TenantSpec,
    arrived_us: u64,
    config_version: u64,
) {
    let elapsed_us = shared.clock.now_us() - arrived_us;
    let requests = &shared.metrics.requests;
    requests.with_label_values(&["over_quota"]).inc();
    shared.log(&Event::Request(RequestEvent {
        config_version,
        deadline_ms: head.remaining_ms.unwrap_or(0),
        due_ms: 0,
        elapsed_ms: elapsed_us as f64 / 1_000.0,
        extra_sends: 0,
        legs: 0,
        missing: Vec::new(),
        nodes: 0,
        outcome: format!("over the quota of tenant {}", tenant.name),
        request_id: head.request_id.to_str().unwrap_or(""),
        route: &head.route.spec.name,
        status: 429,
        store_age_ms: 0,
        tenant: Some(&tenant.name),
    }));
}
