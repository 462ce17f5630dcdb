//! Reports to the coordinators of running rollouts, and this node's own coordination.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future;
use http::HeaderValue;
use http::Request;
use http::Uri;
use http::header;
use http_body_util::Full;
use tokio::task;
use tokio::time;

use wigeonhall_dispatch::NodeReport;
use wigeonhall_dispatch::RolloutAnswer;
use wigeonhall_dispatch::RolloutContext;
use wigeonhall_dispatch::RolloutCoordinator;
use wigeonhall_dispatch::RolloutOrder;
use wigeonhall_dispatch::RolloutState;
use wigeonhall_dispatch::ServiceKey;

use crate::net::http_client;
use crate::net::http_client::HttpSender;
use crate::peers::rollout_protocol;
use crate::peers::rollout_protocol::REPORT_PATH;
use crate::peers::rollout_protocol::RolloutReport;
use crate::process::event::Event;
use crate::process::node_state::NodeState;
use crate::store::rollout_status;

/// Shortest interval between the reports of a node.
const INTERVAL_MIN_MS: u64 = 500;

/// Longest interval; a node must learn within the rollback time that a version is bad.
const INTERVAL_MAX_MS: u64 = 1_200;

/// Interval for each node of the tier, so that the coordinator handles at most 250 reports a
/// second.
const INTERVAL_PER_NODE_MS: u64 = 4;

/// Timeout of one report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(350);

/// Nodes that are asked for one report.
const COORDINATORS_ASKED: usize = 3;

/// State of this node as the coordinator of rollouts, and its connections to other coordinators.
#[derive(Debug, Default)]
pub(crate) struct RolloutReports {
    connections: RefCell<HashMap<Arc<str>, HttpSender>>,
    coordinators: RefCell<HashMap<ServiceKey, RolloutCoordinator>>,
    /// Services whose status is being written.
    pub(crate) writing: RefCell<BTreeSet<ServiceKey>>,
}

impl RolloutReports {
    /// Drops what was decided about a service's rollout, which has ended or was replaced.
    pub(crate) fn forget(&self, service: ServiceKey) {
        self.coordinators.borrow_mut().remove(&service);
    }
}

/// Reports about the running rollouts until the process ends.
pub(crate) async fn run(shared: Rc<NodeState>) {
    if shared.settings.rollout_bounds.is_none() {
        return future::pending().await;
    }
    loop {
        let nodes = shared.peers.borrow().total_nodes() as u64;
        let interval_ms = (nodes * INTERVAL_PER_NODE_MS).clamp(INTERVAL_MIN_MS, INTERVAL_MAX_MS);
        time::sleep(Duration::from_millis(interval_ms)).await;
        let services = shared.pool.borrow().open_rollouts();
        if services.is_empty() {
            shared.rollouts.connections.borrow_mut().clear();
        }
        future::join_all(services.into_iter().map(|key| report(&shared, key))).await;
    }
}

/// Reports about one rollout to its coordinator, or to the next node that answers.
async fn report(shared: &Rc<NodeState>, service: ServiceKey) {
    let bad = shared.pool.borrow_mut().stop_bad_rollout(service);
    if let Some(reason) = bad {
        log_phase(shared, service, "own responses", &reason);
    }
    let Some(report) = own_report(shared, service) else {
        return;
    };
    for (name, address) in coordinators(shared, &report.service) {
        let answer = match address {
            None => take_report(shared, own_report(shared, service)),
            Some(address) => {
                let response = send(shared, &name, address, &report).await;
                let mut peers = shared.peers.borrow_mut();
                peers.record_coordinator(shared.clock.now_us(), &name, response.is_some());
                // A node that does not know the rollout yet will know it soon.
                response.flatten()
            }
        };
        if let Some(answer) = answer {
            return apply_answer(shared, service, &name, &report.target_version, answer);
        }
        shared.metrics.rollout_report_failures.inc();
    }
}

/// Returns the nodes that are asked for one report about a service's rollout.
fn coordinators(shared: &NodeState, service: &str) -> Vec<(Arc<str>, Option<SocketAddr>)> {
    let now_us = shared.clock.now_us();
    let mut nodes = shared.peers.borrow().peers_coordinators(now_us, service);
    nodes.truncate(COORDINATORS_ASKED);
    nodes
}

fn own_report(shared: &NodeState, service: ServiceKey) -> Option<RolloutReport> {
    let pool = shared.pool.borrow();
    let rollout = pool.rollout(service)?;
    Some(RolloutReport {
        elapsed_ms: rollout.elapsed_ms(shared.clock.now_us()),
        report: NodeReport {
            counts: rollout.counts,
            earlier_in_flight: pool.earlier_in_flight(service),
            node: shared.settings.node_name.clone(),
            phase: rollout.phase,
            totals: rollout.totals.clone(),
        },
        service: rollout.rollout.service.clone(),
        target_version: rollout.rollout.target_version.clone(),
    })
}

fn apply_answer(
    shared: &NodeState,
    service: ServiceKey,
    coordinator: &str,
    target_version: &str,
    answer: RolloutAnswer,
) {
    let now_us = shared.clock.now_us();
    let mut pool = shared.pool.borrow_mut();
    let changed = pool.apply_rollout_answer(now_us, service, target_version, answer);
    drop(pool);
    if changed.is_some() {
        log_phase(shared, service, coordinator, "order");
    }
}

