use crate::limits::BACK_OFF_FIRST_US;
use crate::limits::BACK_OFF_LAST_US;
use crate::limits::REMOTE_HOP_US;
use crate::limits::SCORE_STEP_US;
use crate::reach::Reach;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::KeyRange;
use wigeonhall_types::NodeKey;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::ReplicaReport;
use wigeonhall_types::ReplicaState;
use wigeonhall_types::ServiceKey;

/// Rank of a replica in its service; smaller is better.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    /// A silent owner ranks last, whatever its last report said.
    reach: Reach,
    /// Expected time in steps of `SCORE_STEP_US`.
    steps: u64,
    /// The replica is in another data centre.
    remote: bool,
    /// Drawn anew for each rank; spreads equal replicas.
    tie: u32,
    /// The replica.
    pub replica: ReplicaKey,
}

/// What this node knows of a replica.
#[derive(Clone, Debug, Default)]
pub struct ReplicaView {
    /// Sheds and errors since the last answer.
    pub back_streak: u32,
    /// Local time until which the replica is put back.
    pub back_until_us: u64,
    /// Time by which answers lately came later than expected. It falls by half with each
    /// refreshed report, so that a replica that gets nothing is tried again.
    pub excess_us: u64,
    /// Local time of the last report.
    pub heard_us: Option<u64>,
    /// Open sub-requests of this node at the replica.
    pub in_flight: u32,
    /// The replica is in the node's data centre.
    pub local: bool,
    /// Taken out, or not in the deployment.
    pub out: bool,
    /// Owner and epoch of the table that names it.
    pub owner: Option<(NodeKey, u64)>,
    /// Whether the owner can be reached.
    pub owner_reach: Reach,
    /// Rank in the service; set exactly while the replica is usable.
    pub rank: Option<Rank>,
    /// Last report.
    pub report: Option<ReplicaReport>,
    /// Service in the deployment.
    pub service: Option<ServiceKey>,
    /// Slots in the deployment, at least 1.
    pub slots: u32,
    /// Part of `in_flight` that was sent after the last report, which thus cannot count it.
    pub unseen: u32,
}

impl ReplicaView {
    /// Puts the replica back; the time doubles with each call until `answered`.
    pub fn put_back(&mut self, now_us: u64, at_least_us: u64) {
        let grown = BACK_OFF_FIRST_US << self.back_streak.min(10);
        let time = grown.max(at_least_us).min(BACK_OFF_LAST_US);
        self.back_streak = self.back_streak.saturating_add(1);
        self.back_until_us = self.back_until_us.max(now_us + time);
    }

    /// Ends the growth of the back-off, and learns how late the answer came.
    pub fn answered(&mut self, excess_us: u64) {
        self.back_streak = 0;
        self.excess_us = (self.excess_us * 3 + excess_us) / 4;
    }

    /// Learns that an answer is late by at least `excess_us`.
    pub fn overtaken(&mut self, excess_us: u64) {
        self.excess_us = self.excess_us.max(excess_us);
    }

    /// Whether the owner can be asked and has not reported yet.
    pub fn unreported(&self) -> Option<NodeKey> {
        if self.out || self.owner_reach == Reach::Lost || self.report.is_some() {
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
        takes_work && !self.out && self.owner_reach != Reach::Lost && self.owner.is_some()
    }

    /// Time that a sub-request would wait for a slot now. The queue of the report has
    /// shrunk since by as much as the report is old; without that, a node that was told
    /// of a long queue would refuse everything until it is told otherwise.
    pub fn wait_us(&self, now_us: u64) -> u64 {
        let Some(report) = &self.report else {
            return 0;
        };
        let age_us = now_us.saturating_sub(self.heard_us.unwrap_or(now_us));
        report.expected_wait_us.saturating_sub(age_us)
    }

    /// Time until an answer of the replica, as reported and as loaded by this node since.
    pub fn expected_us(&self) -> u64 {
        let Some(report) = &self.report else {
            return 0;
        };
        let queued = report.service_us * u64::from(self.unseen) / u64::from(self.slots.max(1));
        let hop = if self.local { 0 } else { REMOTE_HOP_US };
        report.expected_wait_us + report.service_us + queued + hop
    }

    /// Rank among the replicas of the service.
    pub fn ranked(&self, replica: ReplicaKey, tie: u32) -> Rank {
        Rank {
            reach: self.owner_reach,
            steps: (self.expected_us() + self.excess_us) / SCORE_STEP_US,
            remote: !self.local,
            tie,
            replica,
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
