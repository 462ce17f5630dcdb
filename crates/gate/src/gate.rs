use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashSet;
use std::hash::BuildHasherDefault;
use std::hash::DefaultHasher;
use std::sync::Arc;

use crate::GateAction;
use crate::GateCounters;
use crate::GateEvent;
use crate::replica_gate::ReplicaGate;
use crate::time::SECOND_US;
use crate::turn::Place;
use crate::turn::Turn;
use wigeonhall_types::AttemptId;
use wigeonhall_types::Deployment;
use wigeonhall_types::RefusalReason;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::ReplicaReport;
use wigeonhall_types::SubOutcome;
use wigeonhall_types::SubRequest;

/// Time after its deadline for which a write is kept apart from its copies: as long as the
/// entry node waits for a late reply that settles the claim.
const WRITE_KEPT_US: u64 = 60 * SECOND_US;

/// Set with a fixed hash function; its order is never used.
type FixedSet<T> = HashSet<T, BuildHasherDefault<DefaultHasher>>;

/// Decides when each sub-request to an owned replica starts.
///
/// A slot is held from `Send` until the `TargetReply`, and if that is no reply of the
/// target, until the target says that the request does not run. Work starts only while
/// the lease is valid and the replica takes work.
#[derive(Debug, Default)]
pub struct Gate {
    counters: GateCounters,
    deployment: Arc<Deployment>,
    /// Work starts only before this time.
    lease_until_us: u64,
    /// Largest time given so far.
    now_us: u64,
    /// Every sub-request that waits or runs.
    places: BTreeMap<AttemptId, Place>,
    /// Owned replicas, and revoked ones with requests or a probe that still run.
    pub(crate) replicas: BTreeMap<ReplicaKey, ReplicaGate>,
    /// Sub-requests that came. A late copy of one that ended would run a write again, or
    /// refuse as "not run" what has run.
    submitted: FixedSet<AttemptId>,
    /// Those of `submitted` by the time until which they are kept; the sub-requests of one
    /// query share it.
    submitted_until: BTreeMap<u64, Vec<AttemptId>>,
    /// Replicas for which a sub-request waits.
    waiting: BTreeSet<ReplicaKey>,
    /// Each replica's next wake-up, in order.
    wakes: BTreeSet<(u64, ReplicaKey)>,
}

impl Gate {
    /// A gate that owns no replica.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counters of decisions.
    #[must_use]
    pub const fn counters(&self) -> &GateCounters {
        &self.counters
    }

