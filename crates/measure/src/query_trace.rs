use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::TimeParts;
use crate::time_parts::Condition;
use crate::time_parts::Hedging;
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

/// Times of one sub-request, in microseconds of virtual time; 0 until they are known.
#[derive(Clone, Copy, Debug)]
struct Sub {
    arrived_us: u64,
    attempt: AttemptId,
    condition: Condition,
    done_us: u64,
    refused: Option<RefusalReason>,
    replica: ReplicaKey,
    /// The reply reached the entry node.
    replied_us: u64,
    responded_us: u64,
    runs_us: u64,
    sent_us: u64,
    service: ServiceKey,
    sibling: Condition,
    started_us: u64,
    version: Option<IndexVersion>,
}

/// Follows the sub-requests of open queries and takes apart the time of each answer.
#[derive(Debug, Default)]
pub(crate) struct QueryTrace {
    /// Time parts of all answers that were counted.
    answers: BTreeMap<ClassKey, Vec<TimeParts>>,
    /// Sub-request whose reply is handled now.
    last: Option<AttemptId>,
    queries: HashMap<QueryId, Vec<Sub>>,
    query_of: HashMap<AttemptId, QueryId>,
    /// Replicas that their owners last reported as cold.
    cold: BTreeSet<ReplicaKey>,
}

impl QueryTrace {
    /// A sub-request of a query leaves its entry node; `sibling` is the worst condition
    /// of the other replicas of the service.
    pub(crate) fn sent(
        &mut self,
        now_us: u64,
        id: QueryId,
        service: ServiceKey,
        sub: &SubRequest,
        (condition, sibling): (Condition, Condition),
    ) {
        let (attempt, version) = (sub.attempt, sub.version);
        self.query_of.insert(attempt, id);
        self.queries.entry(id).or_default().push(Sub {
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
            sibling,
            started_us: 0,
            version,
        });
    }

    pub(crate) fn arrived(&mut self, now_us: u64, attempt: AttemptId) {
        self.note(attempt, |sub| sub.arrived_us = now_us);
    }

    pub(crate) fn started(&mut self, now_us: u64, attempt: AttemptId) {
        self.note(attempt, |sub| sub.started_us = now_us);
    }

    /// The target begins to work on it, in this condition.
    pub(crate) fn runs(&mut self, now_us: u64, attempt: AttemptId) {
        self.note(attempt, |sub| sub.runs_us = now_us);
    }

    pub(crate) fn done(&mut self, now_us: u64, attempt: AttemptId) {
        self.note(attempt, |sub| sub.done_us = now_us);
    }

    /// Its owner answers.
    pub(crate) fn responded(
        &mut self,
        now_us: u64,
        attempt: AttemptId,
        outcome: &SubOutcome,
        state: Option<ReplicaState>,
    ) {
        let cold = state == Some(ReplicaState::Cold);
        let mut replica = None;
        self.note(attempt, |sub| {
            sub.responded_us = now_us;
            if let SubOutcome::Refused { reason, .. } = outcome {
                sub.refused = Some(*reason);
            }
            if cold && sub.condition == Condition::Healthy {
                sub.condition = Condition::Cold;
            }
            replica = Some(sub.replica);
        });
        if let (Some(replica), true) = (replica, cold) {
            self.cold.insert(replica);
        } else if let (Some(replica), Some(_)) = (replica, state) {
            self.cold.remove(&replica);
        }
    }

    /// The reply reaches the entry node.
    pub(crate) fn replied(&mut self, now_us: u64, attempt: AttemptId) {
        self.note(attempt, |sub| sub.replied_us = now_us);
        self.last = Some(attempt);
    }

    /// A query is answered; its time is kept if it was `counted` for `class`.
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
        let last = self.last.and_then(|last| {
            let found = subs.iter().position(|sub| sub.attempt == last);
            found.map(|index| time_parts(&subs, index, received_us))
        });
        let mut parts = last.unwrap_or_default();
        parts.total_us = now_us - received_us;
        parts.whole = whole;
        self.answers.entry(class).or_default().push(parts);
    }

    /// Whether its owner last reported the replica as cold.
    pub(crate) fn is_cold(&self, replica: ReplicaKey) -> bool {
        self.cold.contains(&replica)
    }

    pub(crate) fn into_answers(self) -> BTreeMap<ClassKey, Vec<TimeParts>> {
        self.answers
    }

    fn note(&mut self, attempt: AttemptId, change: impl FnOnce(&mut Sub)) {
        let subs = self.query_of.get(&attempt);
        let subs = subs.and_then(|id| self.queries.get_mut(id));
        let sub = subs.and_then(|subs| subs.iter_mut().find(|sub| sub.attempt == attempt));
        if let Some(sub) = sub {
            change(sub);
        }
    }
}

/// Takes apart the time of a query that ended with the reply to `subs[last]`.
fn time_parts(subs: &[Sub], last: usize, received_us: u64) -> TimeParts {
    let end = subs[last];
    let ran = end.refused.is_none() && end.runs_us > 0;
    let same_part = |sub: &&Sub| sub.service == end.service && sub.version == end.version;
    let of_part: Vec<&Sub> = subs.iter().filter(same_part).collect();
    let mut parts = TimeParts {
        condition: end.condition,
        sibling: end.sibling,
        ..TimeParts::default()
    };
    if ran {
        parts.wait_us = end.started_us - end.arrived_us;
        parts.service_us = end.done_us.saturating_sub(end.runs_us);
    } else {
        parts.wait_us = end.responded_us - end.arrived_us;
    }
    let known_us = parts.wait_us + parts.service_us;
    parts.network_us = (end.replied_us - end.sent_us).saturating_sub(known_us);
    let mut at = end;
    let mut is_winner = true;
    loop {
        let before = of_part.iter().filter(|sub| {
            sub.sent_us < at.sent_us || (sub.sent_us == at.sent_us && sub.attempt < at.attempt)
        });
        let open = |sub: &Sub| sub.replied_us == 0 || sub.replied_us > at.sent_us;
        let hedged = before.clone().find(|sub| open(sub));
        if let Some(first) = hedged {
            parts.hedge_us += at.sent_us - first.sent_us;
            if is_winner {
                parts.hedging = Hedging::Won;
            }
            at = **first;
        } else if let Some(first) = before.max_by_key(|sub| (sub.sent_us, sub.attempt)) {
            parts.retry_us += at.sent_us - first.sent_us;
            parts.retries += 1;
            at = **first;
        } else {
            break;
        }
        is_winner = false;
    }
    if parts.hedging == Hedging::None {
        let later: Vec<_> = of_part
            .iter()
            .filter(|it| it.sent_us > end.sent_us)
            .collect();
        if !later.is_empty() {
            let refused = later.iter().all(|it| it.refused.is_some());
            parts.hedging = if refused {
                Hedging::Refused
            } else {
                Hedging::Lost
            };
        }
    }
    let first_us = subs.iter().map(|sub| sub.sent_us).min();
    let first_us = first_us.unwrap_or(received_us);
    parts.start_us = first_us - received_us;
    parts.restart_us = at.sent_us - first_us;
    parts
}
