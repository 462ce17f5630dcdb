use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::LatencyBreakdown;
use crate::latency_breakdown::HedgeOutcome;
use crate::latency_breakdown::ReplicaCondition;
use wigeonhall_query::QueryId;
use wigeonhall_types::AttemptId;
use wigeonhall_types::ClassKey;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::RefusalReason;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::ReplicaState;
use wigeonhall_types::ServiceKey;
use wigeonhall_types::SubOutcome;
use wigeonhall_types::SubRequest;

/// Virtual times of one sub-request, in microseconds; 0 until the event happens.
#[derive(Clone, Copy, Debug)]
struct SubRequestTimes {
    /// Time at which the sub-request reached the owner.
    arrived_us: u64,
    attempt: AttemptId,
    condition: ReplicaCondition,
    /// Time at which the target completed the request.
    done_us: u64,
    refused: Option<RefusalReason>,
    replica: ReplicaKey,
    /// Time at which the reply reached the entry node.
    replied_us: u64,
    /// Time at which the owner sent the outcome.
    responded_us: u64,
    /// Time at which the target began to run the request.
    runs_us: u64,
    /// Time at which the entry node sent the sub-request.
    sent_us: u64,
    service: ServiceKey,
    worst_sibling: ReplicaCondition,
    /// Time at which the owner sent the request to the target.
    started_us: u64,
    version: Option<IndexVersion>,
}

/// Records the sub-requests of open queries and breaks down the latency of each answer.
#[derive(Debug, Default)]
pub(crate) struct QueryTrace {
    /// Latency breakdowns of all answers that were counted.
    answers: BTreeMap<ClassKey, Vec<LatencyBreakdown>>,
    /// Sub-request whose reply was handled last.
    last_replied: Option<AttemptId>,
    queries: HashMap<QueryId, Vec<SubRequestTimes>>,
    query_of: HashMap<AttemptId, QueryId>,
    /// Replicas that their owners last reported as cold, in which case they get less load.
    reported_cold: BTreeSet<ReplicaKey>,
}

impl QueryTrace {
    /// Records that an entry node sends a sub-request. `worst_sibling` is the worst condition
    /// among the other replicas of the service.
    pub(crate) fn sent(
        &mut self,
        now_us: u64,
        id: QueryId,
        service: ServiceKey,
        sub: &SubRequest,
        (condition, worst_sibling): (ReplicaCondition, ReplicaCondition),
    ) {
        let (attempt, version) = (sub.attempt, sub.version);
        self.query_of.insert(attempt, id);
        self.queries.entry(id).or_default().push(SubRequestTimes {
            arrived_us: 0,
            attempt,
            condition,
            done_us: 0,
            refused: None,
            replica: sub.replica,
            replied_us: 0,
            responded_us: 0,
            runs_us: 0,
            sent_us: now_us,
            service,
            worst_sibling,
            started_us: 0,
            version,
        });
    }

    pub(crate) fn arrived(&mut self, now_us: u64, attempt: AttemptId) {
        self.update(attempt, |sub| sub.arrived_us = now_us);
    }

    pub(crate) fn started(&mut self, now_us: u64, attempt: AttemptId) {
        self.update(attempt, |sub| sub.started_us = now_us);
    }

    /// Records that the target begins to run a sub-request.
    pub(crate) fn runs(&mut self, now_us: u64, attempt: AttemptId) {
        self.update(attempt, |sub| sub.runs_us = now_us);
    }

    pub(crate) fn done(&mut self, now_us: u64, attempt: AttemptId) {
        self.update(attempt, |sub| sub.done_us = now_us);
    }

    /// Records that the owner sends the outcome of a sub-request.
    pub(crate) fn responded(
        &mut self,
        now_us: u64,
        attempt: AttemptId,
        outcome: &SubOutcome,
        state: Option<ReplicaState>,
    ) {
        let cold = state == Some(ReplicaState::Cold);
        let mut replica = None;
        self.update(attempt, |sub| {
            sub.responded_us = now_us;
            if let SubOutcome::Refused { reason, .. } = outcome {
                sub.refused = Some(*reason);
            }
            if cold && sub.condition == ReplicaCondition::Healthy {
                sub.condition = ReplicaCondition::Cold;
            }
            replica = Some(sub.replica);
        });
        if let (Some(replica), true) = (replica, cold) {
            self.reported_cold.insert(replica);
        } else if let (Some(replica), Some(_)) = (replica, state) {
            self.reported_cold.remove(&replica);
        }
    }

    /// Records that the reply to a sub-request reaches the entry node.
    pub(crate) fn replied(&mut self, now_us: u64, attempt: AttemptId) {
        self.update(attempt, |sub| sub.replied_us = now_us);
        self.last_replied = Some(attempt);
    }

