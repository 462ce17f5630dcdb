//! State of a replica as known to this node, and its rank in routing.

use crate::limits::BACKOFF_INITIAL_US;
use crate::limits::BACKOFF_MAX_US;
use crate::limits::RANK_TIME_STEP_US;
use crate::limits::REMOTE_ROUND_TRIP_US;
use crate::reachability::Reachability;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::KeyRange;
use wigeonhall_types::NodeKey;
use wigeonhall_types::ReplicaReport;
use wigeonhall_types::ReplicaState;
use wigeonhall_types::ServiceKey;

/// Rank of a replica in its service; smaller is better.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    /// Replicas of unresponsive owners rank last, whatever their last report says.
    reachability: Reachability,
    /// Expected time until the reply plus the average lateness, in steps of
    /// `RANK_TIME_STEP_US`.
    time_steps: u64,
    /// Whether the replica is in another data centre.
    remote: bool,
    /// Random order among replicas of equal rank.
    tie_break: Option<u32>,
}

/// This node's view of a replica.
#[derive(Clone, Debug, Default)]
pub struct ReplicaView {
    /// Number of backoffs since the last successful reply.
    pub backoff_streak: u32,
    /// Local time at which the backoff ends.
    pub backoff_until_us: u64,
    /// Moving average of the time by which recent replies were overdue. Each report in reply
    /// to `AskReports` halves it, so that a replica that gets no sub-requests is tried again.
    pub lateness_us: u64,
    /// Local time at which the last report arrived.
    pub reported_us: Option<u64>,
    /// Number of sub-requests of this node that are in flight at the replica.
    pub in_flight: u32,
    /// Whether the replica is in the node's data centre.
    pub local: bool,
    /// Whether the replica is out of service or not in the deployment.
    pub out_of_service: bool,
    /// Owner, the node through which all requests to the replica go, and epoch (version) of the
    /// ownership table that names it.
    pub owner: Option<(NodeKey, u64)>,
    /// Reachability of the owner.
    pub owner_reachability: Reachability,
    /// Last report of an owner.
    pub report: Option<ReplicaReport>,
    /// Service according to the deployment.
    pub service: Option<ServiceKey>,
    /// Slots according to the deployment, at least 1.
    pub slots: u32,
    /// Random tie-break, drawn anew with each report and each start and end of a sub-request.
    /// `Some` exactly if the replica was usable when it was drawn.
    pub tie_break: Option<u32>,
    /// Part of `in_flight` that was sent after the last report and is therefore not included
    /// in it.
    pub sent_since_report: u32,
}

impl ReplicaView {
    /// Puts the replica into backoff. The backoff doubles with each call until
    /// `record_success`.
    pub fn back_off(&mut self, now_us: u64, at_least_us: u64) {
        let doubled_us = BACKOFF_INITIAL_US << self.backoff_streak.min(10);
        let backoff_us = doubled_us.max(at_least_us).min(BACKOFF_MAX_US);
        self.backoff_streak = self.backoff_streak.saturating_add(1);
        self.backoff_until_us = self.backoff_until_us.max(now_us + backoff_us);
    }

    /// Resets the growth of the backoff, and updates the average lateness.
    pub fn record_success(&mut self, lateness_us: u64) {
        self.backoff_streak = 0;
        self.lateness_us = (self.lateness_us * 3 + lateness_us) / 4;
    }

    /// Raises the average lateness to at least `lateness_us`, the time by which an outstanding
    /// reply is overdue.
    pub fn raise_lateness(&mut self, lateness_us: u64) {
        self.lateness_us = self.lateness_us.max(lateness_us);
    }

    /// Returns the owner if it has not reported on the replica yet and can be asked for a
    /// report.
    pub fn unreported_owner(&self) -> Option<NodeKey> {
        if self.out_of_service
            || self.owner_reachability == Reachability::Lost
            || self.report.is_some()
        {
            return None;
        }
        self.owner.map(|(node, _)| node)
    }

    /// Returns whether new sub-requests may be sent to the replica.
    pub fn usable(&self) -> bool {
        let takes_work = self
            .report
            .as_ref()
            .is_some_and(|report| matches!(report.state, ReplicaState::Cold | ReplicaState::Warm));
        takes_work
            && !self.out_of_service
            && self.owner_reachability != Reachability::Lost
            && self.owner.is_some()
    }

    /// Returns the time that a sub-request would wait for a slot now: the reported wait minus
    /// the age of the report. Without this reduction, a node with a report of a long queue
    /// would refuse every request until the next report.
    pub fn wait_us(&self, now_us: u64) -> u64 {
        let Some(report) = &self.report else {
            return 0;
        };
        report
            .expected_wait_us
            .saturating_sub(self.report_age_us(now_us))
    }

    /// Returns the age of the last report.
    pub fn report_age_us(&self, now_us: u64) -> u64 {
        now_us.saturating_sub(self.reported_us.unwrap_or(now_us))
    }

    /// Returns the expected time until a reply of the replica, from its report and from the
    /// sub-requests that this node has sent since.
    pub fn expected_us(&self, now_us: u64) -> u64 {
        let Some(report) = &self.report else {
            return 0;
        };
        let queued =
            report.service_us * u64::from(self.sent_since_report) / u64::from(self.slots.max(1));
        let hop = if self.local { 0 } else { REMOTE_ROUND_TRIP_US };
        self.wait_us(now_us) + report.service_us + queued + hop
    }

    /// Returns the rank among the replicas of the service.
    pub fn rank(&self, now_us: u64) -> Rank {
        Rank {
            reachability: self.owner_reachability,
            time_steps: (self.expected_us(now_us) + self.lateness_us) / RANK_TIME_STEP_US,
            remote: !self.local,
            tie_break: self.tie_break,
        }
    }

    /// Returns whether the replica reports all of `ranges` at `version`.
    pub fn holds(&self, version: IndexVersion, ranges: &[KeyRange]) -> bool {
        let Some(report) = &self.report else {
            return false;
        };
        let Some(served) = report.served.iter().find(|it| it.version == version) else {
            return false;
        };
        ranges.iter().all(|wanted| covers(&served.ranges, *wanted))
    }
}

fn covers(held: &[KeyRange], wanted: KeyRange) -> bool {
    let mut start = wanted.start;
    for range in held {
        if range.start <= start && range.end > start {
            start = range.end;
        }
    }
    start >= wanted.end
}