/// Logs which versions this node sends requests to.
fn log_phase(shared: &NodeState, service: ServiceKey, decided_by: &str, reason: &str) {
    let pool = shared.pool.borrow();
    let Some(rollout) = pool.rollout(service) else {
        return;
    };
    shared.log(&Event::Rollout {
        decided_by,
        elapsed_ms: rollout.elapsed_ms(shared.clock.now_us()),
        new_requests: rollout.totals.new_total(),
        reason,
        service: &rollout.rollout.service,
        state: rollout.phase.label(),
        target_version: &rollout.rollout.target_version,
    });
}

/// Sends a report to a node over a kept connection; `None` if it does not answer, `Some(None)` if
/// it does not know the rollout.
async fn send(
    shared: &NodeState,
    name: &Arc<str>,
    address: SocketAddr,
    report: &RolloutReport,
) -> Option<Option<RolloutAnswer>> {
    let (header_name, value) = rollout_protocol::encode_report(report)?;
    let kept = shared.rollouts.connections.borrow_mut().remove(name);
    let message = async {
        let mut kept = kept;
        if let Some(sender) = &mut kept
            && sender.ready().await.is_err()
        {
            kept = None;
        }
        let mut sender = match kept {
            Some(sender) => sender,
            None => http_client::connect(address, REPORT_TIMEOUT).await.ok()?,
        };
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = Uri::from_static(REPORT_PATH);
        let headers = request.headers_mut();
        headers.insert(header_name, value);
        headers.insert(header::HOST, HeaderValue::from_static("node"));
        let response = sender.send_request(request).await.ok()?;
        let answer = rollout_protocol::read_answer(response.headers());
        Some((sender, answer))
    };
    let (sender, answer) = time::timeout(REPORT_TIMEOUT, message).await.ok()??;
    let mut connections = shared.rollouts.connections.borrow_mut();
    connections.insert(name.clone(), sender);
    Some(answer)
}

/// Takes in a report as the coordinator; `None` if this node does not know the rollout.
pub(crate) fn take_report(
    shared: &Rc<NodeState>,
    report: Option<RolloutReport>,
) -> Option<RolloutAnswer> {
    let report = report?;
    let now_us = shared.clock.now_us();
    let mut pool = shared.pool.borrow_mut();
    let service = pool.known_service(&report.service)?;
    pool.advance_rollout(now_us, service, &report.target_version, report.elapsed_ms);
    let rollout = pool.rollout(service)?;
    if rollout.rollout.target_version != report.target_version {
        return None;
    }
    let elapsed_ms = rollout.elapsed_ms(now_us);
    let ended = rollout.phase.final_state();
    drop(pool);
    if let Some(state) = ended {
        shared.rollouts.forget(service);
        // A store that was restored from an older copy may lack the state.
        rollout_status::write(shared, service, state);
        let order = match state {
            RolloutState::Succeeded => RolloutOrder::Move,
            RolloutState::RolledBack | RolloutState::Running => RolloutOrder::Stop,
        };
        return Some(RolloutAnswer {
            elapsed_ms,
            coordinator_share: 0.0,
            order,
        });
    }
    coordinate(shared, service, report)
}

/// Adds a report to the evidence, decides, and has the state written that is due.
fn coordinate(
    shared: &Rc<NodeState>,
    service: ServiceKey,
    report: RolloutReport,
) -> Option<RolloutAnswer> {
    let clock = clock(shared, service)?;
    let elapsed_ms = clock.elapsed_ms;
    let mut coordinators = shared.rollouts.coordinators.borrow_mut();
    let coordinator = coordinators
        .entry(service)
        .or_insert_with(|| RolloutCoordinator::new(report.target_version.clone()));
    if *coordinator.target_version() != report.target_version {
        *coordinator = RolloutCoordinator::new(report.target_version.clone());
    }
    coordinator.report(clock.now_us, report.report);
    if let Some(decision) = coordinator.decide(clock) {
        let labels = [decision.order.label()];
        let decisions = &shared.metrics.rollout_decisions;
        decisions.with_label_values(&labels).inc();
        shared.log(&Event::Rollout {
            decided_by: &shared.settings.node_name,
            elapsed_ms,
            new_requests: coordinator.new_requests(),
            reason: &decision.reason,
            service: &report.service,
            state: decision.order.label(),
            target_version: &report.target_version,
        });
    }
    let due = coordinator.due_state(clock);
    let answer = RolloutAnswer {
        elapsed_ms,
        coordinator_share: coordinator.coordinator_share(clock),
        order: coordinator.order(),
    };
    drop(coordinators);
    rollout_status::write(shared, service, due.unwrap_or(RolloutState::Running));
    Some(answer)
}

fn clock(shared: &NodeState, service: ServiceKey) -> Option<RolloutContext> {
    let now_us = shared.clock.now_us();
    let pool = shared.pool.borrow();
    let rollout = pool.rollout(service)?;
    Some(RolloutContext {
        bounds: shared.settings.rollout_bounds?,
        duration_ms: rollout.rollout.duration_ms,
        elapsed_ms: rollout.elapsed_ms(now_us),
        known_nodes: shared.peers.borrow().total_nodes(),
        now_us,
    })
}

/// Runs a task that writes the status of a service's rollout, unless one is running.
pub(crate) fn spawn_writer(
    shared: &Rc<NodeState>,
    service: ServiceKey,
    writer: impl Future<Output = ()> + 'static,
) {
    if !shared.rollouts.writing.borrow_mut().insert(service) {
        return;
    }
    let shared = shared.clone();
    task::spawn_local(async move {
        writer.await;
        shared.rollouts.writing.borrow_mut().remove(&service);
    });
}
