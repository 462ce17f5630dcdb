//! Contains requests that crash the replicas that run them.

use std::rc::Rc;

use http::header;

use wigeonhall_dispatch::Availability;
use wigeonhall_dispatch::CrashAdmission;
use wigeonhall_dispatch::Exchange;
use wigeonhall_dispatch::GiveUpReason;
use wigeonhall_dispatch::LegState;
use wigeonhall_dispatch::Outcome;
use wigeonhall_dispatch::Pool;
use wigeonhall_dispatch::RefuseReason;
use wigeonhall_dispatch::RequestKey;
use wigeonhall_dispatch::ServiceKey;
use wigeonhall_dispatch::Suspicion;
use wigeonhall_dispatch::SuspicionReport;

use crate::process::event::Event;
use crate::process::node_state::NodeState;
use crate::replicas::outgoing_request::OutgoingRequest;
use crate::requests::query::Query;

/// Time after which a caller may come back whose request could not be tried.
const RETRY_AFTER_MS: u64 = 200;

/// How a request is answered, given the suspicion of its key.
pub(crate) enum Admitted {
    /// It is sent as usual.
    Free,
    /// It is answered without being sent to the replicas.
    Answered(Outcome),
    /// It is sent to one replica; the result must be reported for the key.
    Trial(RequestKey),
    /// One of its legs has run and was answered; the others are sent as usual.
    Tried,
}

/// Records that a replica crashed under a request that was sent to it at `sent_us`, and tells the
/// other nodes if that is new.
pub(crate) fn record_crash(
    shared: &NodeState,
    outgoing: &OutgoingRequest,
    replica: &str,
    sent_us: u64,
) {
    let key = request_key(outgoing);
    let now_us = shared.clock.now_us();
    let mut suspects = shared.crash_suspects.borrow_mut();
    let Some(report) = suspects.record_crash(now_us, key, sent_us) else {
        return;
    };
    shared.crash_reports.add(report);
    let request_id = outgoing.request_id.to_str().unwrap_or("");
    log_suspicion(shared, report, replica, request_id);
}

/// Records that replicas answered a whole request successfully.
pub(crate) fn record_answer(shared: &NodeState, outgoing: &OutgoingRequest) {
    let now_us = shared.clock.now_us();
    let mut suspects = shared.crash_suspects.borrow_mut();
    suspects.record_answer(now_us, request_key(outgoing));
}

/// Applies the reports of a peer; returns what this node knows of each request that it learned
/// something about.
pub(crate) fn learn(shared: &NodeState, reports: &[SuspicionReport]) -> Vec<SuspicionReport> {
    let now_us = shared.clock.now_us();
    let mut learned = Vec::new();
    for report in reports {
        let mut suspects = shared.crash_suspects.borrow_mut();
        let is_new = suspects.learn(now_us, *report);
        if let Some(known) = suspects.report(now_us, report.key).filter(|_| is_new) {
            drop(suspects);
            log_suspicion(shared, known, "", "");
            learned.push(known);
        }
    }
    learned
}

fn log_suspicion(shared: &NodeState, report: SuspicionReport, replica: &str, request_id: &str) {
    let state = match report.suspicion {
        Suspicion::Blocked => "blocked",
        Suspicion::Suspected if report.evidence.answered => "suspected_answered",
        Suspicion::Suspected => "suspected",
    };
    log_state(shared, report.key, state, replica, request_id);
}

/// Logs and counts what happens to a request because of crashes under its key.
fn log_state(
    shared: &NodeState,
    key: RequestKey,
    state: &'static str,
    replica: &str,
    request_id: &str,
) {
    let counter = &shared.metrics.crash_suspicions;
    counter.with_label_values(&[state]).inc();
    shared.log(&Event::CrashSuspicion {
        key: key.to_string(),
        replica,
        request_id,
        state,
    });
}