    /// Records the answer to a query. `counted` holds the class of a query whose latency
    /// breakdown is kept, and whether its answer is whole.
    pub(crate) fn answered(
        &mut self,
        now_us: u64,
        id: QueryId,
        counted: Option<(ClassKey, bool)>,
        received_us: u64,
    ) {
        let subs = self.queries.remove(&id).unwrap_or_default();
        for sub in &subs {
            self.query_of.remove(&sub.attempt);
        }
        let Some((class, whole)) = counted else {
            return;
        };
        let last = self.last_replied.and_then(|last| {
            let found = subs.iter().position(|sub| sub.attempt == last);
            found.map(|index| break_down(&subs, index, received_us))
        });
        let mut breakdown = last.unwrap_or_default();
        breakdown.total_us = now_us - received_us;
        breakdown.whole = whole;
        self.answers.entry(class).or_default().push(breakdown);
    }

    /// Returns whether the owner of the replica last reported it as cold.
    pub(crate) fn is_reported_cold(&self, replica: ReplicaKey) -> bool {
        self.reported_cold.contains(&replica)
    }

    pub(crate) fn into_answers(self) -> BTreeMap<ClassKey, Vec<LatencyBreakdown>> {
        self.answers
    }

    fn update(&mut self, attempt: AttemptId, change: impl FnOnce(&mut SubRequestTimes)) {
        let subs = self.query_of.get(&attempt);
        let subs = subs.and_then(|id| self.queries.get_mut(id));
        let sub = subs.and_then(|subs| subs.iter_mut().find(|sub| sub.attempt == attempt));
        if let Some(sub) = sub {
            change(sub);
        }
    }
}

/// Breaks down the latency of a query that was completed by the reply to `subs[last_index]`.
fn break_down(subs: &[SubRequestTimes], last_index: usize, received_us: u64) -> LatencyBreakdown {
    let last = subs[last_index];
    let ran = last.refused.is_none() && last.runs_us > 0;
    let same_leg =
        |sub: &&SubRequestTimes| sub.service == last.service && sub.version == last.version;
    let leg_subs: Vec<&SubRequestTimes> = subs.iter().filter(same_leg).collect();
    let mut breakdown = LatencyBreakdown {
        condition: last.condition,
        worst_sibling: last.worst_sibling,
        ..LatencyBreakdown::default()
    };
    if ran {
        breakdown.wait_us = last.started_us - last.arrived_us;
        breakdown.service_us = last.done_us.saturating_sub(last.runs_us);
    } else {
        breakdown.wait_us = last.responded_us - last.arrived_us;
    }
    let known_us = breakdown.wait_us + breakdown.service_us;
    breakdown.network_us = (last.replied_us - last.sent_us).saturating_sub(known_us);
    let mut current = last;
    let mut is_winner = true;
    // Walks back to the first attempt at the leg (the share of the query that one shard service
    // answers): a sub-request is a hedge if an earlier one had
    // no reply when it was sent, and otherwise a retry.
    loop {
        let earlier = leg_subs.iter().filter(|sub| {
            sub.sent_us < current.sent_us
                || (sub.sent_us == current.sent_us && sub.attempt < current.attempt)
        });
        let is_open =
            |sub: &SubRequestTimes| sub.replied_us == 0 || sub.replied_us > current.sent_us;
        let hedged = earlier.clone().find(|sub| is_open(sub));
        if let Some(previous) = hedged {
            breakdown.hedge_us += current.sent_us - previous.sent_us;
            if is_winner {
                breakdown.hedge_outcome = HedgeOutcome::Won;
            }
            current = **previous;
        } else if let Some(previous) = earlier.max_by_key(|sub| (sub.sent_us, sub.attempt)) {
            breakdown.retry_us += current.sent_us - previous.sent_us;
            breakdown.retries += 1;
            current = **previous;
        } else {
            break;
        }
        is_winner = false;
    }
    if breakdown.hedge_outcome == HedgeOutcome::None {
        let later: Vec<_> = leg_subs
            .iter()
            .filter(|it| it.sent_us > last.sent_us)
            .collect();
        if !later.is_empty() {
            let refused = later.iter().all(|it| it.refused.is_some());
            breakdown.hedge_outcome = if refused {
                HedgeOutcome::Refused
            } else {
                HedgeOutcome::Lost
            };
        }
    }
    let first_us = subs.iter().map(|sub| sub.sent_us).min();
    let first_us = first_us.unwrap_or(received_us);
    breakdown.start_us = first_us - received_us;
    breakdown.restart_us = current.sent_us - first_us;
    breakdown
}
