//! Records the decisions of the node, which `GET /explain` lists.

use std::sync::Arc;

use crate::CallerAnswer;
use crate::caller_answer::snake_case_name;
use crate::engine::Engine;
use crate::engine_status;
use crate::request_trace::SentSubRequest;
use crate::request_trace::SubRequestKind;
use wigeonhall_types::AttemptId;
use wigeonhall_types::NodeKey;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::SubOutcome;
use wigeonhall_types::SubRequest;

impl Engine {
    /// Classifies a sub-request, and records the decision on it unless it is
    /// `SubRequestKind::First`.
    pub(crate) fn trace_sub_request(&mut self, now_us: u64, sub: &SubRequest) {
        let id = self.coordinator.request_of(sub.attempt);
        let replica = self.deployment.replicas.get(&sub.replica);
        let (Some(id), Some(replica)) = (id, replica) else {
            return;
        };
        let Some(request) = self.open_requests.get_mut(&id) else {
            return;
        };
        let service = replica.service;
        let kind = request.classifier.record_sub_request(service, sub.version);
        let sent = SentSubRequest {
            id,
            replica: sub.replica,
            service,
            version: sub.version,
        };
        self.sent_sub_requests.insert(sub.attempt, sent);
        let version = sub.version.map_or(0, |it| it.0);
        let (what, reason) = match kind {
            SubRequestKind::First => return,
            SubRequestKind::Hedge => ("hedged".into(), "no reply in the usual time"),
            SubRequestKind::Pin => (
                format!("pinned version {version}"),
                "newest with the widest coverage",
            ),
            SubRequestKind::Restart => (
                format!("restarted at version {version}"),
                "the version before is gone",
            ),
            SubRequestKind::Retry => ("retried".into(), "the sub-request before did not do"),
        };
        let request_id = Arc::clone(request.classifier.request_id());
        // Pins and restarts apply to all replicas.
        let names_replica = matches!(kind, SubRequestKind::Hedge | SubRequestKind::Retry);
        let replica = names_replica.then(|| self.catalog.replica_name(sub.replica));
        self.trace
            .record_request(now_us, &request_id, replica.as_ref(), &what, reason);
    }

    pub(crate) fn trace_sub_reply(
        &mut self,
        now_us: u64,
        attempt: AttemptId,
        outcome: &SubOutcome,
    ) {
        let Some(sent) = self.sent_sub_requests.remove(&attempt) else {
            return;
        };
        let Some(request) = self.open_requests.get_mut(&sent.id) else {
            return;
        };
        request.classifier.record_reply(&sent);
        let (what, reason) = match outcome {
            SubOutcome::Answered { .. } => return,
            SubOutcome::Failed { reason } => ("failed", snake_case_name(reason)),
            SubOutcome::Refused { reason, .. } => ("refused", snake_case_name(reason)),
            SubOutcome::VersionGone => ("refused", Arc::from("version_gone")),
        };
        let request_id = Arc::clone(request.classifier.request_id());
        let replica = self.catalog.replica_name(sent.replica);
        self.trace
            .record_request(now_us, &request_id, Some(&replica), what, &reason);
    }

    pub(crate) fn trace_answer(
        &mut self,
        now_us: u64,
        request_id: &Arc<str>,
        answer: &CallerAnswer,
    ) {
        let what = format!("answered {}", snake_case_name(&answer.status));
        let reason = answer.reason.as_deref().unwrap_or("every key was read");
        self.trace
            .record_request(now_us, request_id, None, &what, reason);
    }

    pub(crate) fn trace_grant(&mut self, epoch: u64, replica: ReplicaKey, handed_over: bool) {
        let state = if handed_over {
            "handed over"
        } else {
            "without state of an owner before"
        };
        let reason = format!("epoch {epoch}, {state}");
        self.trace_replica(replica, "granted", &reason);
    }

    pub(crate) fn trace_revoke(&mut self, epoch: u64, replica: ReplicaKey, to: Option<NodeKey>) {
        self.replica_states.remove(&replica);
        let reason = match to.map(|it| self.catalog.node_name(it)) {
            Some(to) => format!("epoch {epoch}, goes to {to}"),
            None => format!("epoch {epoch}, without a new owner"),
        };
        self.trace_replica(replica, "revoked", &reason);
    }

    /// Records the states of owned replicas that changed since the last call.
    pub(crate) fn trace_replica_states(&mut self, now_us: u64) {
        for (replica, report) in self.gate.reports(now_us) {
            let previous = self.replica_states.insert(replica, report.state);
            if previous != Some(report.state) {
                let what = snake_case_name(&report.state);
                let reason = engine_status::state_reason(report.state);
                let reason = reason.unwrap_or_else(|| Arc::from("takes work up to its slots"));
                self.trace_replica(replica, &what, &reason);
            }
        }
    }

    fn trace_replica(&mut self, replica: ReplicaKey, what: &str, reason: &str) {
        let now_us = self.clock.now_us();
        let name = self.catalog.replica_name(replica);
        self.trace.record_replica(now_us, &name, what, reason);
    }
}
