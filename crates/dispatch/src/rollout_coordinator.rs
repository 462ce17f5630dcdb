use std::collections::BTreeMap;
use std::sync::Arc;

use crate::RequestCounts;
use crate::RolloutBounds;
use crate::RolloutPhase;
use crate::RolloutState;
use crate::RolloutTotals;
use crate::exposure_plan;
use crate::rollout_verdict::judge;

/// Longest time by which nodes learn of a rollout after its request.
const LEARNING_MAX_MS: u64 = 800;

/// Divisor of a rollout's duration; the version is accepted no sooner than the quotient before its
/// end, as it may become bad late.
const ACCEPTANCE_DIVISOR: u64 = 5;

/// Limits of the time between the acceptance and the end of a rollout; nodes move and requests in
/// flight end within it.
const ACCEPTANCE_MIN_MS: u64 = 2_500;
const ACCEPTANCE_MAX_MS: u64 = 5_000;

/// Time before the end of a rollout at which a version without enough evidence is rolled back.
const LAST_ACCEPTANCE_MS: u64 = 1_300;

/// Time before the end of a rollout at which the final state is written whatever is missing.
const LAST_WRITE_MS: u64 = 600;

/// Time since its last report after which a node counts as absent.
const REPORT_MAX_AGE_US: u64 = 2_500_000;

/// Shortest time between two looks at the evidence; each costs a pass over the totals of all nodes.
const EVALUATION_INTERVAL_US: u64 = 250_000;

/// What the coordinator tells a node that reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RolloutOrder {
    /// Send all requests to the target version.
    Move,
    /// Send no requests to the target version.
    Stop,
    /// Send a share of the requests to the target version.
    Try,
}

impl RolloutOrder {
    /// Returns the name in messages and log lines.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Move => "move",
            Self::Stop => "stop",
            Self::Try => "try",
        }
    }
}

/// The coordinator's answer to a report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutAnswer {
    /// Time since the request of the rollout, as far as the coordinator knows.
    pub elapsed_ms: u64,
    /// Probability of a request to the target version in addition to the node's own share.
    pub coordinator_share: f64,
    /// What the node sends to the target version.
    pub order: RolloutOrder,
}

/// What the coordinator knows besides the reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutContext {
    /// Limits of the rollout.
    pub bounds: RolloutBounds,
    /// Time after the request by which the final state must be written.
    pub duration_ms: u64,
    /// Time since the request of the rollout.
    pub elapsed_ms: u64,
    /// Number of nodes of the tier.
    pub known_nodes: usize,
    /// Time on the clock of the node.
    pub now_us: u64,
}

impl RolloutContext {
    /// Time until the end of the rollout, which nodes may have learnt late.
    fn left_ms(&self) -> u64 {
        let learning_ms = (self.duration_ms / 10).min(LEARNING_MAX_MS);
        self.duration_ms
            .saturating_sub(learning_ms + self.elapsed_ms)
    }

    /// Time before the end of the rollout from which the version may be accepted.
    fn acceptance_ms(&self) -> u64 {
        (self.duration_ms / ACCEPTANCE_DIVISOR).clamp(ACCEPTANCE_MIN_MS, ACCEPTANCE_MAX_MS)
    }
}

/// What a node tells the coordinator.
#[derive(Clone, Debug)]
pub struct NodeReport {
    /// Requests of the node since the request of the rollout.
    pub counts: RequestCounts,
    /// Requests in flight at the earlier version.
    pub earlier_in_flight: u32,
    /// Name of the node.
    pub node: Arc<str>,
    /// Which versions the node sends requests to.
    pub phase: RolloutPhase,
    /// All responses to the node's requests since the request of the rollout.
    pub totals: RolloutTotals,
}

/// A decision of the coordinator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutDecision {
    /// What nodes are told from now on.
    pub order: RolloutOrder,
    /// Responses that decided it, or why there are too few.
    pub reason: String,
}

/// Collects the reports about one rollout, decides it, and tells the nodes.
#[derive(Debug)]
pub struct RolloutCoordinator {
    /// Requests to the target version by processes of nodes that have started anew since.
    ended_to_target: u64,
    /// Time from which the evidence is looked at again.
    next_evaluation_us: u64,
    order: RolloutOrder,
    /// Newest report of each node, with its time.
    reports: BTreeMap<Arc<str>, (u64, NodeReport)>,
    target_version: Arc<str>,
}

impl RolloutCoordinator {
    /// Creates the coordinator of a rollout.
    #[must_use]
    pub const fn new(target_version: Arc<str>) -> Self {
        Self {
            ended_to_target: 0,
            next_evaluation_us: 0,
            order: RolloutOrder::Try,
            reports: BTreeMap::new(),
            target_version,
        }
    }

