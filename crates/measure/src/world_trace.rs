//! Passes the events of a traced run to its [`QueryTrace`], with the condition of the replicas.

use crate::World;
use crate::latency_breakdown::ReplicaCondition;
use crate::query_trace::QueryTrace;
use crate::world::OpenQuery;
use wigeonhall_query::AnswerStatus;
use wigeonhall_query::QueryId;
use wigeonhall_types::NodeKey;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::SubRequest;

impl World {
    /// Records a latency breakdown of each answer from now on.
    pub(crate) fn enable_trace(&mut self) {
        self.trace = Some(QueryTrace::default());
    }

    pub(crate) fn trace_send(&mut self, now_us: u64, from: NodeKey, sub: &SubRequest) {
        if self.trace.is_none() {
            return;
        }
        let query = self.nodes[&from].coordinator.request_of(sub.attempt);
        let service = self.deployment.replicas[&sub.replica].service;
        let replicas = &self.deployment.services[&service].replicas;
        let siblings = replicas.iter().filter(|&&it| it != sub.replica);
        let worst_sibling = siblings.map(|&it| self.condition(it)).max();
        let conditions = (
            self.condition(sub.replica),
            worst_sibling.unwrap_or_default(),
        );
        if let (Some(id), Some(trace)) = (query, &mut self.trace) {
            trace.sent(now_us, id, service, sub, conditions);
        }
    }

    pub(crate) fn trace_answer(
        &mut self,
        now_us: u64,
        id: QueryId,
        open: &OpenQuery,
        status: AnswerStatus,
    ) {
        let received_us = open.started_us + self.network.caller_us;
        if let Some(trace) = &mut self.trace {
            let whole = status == AnswerStatus::Whole;
            let counted = open.counted.then_some((open.class, whole));
            trace.answered(now_us, id, counted, received_us);
        }
    }

    fn condition(&self, replica: ReplicaKey) -> ReplicaCondition {
        let target = &self.targets[&replica];
        let data_centre = self.deployment.replicas[&replica].data_centre;
        let reported_cold = self
            .trace
            .as_ref()
            .is_some_and(|it| it.is_reported_cold(replica));
        if target.slowness > 1.0 {
            ReplicaCondition::Slow
        } else if !target.up {
            ReplicaCondition::Down
        } else if self.out_since_us.contains_key(&data_centre) {
            ReplicaCondition::Out
        } else if target.is_cold() || reported_cold {
            ReplicaCondition::Cold
        } else {
            ReplicaCondition::Healthy
        }
    }
}
