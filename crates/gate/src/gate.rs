use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashSet;
use std::hash::BuildHasherDefault;
use std::hash::DefaultHasher;
use std::sync::Arc;

use crate::GateAction;
use crate::GateCounters;
use crate::GateEvent;
use crate::context::EventContext;
use crate::context::OpenRequest;
use crate::replica_gate::ReplicaGate;
use crate::time::SECOND_US;
use wigeonhall_types::AttemptId;
use wigeonhall_types::Deployment;
use wigeonhall_types::RefusalReason;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::ReplicaReport;
use wigeonhall_types::SubOutcome;
use wigeonhall_types::SubRequest;

/// How long after its deadline the attempt id of a write is kept to detect duplicates. Equals
/// the time for which the entry node waits for a late reply that gives the outcome of the write.
const WRITE_DEDUP_US: u64 = 60 * SECOND_US;

/// Hash set with a fixed hash function, so that runs are reproducible. Nothing depends on its
/// iteration order.
type DeterministicSet<T> = HashSet<T, BuildHasherDefault<DefaultHasher>>;

/// Decides when each sub-request to an owned replica starts.
///
/// A sub-request occupies a slot from `Send` until its `TargetReply`. If that event stands for a
/// timeout or a broken connection, the slot stays occupied until the target confirms that the
/// request does not run. Requests start only while the lease, the right of this node to start
/// them, is valid and the replica accepts work.
#[derive(Debug, Default)]
pub struct Gate {
    counters: GateCounters,
    deployment: Arc<Deployment>,
    /// Local time at which the lease ends; requests start only before it.
    lease_until_us: u64,
    /// Largest time passed to `handle` so far.
    now_us: u64,
    /// Sub-requests that wait or run.
    open_requests: BTreeMap<AttemptId, OpenRequest>,
    /// Owned replicas, and revoked replicas that still have running requests or a probe in
    /// flight.
    pub(crate) replicas: BTreeMap<ReplicaKey, ReplicaGate>,
    /// Attempt ids of submitted sub-requests. Without them, a late duplicate of a finished
    /// sub-request would run a write again, or would be refused as "not run" although the
    /// request has run.
    submitted: DeterministicSet<AttemptId>,
    /// Attempt ids in `submitted` by the time at which they are dropped. The sub-requests
    /// of one query have the same deadline and share an entry.
    submitted_expiry: BTreeMap<u64, Vec<AttemptId>>,
    /// Replicas with waiting sub-requests.
    replicas_waiting: BTreeSet<ReplicaKey>,
    /// Next wake-up of each replica, in order of time.
    wake_ups: BTreeSet<(u64, ReplicaKey)>,
}

impl Gate {
    /// Creates a gate that owns no replica.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the counters of decisions.
    #[must_use]
    pub const fn counters(&self) -> &GateCounters {
        &self.counters
    }

    /// Handles one event and pushes the resulting actions.
    ///
    /// A `now_us` below that of an earlier call is replaced by the earlier one.
    pub fn handle(&mut self, now_us: u64, event: GateEvent, actions: &mut Vec<GateAction>) {
        self.now_us = self.now_us.max(now_us);
        // A target reply is handled before the wake-ups that are due, so that it counts although
        // the deadline has just passed.
        if !matches!(event, GateEvent::TargetReply { .. }) {
            self.advance_due(actions);
        }
        match event {
            GateEvent::Cancel(attempt) => self.cancel(attempt, actions),
            GateEvent::Deployment(deployment) => self.apply_deployment(&deployment, actions),
            GateEvent::PollReply {
                attempt,
                replica,
                reply,
            } => {
                self.update(replica, actions, |it, cx| {
                    it.poll_reply(cx, attempt, &reply.outcome);
                });
            }
            GateEvent::Grant {
                epoch,
                replica,
                state,
            } => {
                let spec = self.deployment.replicas.get(&replica).copied();
                let out = self.deployment.is_replica_out(replica);
                self.replicas
                    .entry(replica)
                    .or_insert_with(|| ReplicaGate::new(replica, spec, out));
                self.update(replica, actions, |it, cx| it.grant(cx, epoch, state));
            }
            GateEvent::LeaseUntil(until_us) => self.lease_until_us = until_us,
            GateEvent::ProbeReply { replica, reply } => {
                let known = self.update(replica, actions, |it, cx| it.probe_reply(cx, &reply));
                self.counters.unknown_replies += u64::from(!known);
            }
            GateEvent::Revoke {
                epoch,
                replica,
                successor,
            } => {
                let known = self.update(replica, actions, |it, cx| {
                    it.revoke(cx, epoch, successor);
                });
                self.counters.stale_ownership += u64::from(!known);
            }
            GateEvent::Submit(request) => self.submit(request, actions),
            GateEvent::TargetReply { attempt, reply } => {
                if let Some(open_request) = self.open_requests.get(&attempt).copied() {
                    self.update(open_request.replica, actions, |it, cx| {
                        it.target_reply(cx, attempt, reply);
                    });
                } else {
                    self.counters.unknown_replies += 1;
                }
            }
            GateEvent::Tick => {}
        }
        self.advance_due(actions);
    }

    /// Returns the local time of the next wake-up, at which a `Tick` is due.
    #[must_use]
    pub fn next_wake_us(&self) -> Option<u64> {
        let lease_us = (!self.replicas_waiting.is_empty()).then_some(self.lease_until_us);
        let wake_us = self.wake_ups.first().map(|(wake_us, _)| *wake_us);
        lease_us.into_iter().chain(wake_us).min()
    }

