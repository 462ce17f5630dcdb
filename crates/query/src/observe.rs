//! What this node learns from replies, and the refresh of reports.

use crate::Coordinator;
use crate::QueryAction;
use crate::attempt::Attempt;
use crate::limits::ASK_GAP_US;
use crate::limits::ASKS_PER_S;
use crate::limits::REPORT_AGE_US;
use crate::timers::Timer;
use wigeonhall_types::NodeKey;
use wigeonhall_types::RefusalReason;
use wigeonhall_types::ReplicaState;
use wigeonhall_types::SubOutcome;

/// Length of the window in which asks for refresh are counted.
const ASK_WINDOW_US: u64 = 1_000_000;

impl Coordinator {
    /// Takes from an outcome what it says of the replica.
    pub(crate) fn observe(&mut self, now_us: u64, attempt: Attempt, outcome: &SubOutcome) {
        let replica = attempt.replica;
        match outcome {
            SubOutcome::Answered { .. } => {
                let excess_us = attempt.excess_us(now_us);
                self.routes.replica_mut(replica).answered(excess_us);
                let latency_us = now_us.saturating_sub(attempt.sent_us);
                let service = self.routes.service_mut(attempt.service);
                service.latency.observe(latency_us);
            }
            SubOutcome::Failed { .. } => {
                self.counters.subs_failed += 1;
                self.put_back(now_us, attempt, 0);
            }
            SubOutcome::Refused {
                reason,
                retry_after_us,
            } => {
                self.counters.subs_refused += 1;
                self.observe_refusal(now_us, attempt, *reason, *retry_after_us);
            }
            SubOutcome::VersionGone => self.counters.subs_version_gone += 1,
        }
    }

    fn observe_refusal(
        &mut self,
        now_us: u64,
        attempt: Attempt,
        reason: RefusalReason,
        retry_after_us: u64,
    ) {
        match reason {
            // The refusal depends on the times of the one sub-request.
            RefusalReason::Busy
            | RefusalReason::Cancelled
            | RefusalReason::DeadlinePassed
            | RefusalReason::Overloaded => {}
            RefusalReason::Leaving => self
                .routes
                .set_state(attempt.replica, ReplicaState::Leaving),
            RefusalReason::Out => self.routes.set_state(attempt.replica, ReplicaState::Out),
            RefusalReason::ColdStart
            | RefusalReason::NoLease
            | RefusalReason::Shed
            | RefusalReason::UnknownReplica
            | RefusalReason::Unreachable => self.put_back(now_us, attempt, retry_after_us),
            RefusalReason::NotOwner => {
                let owner = self.routes.replica_mut(attempt.replica).owner;
                if owner.is_some_and(|(node, _)| node == attempt.node) {
                    self.put_back(now_us, attempt, retry_after_us);
                }
            }
        }
    }

    fn put_back(&mut self, now_us: u64, attempt: Attempt, at_least_us: u64) {
        self.counters.put_back += 1;
        self.routes.put_back(now_us, attempt.replica, at_least_us);
    }

    /// Asks the owners without reports and starts their refresh.
    pub(crate) fn facts_changed(&mut self, now_us: u64, actions: &mut Vec<QueryAction>) {
        let mut nodes = Vec::new();
        for (node, view) in &mut self.routes.nodes {
            if view.replicas.is_empty() {
                continue;
            }
            if !view.refresh_set {
                view.refresh_set = true;
                self.timers
                    .set(now_us + REPORT_AGE_US, Timer::Refresh(*node));
            }
            nodes.push(*node);
        }
        for node in nodes {
            if self.oldest_report_us(node) == Some(0) {
                self.ask(now_us, node, actions);
            }
        }
        self.recheck_soon(now_us);
    }

    /// Asks an owner for reports unless it was asked just now.
    pub(crate) fn ask(&mut self, now_us: u64, node: NodeKey, actions: &mut Vec<QueryAction>) {
        let view = self.routes.nodes.entry(node).or_default();
        if view
            .last_ask_us
            .is_some_and(|last| now_us < last + ASK_GAP_US)
        {
            return;
        }
        view.last_ask_us = Some(now_us);
        view.asked_since_us.get_or_insert(now_us);
        self.counters.asks += 1;
        actions.push(QueryAction::AskReports(node));
    }

    /// Asks an owner that has not been heard from for `REPORT_AGE_US`.
    pub(crate) fn refresh(&mut self, now_us: u64, node: NodeKey, actions: &mut Vec<QueryAction>) {
        let Some(oldest_us) = self.oldest_report_us(node) else {
            if let Some(view) = self.routes.nodes.get_mut(&node) {
                view.refresh_set = false;
            }
            return;
        };
        let due_us = oldest_us + REPORT_AGE_US;
        let next_us = if due_us > now_us {
            due_us
        } else if self.may_refresh(now_us) {
            self.ask(now_us, node, actions);
            now_us + REPORT_AGE_US
        } else {
            self.counters.asks_put_off += 1;
            self.asks_from_us + ASK_WINDOW_US
        };
        self.timers.set(next_us, Timer::Refresh(node));
    }

    /// Time of the oldest report of the owner's replicas, 0 if one never reported;
    /// `None` if the node owns nothing that may get work.
    fn oldest_report_us(&self, node: NodeKey) -> Option<u64> {
        let view = self.routes.nodes.get(&node)?;
        let views = view
            .replicas
            .iter()
            .map(|it| &self.routes.replicas[it.index()]);
        let wanted = views.filter(|replica| !replica.out);
        wanted.map(|replica| replica.heard_us.unwrap_or(0)).min()
    }

    fn may_refresh(&mut self, now_us: u64) -> bool {
        if now_us >= self.asks_from_us + ASK_WINDOW_US {
            self.asks_from_us = now_us;
            self.asks = 0;
        }
        self.asks += 1;
        self.asks <= ASKS_PER_S
    }
}