/// Decides how a request is treated. Tries a suspected gather by one of its legs first; any other
/// request is a trial by itself.
pub(crate) async fn admit(
    shared: &Rc<NodeState>,
    exchange: &mut Exchange,
    outgoing: &Rc<OutgoingRequest>,
) -> Admitted {
    if shared.crash_suspects.borrow().is_empty() {
        return Admitted::Free;
    }
    let key = request_key(outgoing);
    let now_us = shared.clock.now_us();
    let admission = shared.crash_suspects.borrow_mut().admit(now_us, key);
    let request_id = outgoing.request_id.to_str().unwrap_or("");
    match admission {
        CrashAdmission::Free => Admitted::Free,
        CrashAdmission::Refused { retry_after_ms } => {
            log_state(shared, key, "refused", "", request_id);
            Admitted::Answered(refuse(retry_after_ms))
        }
        CrashAdmission::Trial { replicas_min } => {
            log_state(shared, key, "tried", "", request_id);
            try_one(shared, exchange, outgoing, key, replicas_min).await
        }
    }
}

async fn try_one(
    shared: &Rc<NodeState>,
    exchange: &mut Exchange,
    outgoing: &Rc<OutgoingRequest>,
    key: RequestKey,
    replicas_min: usize,
) -> Admitted {
    let now_us = shared.clock.now_us();
    let refusal = exchange.refuse_unservable(&shared.pool.borrow(), now_us);
    if let Some(outcome) = refusal {
        // No replica is risked for a request that cannot be answered.
        end_trial(shared, key, false);
        return Admitted::Answered(outcome);
    }
    let Some(leg) = trial_leg(shared, exchange, replicas_min) else {
        end_trial(shared, key, false);
        return Admitted::Answered(refuse(RETRY_AFTER_MS));
    };
    if exchange.min_parts().is_none() {
        exchange.limit_runs(1);
        return Admitted::Trial(key);
    }
    let trial = Exchange::for_legs(
        exchange.route().clone(),
        &[leg],
        1,
        exchange.deadline_us(),
        exchange.deadline_us(),
        exchange.deadline_us(),
    );
    let mut query = Query::new(shared, trial, outgoing.clone());
    query.run().await;
    query.mark_answered();
    let passed = matches!(query.exchange.legs().next(), Some(LegState::Done(_)));
    end_trial(shared, key, passed);
    if passed {
        Admitted::Tried
    } else if query.exchange.may_have_run() {
        Admitted::Answered(Outcome::GiveUp(GiveUpReason::NoAnswer))
    } else {
        Admitted::Answered(refuse(RETRY_AFTER_MS))
    }
}

/// Ends a trial; a request that a replica answered is no longer suspected on this node.
pub(crate) fn end_trial(shared: &NodeState, key: RequestKey, passed: bool) {
    if passed {
        log_state(shared, key, "cleared", "", "");
    }
    shared.crash_suspects.borrow_mut().end_trial(key, passed);
}

/// Returns the leg whose service has the most available replicas; `None` if it has fewer than
/// `replicas_min`, which are kept for other requests.
fn trial_leg(shared: &NodeState, exchange: &Exchange, replicas_min: usize) -> Option<usize> {
    let pool = shared.pool.borrow();
    let now_us = shared.clock.now_us();
    let legs = exchange.legs().count();
    let available = |leg: &usize| count_available(&pool, now_us, exchange.service(*leg));
    let leg = (0..legs).max_by_key(available)?;
    (available(&leg) >= replicas_min).then_some(leg)
}

fn count_available(pool: &Pool, now_us: u64, service: ServiceKey) -> usize {
    let replicas = pool.replicas_of(service).iter();
    let available = |key: &&_| pool.availability(now_us, **key) == Some(Availability::Ready);
    replicas.filter(available).count()
}

const fn refuse(retry_after_ms: u64) -> Outcome {
    Outcome::Refuse {
        reason: RefuseReason::CrashesReplicas,
        retry_after_ms,
    }
}

fn request_key(outgoing: &OutgoingRequest) -> RequestKey {
    let host = outgoing.headers.get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or("");
    let path = outgoing.uri.path_and_query();
    let path = path.map_or("/", |path| path.as_str());
    RequestKey::new(outgoing.method.as_str(), host, path, &outgoing.body)
}