    /// Returns the reports of all owned replicas.
    #[must_use]
    pub fn reports(&self, now_us: u64) -> Vec<(ReplicaKey, ReplicaReport)> {
        let now_us = self.now_us.max(now_us);
        let has_lease = now_us < self.lease_until_us;
        self.replicas
            .iter()
            .filter_map(|(key, replica)| Some((*key, replica.report(now_us, has_lease)?)))
            .collect()
    }

    /// Returns the number of sub-requests that wait or run. A running one counts until its
    /// `TargetReply`, even if its `Respond` was pushed at the deadline.
    #[must_use]
    pub fn open_request_count(&self) -> usize {
        self.open_requests.len()
    }

    fn cancel(&mut self, attempt: AttemptId, actions: &mut Vec<GateAction>) {
        if let Some(open_request) = self.open_requests.get(&attempt).copied() {
            self.update(open_request.replica, actions, |it, cx| {
                it.cancel(cx, attempt, open_request);
            });
        } else {
            self.counters.unknown_cancels += 1;
        }
    }

    fn apply_deployment(&mut self, deployment: &Arc<Deployment>, actions: &mut Vec<GateAction>) {
        if deployment.generation < self.deployment.generation {
            self.counters.stale_deployments += 1;
            return;
        }
        self.deployment = Arc::clone(deployment);
        let replicas = self.replicas.keys().copied().collect::<Vec<_>>();
        for replica in replicas {
            let spec = deployment.replicas.get(&replica).copied();
            let out = deployment.is_replica_out(replica);
            self.update(replica, actions, |it, cx| it.set_spec(cx, spec, out));
        }
    }

    fn submit(&mut self, request: SubRequest, actions: &mut Vec<GateAction>) {
        self.counters.submitted += 1;
        if self.open_requests.contains_key(&request.attempt) {
            self.counters.duplicate_submits += 1;
            return;
        }
        if !self.is_first_submission(&request) {
            self.counters.duplicate_submits += 1;
            return;
        }
        let (attempt, replica) = (request.attempt, request.replica);
        if self.update(replica, actions, |it, cx| it.submit(cx, request)) {
            return;
        }
        let reason = if self.deployment.replicas.contains_key(&replica) {
            RefusalReason::NotOwner
        } else {
            RefusalReason::UnknownReplica
        };
        let outcome = SubOutcome::Refused {
            reason,
            retry_after_us: 0,
        };
        self.counters.count_outcome(&outcome);
        actions.push(GateAction::Respond {
            attempt,
            outcome,
            report: None,
        });
    }

    /// Returns whether the sub-request is not a duplicate, and records it. A read is recorded
    /// only until its deadline: later duplicates are refused, and the entry node ignores the
    /// refusal.
    fn is_first_submission(&mut self, request: &SubRequest) -> bool {
        while let Some(first) = self.submitted_expiry.first_entry()
            && *first.key() <= self.now_us
        {
            for attempt in first.remove() {
                self.submitted.remove(&attempt);
            }
        }
        let kept_us = if request.operation.is_idempotent() {
            0
        } else {
            WRITE_DEDUP_US
        };
        let until_us = request.deadline_us.saturating_add(kept_us);
        if !self.submitted.insert(request.attempt) {
            return false;
        }
        let kept = self.submitted_expiry.entry(until_us).or_default();
        kept.push(request.attempt);
        true
    }

    /// Advances each replica whose wake-up is due, and those with waiting sub-requests once the
    /// lease has ended.
    fn advance_due(&mut self, actions: &mut Vec<GateAction>) {
        if self.now_us >= self.lease_until_us {
            for replica in std::mem::take(&mut self.replicas_waiting) {
                self.update(replica, actions, |_, _| {});
            }
        }
        let due = self
            .wake_ups
            .range(..=(self.now_us, ReplicaKey(u32::MAX)))
            .map(|(_, replica)| *replica)
            .collect::<Vec<_>>();
        for replica in due {
            self.update(replica, actions, |_, _| {});
        }
    }

    /// Applies `change` to a replica, advances it to the current time and schedules its next
    /// wake-up. Returns whether the replica is known.
    fn update(
        &mut self,
        key: ReplicaKey,
        actions: &mut Vec<GateAction>,
        change: impl FnOnce(&mut ReplicaGate, &mut EventContext<'_>),
    ) -> bool {
        let Some(replica) = self.replicas.get_mut(&key) else {
            return false;
        };
        let mut cx = EventContext {
            actions,
            counters: &mut self.counters,
            deployment: &self.deployment,
            lease_until_us: self.lease_until_us,
            now_us: self.now_us,
            open_requests: &mut self.open_requests,
        };
        change(replica, &mut cx);
        replica.advance(&mut cx);
        let wake_us = replica.wake_us(self.now_us);
        let old_us = std::mem::replace(&mut replica.scheduled_wake_us, wake_us);
        if wake_us != old_us {
            if let Some(old_us) = old_us {
                self.wake_ups.remove(&(old_us, key));
            }
            self.wake_ups.extend(wake_us.map(|wake_us| (wake_us, key)));
        }
        if replica.waiting.len() > 0 {
            self.replicas_waiting.insert(key);
        } else {
            self.replicas_waiting.remove(&key);
        }
        if replica.is_removable() {
            self.replicas.remove(&key);
        }
        true
    }
}
