//! Updates the state of replicas from replies, and refreshes the reports in which owners describe
//! them. The owner of a replica is the one node through which all requests to the replica go.

use crate::Coordinator;
use crate::QueryAction;
use crate::limits::ASK_INTERVAL_MIN_US;
use crate::limits::REFRESHES_PER_S;
use crate::limits::REPORT_REFRESH_AGE_US;
use crate::open_sub_request::OpenSubRequest;
use crate::timers::Timer;
use wigeonhall_types::NodeKey;
use wigeonhall_types::RefusalReason;
use wigeonhall_types::ReplicaState;
use wigeonhall_types::SubOutcome;

/// Window of the limit `REFRESHES_PER_S`.
const REFRESH_WINDOW_US: u64 = 1_000_000;

impl Coordinator {
    /// Updates the state of the replica from the outcome of a sub-request.
    pub(crate) fn record_outcome(
        &mut self,
        now_us: u64,
        sub: OpenSubRequest,
        outcome: &SubOutcome,
    ) {
        let replica = sub.replica;
        match outcome {
            SubOutcome::Answered { .. } => {
                let lateness_us = sub.lateness_us(now_us);
                self.routing
                    .replica_mut(replica)
                    .record_success(lateness_us);
                let latency_us = now_us.saturating_sub(sub.sent_us);
                let service = self.routing.service_mut(sub.service);
                service.latency.observe(latency_us);
            }
            SubOutcome::Failed { .. } => {
                self.counters.subs_failed += 1;
                self.back_off(now_us, sub, 0);
            }
            SubOutcome::Refused {
                reason,
                retry_after_us,
            } => {
                self.counters.subs_refused += 1;
                self.record_refusal(now_us, sub, *reason, *retry_after_us);
            }
            SubOutcome::VersionGone => self.counters.subs_version_gone += 1,
        }
    }

    fn record_refusal(
        &mut self,
        now_us: u64,
        sub: OpenSubRequest,
        reason: RefusalReason,
        retry_after_us: u64,
    ) {
        match reason {
            // The refusal depends on the deadline or slot wait of this sub-request and does
            // not apply to others.
            RefusalReason::Busy
            | RefusalReason::Cancelled
            | RefusalReason::DeadlinePassed
            | RefusalReason::Overloaded => {}
            RefusalReason::Leaving => self.routing.set_state(sub.replica, ReplicaState::Leaving),
            RefusalReason::Out => self.routing.set_state(sub.replica, ReplicaState::Out),
            RefusalReason::ColdStart
            | RefusalReason::NoLease
            | RefusalReason::Shed
            | RefusalReason::UnknownReplica
            | RefusalReason::Unreachable => self.back_off(now_us, sub, retry_after_us),
            RefusalReason::NotOwner => {
                // If another owner is known by now, the next sub-request goes to that one.
                // Otherwise this node or the owner has an old ownership table, which names the
                // owner of each replica.
                let owner = self.routing.replica_mut(sub.replica).owner;
                if owner.is_some_and(|(node, _)| node == sub.node) {
                    self.back_off(now_us, sub, retry_after_us);
                }
            }
        }
    }

    fn back_off(&mut self, now_us: u64, sub: OpenSubRequest, at_least_us: u64) {
        self.counters.put_back += 1;
        self.routing.back_off(now_us, sub.replica, at_least_us);
    }

    /// Schedules the refresh of the reports of all owners, and asks those that have a replica
    /// without a report.
    pub(crate) fn routing_changed(&mut self, now_us: u64, actions: &mut Vec<QueryAction>) {
        let mut nodes = Vec::new();
        for (node, view) in &mut self.routing.nodes {
            if view.replicas.is_empty() {
                continue;
            }
            if !view.refresh_scheduled {
                view.refresh_scheduled = true;
                self.timers
                    .set(now_us + REPORT_REFRESH_AGE_US, Timer::Refresh(*node));
            }
            nodes.push(*node);
        }
        for node in nodes {
            if self.oldest_report_us(node) == Some(0) {
                self.ask_for_reports(now_us, node, actions);
            }
        }
        self.schedule_rechecks(now_us);
    }

    /// Asks an owner for reports unless it was asked less than `ASK_INTERVAL_MIN_US` ago.
    pub(crate) fn ask_for_reports(
        &mut self,
        now_us: u64,
        node: NodeKey,
        actions: &mut Vec<QueryAction>,
    ) {
        let view = self.routing.nodes.entry(node).or_default();
        if view
            .last_asked_us
            .is_some_and(|last| now_us < last + ASK_INTERVAL_MIN_US)
        {
            return;
        }
        view.last_asked_us = Some(now_us);
        view.unanswered_since_us.get_or_insert(now_us);
        self.counters.asks += 1;
        actions.push(QueryAction::AskReports(node));
    }

    /// Refreshes the reports of an owner: asks for new ones if its oldest report has reached
    /// `REPORT_REFRESH_AGE_US`, and schedules the next refresh.
    pub(crate) fn refresh(&mut self, now_us: u64, node: NodeKey, actions: &mut Vec<QueryAction>) {
        let Some(oldest_us) = self.oldest_report_us(node) else {
            if let Some(view) = self.routing.nodes.get_mut(&node) {
                view.refresh_scheduled = false;
            }
            return;
        };
        let due_us = oldest_us + REPORT_REFRESH_AGE_US;
        let next_us = if due_us > now_us {
            due_us
        } else if self.within_refresh_limit(now_us) {
            self.ask_for_reports(now_us, node, actions);
            now_us + REPORT_REFRESH_AGE_US
        } else {
            self.counters.asks_put_off += 1;
            self.refresh_window_start_us + REFRESH_WINDOW_US
        };
        self.timers.set(next_us, Timer::Refresh(node));
    }

    /// Returns the local time of the oldest report among the owner's replicas, 0 if one has no
    /// report; `None` if the node owns no replica that is in service.
    fn oldest_report_us(&self, node: NodeKey) -> Option<u64> {
        let view = self.routing.nodes.get(&node)?;
        let views = view
            .replicas
            .iter()
            .map(|it| &self.routing.replicas[it.index()]);
        let in_service = views.filter(|replica| !replica.out_of_service);
        in_service
            .map(|replica| replica.reported_us.unwrap_or(0))
            .min()
    }

    fn within_refresh_limit(&mut self, now_us: u64) -> bool {
        if now_us >= self.refresh_window_start_us + REFRESH_WINDOW_US {
            self.refresh_window_start_us = now_us;
            self.refreshes_in_window = 0;
        }
        self.refreshes_in_window += 1;
        self.refreshes_in_window <= REFRESHES_PER_S
    }
}