    /// Takes one event and pushes what follows from it.
    ///
    /// A `now_us` below an earlier one is taken as the earlier one.
    pub fn handle(&mut self, now_us: u64, event: GateEvent, actions: &mut Vec<GateAction>) {
        self.now_us = self.now_us.max(now_us);
        // A reply that is already here counts before the deadline it just missed.
        if !matches!(event, GateEvent::TargetReply { .. }) {
            self.run_due(actions);
        }
        match event {
            GateEvent::Cancel(attempt) => self.cancel(attempt, actions),
            GateEvent::Deployment(deployment) => self.deploy(&deployment, actions),
            GateEvent::PollReply {
                attempt,
                replica,
                reply,
            } => {
                self.update(replica, actions, |it, turn| {
                    it.end_reply(turn, attempt, &reply.outcome);
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
                self.update(replica, actions, |it, turn| it.grant(turn, epoch, state));
            }
            GateEvent::LeaseUntil(until_us) => self.lease_until_us = until_us,
            GateEvent::ProbeReply { replica, reply } => {
                let known = self.update(replica, actions, |it, turn| it.probe_reply(turn, &reply));
                self.counters.unknown_replies += u64::from(!known);
            }
            GateEvent::Revoke {
                epoch,
                replica,
                successor,
            } => {
                let known = self.update(replica, actions, |it, turn| {
                    it.revoke(turn, epoch, successor);
                });
                self.counters.stale_ownership += u64::from(!known);
            }
            GateEvent::Submit(request) => self.submit(request, actions),
            GateEvent::TargetReply { attempt, reply } => {
                if let Some(place) = self.places.get(&attempt).copied() {
                    self.update(place.replica, actions, |it, turn| {
                        it.target_reply(turn, attempt, reply);
                    });
                } else {
                    self.counters.unknown_replies += 1;
                }
            }
            GateEvent::Tick => {}
        }
        self.run_due(actions);
    }

    /// Local time at which the next `Tick` is due.
    #[must_use]
    pub fn next_wake_us(&self) -> Option<u64> {
        let lease_us = (!self.waiting.is_empty()).then_some(self.lease_until_us);
        let wake_us = self.wakes.first().map(|(wake_us, _)| *wake_us);
        lease_us.into_iter().chain(wake_us).min()
    }

    /// Reports of all owned replicas.
    #[must_use]
    pub fn reports(&self, now_us: u64) -> Vec<(ReplicaKey, ReplicaReport)> {
        let now_us = self.now_us.max(now_us);
        let has_lease = now_us < self.lease_until_us;
        self.replicas
            .iter()
            .filter_map(|(key, replica)| Some((*key, replica.report(now_us, has_lease)?)))
            .collect()
    }

    /// Number of sub-requests waiting or running. A running one counts until its
    /// `TargetReply`, also when it was answered before.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.places.len()
    }

    fn cancel(&mut self, attempt: AttemptId, actions: &mut Vec<GateAction>) {
        if let Some(place) = self.places.get(&attempt).copied() {
            self.update(place.replica, actions, |it, turn| {
                it.cancel(turn, attempt, place);
            });
        } else {
            self.counters.unknown_cancels += 1;
        }
    }

    fn deploy(&mut self, deployment: &Arc<Deployment>, actions: &mut Vec<GateAction>) {
        if deployment.generation < self.deployment.generation {
            self.counters.stale_deployments += 1;
            return;
        }
        self.deployment = Arc::clone(deployment);
        let replicas = self.replicas.keys().copied().collect::<Vec<_>>();
        for replica in replicas {
            let spec = deployment.replicas.get(&replica).copied();
            let out = deployment.is_replica_out(replica);
            self.update(replica, actions, |it, turn| it.deploy(turn, spec, out));
        }
    }

    fn submit(&mut self, request: SubRequest, actions: &mut Vec<GateAction>) {
        self.counters.submitted += 1;
        if self.places.contains_key(&request.attempt) {
            self.counters.duplicate_submits += 1;
            return;
        }
        if !self.is_first_copy(&request) {
            self.counters.duplicate_submits += 1;
            return;
        }
        let (attempt, replica) = (request.attempt, request.replica);
        if self.update(replica, actions, |it, turn| it.submit(turn, request)) {
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

    /// Whether no copy of the sub-request came before. Past their deadline copies of a
    /// read are refused, and the entry node no longer heeds the refusal.
    fn is_first_copy(&mut self, request: &SubRequest) -> bool {
        while let Some(first) = self.submitted_until.first_entry()
            && *first.key() <= self.now_us
        {
            for attempt in first.remove() {
                self.submitted.remove(&attempt);
            }
        }
        let kept_us = if request.operation.is_idempotent() {
            0
        } else {
            WRITE_KEPT_US
        };
        let until_us = request.deadline_us.saturating_add(kept_us);
        if !self.submitted.insert(request.attempt) {
            return false;
        }
        let kept = self.submitted_until.entry(until_us).or_default();
        kept.push(request.attempt);
        true
    }

    /// Brings every replica to the present whose wake-up is due, and those with
    /// waiting sub-requests once the lease has ended.
    fn run_due(&mut self, actions: &mut Vec<GateAction>) {
        if self.now_us >= self.lease_until_us {
            for replica in std::mem::take(&mut self.waiting) {
                self.update(replica, actions, |_, _| {});
            }
        }
        let due = self
            .wakes
            .range(..=(self.now_us, ReplicaKey(u32::MAX)))
            .map(|(_, replica)| *replica)
            .collect::<Vec<_>>();
        for replica in due {
            self.update(replica, actions, |_, _| {});
        }
    }

    /// Applies `change` to a record, settles it and schedules its next wake-up.
    /// Returns whether there is a record.
    fn update(
        &mut self,
        key: ReplicaKey,
        actions: &mut Vec<GateAction>,
        change: impl FnOnce(&mut ReplicaGate, &mut Turn<'_>),
    ) -> bool {
        let Some(replica) = self.replicas.get_mut(&key) else {
            return false;
        };
        let mut turn = Turn {
            actions,
            counters: &mut self.counters,
            deployment: &self.deployment,
            lease_until_us: self.lease_until_us,
            now_us: self.now_us,
            places: &mut self.places,
        };
        change(replica, &mut turn);
        replica.settle(&mut turn);
        let wake_us = replica.wake_us(self.now_us);
        let old_us = std::mem::replace(&mut replica.scheduled_us, wake_us);
        if wake_us != old_us {
            if let Some(old_us) = old_us {
                self.wakes.remove(&(old_us, key));
            }
            self.wakes.extend(wake_us.map(|wake_us| (wake_us, key)));
        }
        if replica.waiting.len() > 0 {
            self.waiting.insert(key);
        } else {
            self.waiting.remove(&key);
        }
        if replica.is_idle() {
            self.replicas.remove(&key);
        }
        true
    }
}
