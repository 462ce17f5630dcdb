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
    /// A silent owner ranks last, whatever its last report said.
    reachability: Reachability,
    /// Expected time in steps of `SCORE_STEP_US`.
    time_steps: u64,
    /// The replica is in another data centre.
    remote: bool,
    /// Spreads equal replicas.
    tie_break: Option<u32>,
}

/// What this node knows of a replica.
#[derive(Clone, Debug, Default)]
pub struct ReplicaView {
    /// Sheds and errors since the last answer.
    pub backoff_streak: u32,
    /// Local time until which the replica is put back.
    pub backoff_until_us: u64,
    /// Time by which answers lately came later than expected. It falls by half with each
    /// refreshed report, so that a replica that gets nothing is tried again.
    pub lateness_us: u64,
    /// Local time of the last report.
    pub reported_us: Option<u64>,
    /// Open sub-requests of this node at the replica.
    pub in_flight: u32,
    /// The replica is in the node's data centre.
    pub local: bool,
    /// Taken out, or not in the deployment.
    pub out: bool,
    /// Owner and epoch of the table that names it.
    pub owner: Option<(NodeKey, u64)>,
    /// Whether the owner can be reached.
    pub owner_reachability: Reachability,
    /// Last report.
    pub report: Option<ReplicaReport>,
    /// Service in the deployment.
    pub service: Option<ServiceKey>,
    /// Slots in the deployment, at least 1.
    pub slots: u32,
    /// Drawn anew with each report, start and end of a sub-request; set exactly while the
    /// replica was usable when this was drawn.
    pub tie_break: Option<u32>,
    /// Part of `in_flight` that was sent after the last report, which thus cannot count it.
    pub sent_since_report: u32,
}

impl ReplicaView {
    /// Puts the replica back; the time doubles with each call until `answered`.
    pub fn back_off(&mut self, now_us: u64, at_least_us: u64) {
        let doubled_us = BACKOFF_INITIAL_US << self.backoff_streak.min(10);
        let backoff_us = doubled_us.max(at_least_us).min(BACKOFF_MAX_US);
        self.backoff_streak = self.backoff_streak.saturating_add(1);
        self.backoff_until_us = self.backoff_until_us.max(now_us + backoff_us);
    }

    /// Ends the growth of the back-off, and learns how late the answer came.
    pub fn record_answer(&mut self, lateness_us: u64) {
        self.backoff_streak = 0;
        self.lateness_us = (self.lateness_us * 3 + lateness_us) / 4;
    }

    /// Learns that an answer is late by at least `excess_us`.
    pub fn raise_lateness(&mut self, lateness_us: u64) {
        self.lateness_us = self.lateness_us.max(lateness_us);
    }

    /// Whether the owner can be asked and has not reported yet.
    pub fn unreported_owner(&self) -> Option<NodeKey> {
        if self.out || self.owner_reachability == Reachability::Lost || self.report.is_some() {
            return None;
        }
        self.owner.map(|(node, _)| node)
    }

    /// Whether new work may go to the replica.
    pub fn usable(&self) -> bool {
        let takes_work = self
            .report
            .as_ref()
            .is_some_and(|report| matches!(report.state, ReplicaState::Cold | ReplicaState::Warm));
        takes_work
            && !self.out
            && self.owner_reachability != Reachability::Lost
            && self.owner.is_some()
    }

    /// Time that a sub-request would wait for a slot now. The queue of the report has
    /// shrunk since by as much as the report is old; without that, a node that was told
    /// of a long queue would refuse everything until it is told otherwise.
    pub fn wait_us(&self, now_us: u64) -> u64 {
        let Some(report) = &self.report else {
            return 0;
        };
        report.expected_wait_us.saturating_sub(self.age_us(now_us))
    }

    /// Age of the last report.
    pub fn age_us(&self, now_us: u64) -> u64 {
        now_us.saturating_sub(self.reported_us.unwrap_or(now_us))
    }

    /// Time until an answer of the replica, as reported and as loaded by this node since.
    pub fn expected_us(&self, now_us: u64) -> u64 {
        let Some(report) = &self.report else {
            return 0;
        };
        let queued =
            report.service_us * u64::from(self.sent_since_report) / u64::from(self.slots.max(1));
        let hop = if self.local { 0 } else { REMOTE_ROUND_TRIP_US };
        self.wait_us(now_us) + report.service_us + queued + hop
    }

    /// Rank among the replicas of the service.
    pub fn rank(&self, now_us: u64) -> Rank {
        Rank {
            reachability: self.owner_reachability,
            time_steps: (self.expected_us(now_us) + self.lateness_us) / RANK_TIME_STEP_US,
            remote: !self.local,
            tie_break: self.tie_break,
        }
    }

    /// Whether the replica reports all of `ranges` at `version`.
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