    /// Returns the version of the rollout.
    #[must_use]
    pub const fn target_version(&self) -> &Arc<str> {
        &self.target_version
    }

    /// Returns what nodes are told.
    #[must_use]
    pub const fn order(&self) -> RolloutOrder {
        self.order
    }

    /// Returns the number of requests to the target version that nodes reported.
    #[must_use]
    pub fn new_requests(&self) -> u64 {
        let reports = self.reports.values();
        reports.map(|(_, report)| report.totals.new_total()).sum()
    }

    /// Takes in a report.
    pub fn report(&mut self, now_us: u64, report: NodeReport) {
        let counts = report.counts;
        let former = self.reports.insert(report.node.clone(), (now_us, report));
        if let Some((_, former)) = former
            && former.counts.all > counts.all
        {
            self.ended_to_target += former.counts.to_target;
        }
    }

    /// Returns the probability of requests to the target version in addition to the nodes' own
    /// shares. Only a coordinator that most nodes report to allows any, so that there is one.
    #[must_use]
    pub fn coordinator_share(&self, clock: RolloutContext) -> f64 {
        if self.order != RolloutOrder::Try || !self.most_report(clock) {
            return 0.0;
        }
        let mut counts = RequestCounts {
            all: 0,
            to_target: self.ended_to_target,
        };
        for (_, report) in self.reports.values() {
            counts.all += report.counts.all;
            counts.to_target += report.counts.to_target;
        }
        let left_ms = clock.left_ms().saturating_sub(clock.acceptance_ms());
        exposure_plan::coordinator_share(clock.bounds, counts, clock.elapsed_ms, left_ms)
    }

    fn most_report(&self, clock: RolloutContext) -> bool {
        2 * self.recent(clock.now_us).count() > clock.known_nodes
    }

    /// Decides by the reports so far.
    pub fn decide(&mut self, clock: RolloutContext) -> Option<RolloutDecision> {
        if self.order == RolloutOrder::Stop || clock.now_us < self.next_evaluation_us {
            return None;
        }
        self.next_evaluation_us = clock.now_us + EVALUATION_INTERVAL_US;
        let mut totals = RolloutTotals::default();
        for (_, report) in self.reports.values() {
            totals.add(&report.totals);
        }
        let verdict = judge(&totals);
        let left_ms = clock.left_ms();
        let most_report = self.most_report(clock);
        // A coordinator that few nodes reach leaves the decision to another one for as long as it
        // can.
        let (accept_ms, give_up_ms) = if most_report {
            (clock.acceptance_ms(), LAST_ACCEPTANCE_MS)
        } else {
            (LAST_WRITE_MS, LAST_WRITE_MS / 2)
        };
        let trying = self.order == RolloutOrder::Try;
        let order = if verdict.bad {
            RolloutOrder::Stop
        } else if trying && left_ms <= accept_ms && verdict.acceptable {
            RolloutOrder::Move
        } else if trying && left_ms <= give_up_ms {
            RolloutOrder::Stop
        } else {
            return None;
        };
        self.order = order;
        Some(RolloutDecision {
            order,
            reason: verdict.reason,
        })
    }

    /// Returns the final state that is to be written now.
    ///
    /// Before a success, all nodes that reported recently must have moved and ended their requests
    /// to the earlier version, whose replicas stop at the write. Absent nodes cannot be told, and a
    /// wait for them would add to the exposure; at the end of the rollout, no node is awaited.
    #[must_use]
    pub fn due_state(&self, clock: RolloutContext) -> Option<RolloutState> {
        match self.order {
            RolloutOrder::Stop => Some(RolloutState::RolledBack),
            RolloutOrder::Try => None,
            RolloutOrder::Move => {
                let moved = |report: &NodeReport| {
                    report.phase == RolloutPhase::Moving && report.earlier_in_flight == 0
                };
                let all_moved = self.recent(clock.now_us).all(moved);
                let last = clock.left_ms() <= LAST_WRITE_MS;
                (all_moved || last).then_some(RolloutState::Succeeded)
            }
        }
    }

    fn recent(&self, now_us: u64) -> impl Iterator<Item = &NodeReport> {
        let recent = move |at_us: u64| now_us.saturating_sub(at_us) < REPORT_MAX_AGE_US;
        let reports = self.reports.values();
        reports
            .filter(move |(at_us, _)| recent(*at_us))
            .map(|(_, report)| report)
    }
}
