use std::collections::BTreeMap;

use crate::GateAction;
use crate::context::EventContext;
use crate::fair_queue::FairQueue;
use crate::latency::LatencyEstimate;
use crate::prober::IDLE_PROBE_INTERVAL_US;
use crate::prober::Prober;
use crate::ramp::Ramp;
use crate::running_request::RunningRequest;
use crate::start_window::StartWindow;
use crate::time::SECOND_US;
use crate::unconfirmed::UnconfirmedRequests;
use wigeonhall_types::AttemptId;
use wigeonhall_types::ColdBound;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::RefusalReason;
use wigeonhall_types::Replica;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::ReplicaReport;
use wigeonhall_types::ReplicaState;
use wigeonhall_types::ServedVersion;

/// Retry delay in refusals without a valid lease. Leases are renewed several times a second.
const LEASE_RETRY_US: u64 = 100_000;

/// Retry delay in refusals for a replica that is out of service. A change of the deployment
/// spreads in about a second.
const OUT_OF_SERVICE_RETRY_US: u64 = SECOND_US;

/// Age up to which the served versions are trusted: two intervals between idle probes.
const SERVED_MAX_AGE_US: u64 = 2 * IDLE_PROBE_INTERVAL_US;

/// Cold bound (limits of a replica after its start) of one that no deployment has contained yet.
const UNKNOWN_COLD_BOUND: ColdBound = ColdBound {
    requests_per_s: 1,
    slots: 1,
};

/// Health of a target, as its replies and probes show it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Health {
    /// The target takes no new requests before it stops; reported as `Leaving`.
    Draining,
    Unreachable,
    Usable,
}

/// State of one replica that this node owns, or owned before while its requests or a probe are
/// still in flight.
#[derive(Debug)]
pub(crate) struct ReplicaGate {
    pub(crate) health: Health,
    /// Epoch (version) of the ownership table behind the latest grant or revocation.
    pub(crate) epoch: u64,
    /// Identity of the target process; `None` until a reply states it.
    pub(crate) instance: Option<u64>,
    pub(crate) key: ReplicaKey,
    pub(crate) latency: LatencyEstimate,
    /// Whether the replica is out of service or missing from the deployment.
    pub(crate) out_of_service: bool,
    /// Whether this node owns the replica. Otherwise no sub-request waits or starts.
    pub(crate) owned: bool,
    pub(crate) prober: Prober,
    /// Limits in force while the replica is cold or recovers from failures.
    pub(crate) ramp: Ramp,
    /// Identity of the target process that `instance` replaced.
    pub(crate) previous_instance: Option<u64>,
    /// Requests that were sent to the target and have no `TargetReply` yet.
    pub(crate) running: BTreeMap<AttemptId, RunningRequest>,
    /// Time of this replica's entry in the gate's index of wake-ups.
    pub(crate) scheduled_wake_us: Option<u64>,
    /// Index versions that the target serves, from its latest reply that lists them.
    pub(crate) served: Vec<ServedVersion>,
    /// Time of the reply that stated `served`.
    pub(crate) served_at_us: Option<u64>,
    /// Entry of the replica in the latest deployment that contains it.
    pub(crate) spec: Option<Replica>,
    /// Requests that may still run at the target; each occupies a slot.
    pub(crate) unconfirmed: UnconfirmedRequests,
    pub(crate) waiting: FairQueue,
    /// Recent starts, for the rate limit of a cold replica.
    pub(crate) starts: StartWindow,
}

impl ReplicaGate {
    pub(crate) fn new(key: ReplicaKey, spec: Option<Replica>, out_of_service: bool) -> Self {
        let cold_bound = spec.map_or(UNKNOWN_COLD_BOUND, |spec| spec.cold);
        Self {
            health: Health::Usable,
            epoch: 0,
            instance: None,
            key,
            latency: LatencyEstimate::default(),
            out_of_service,
            owned: false,
            prober: Prober::default(),
            ramp: Ramp::cold(cold_bound),
            previous_instance: None,
            running: BTreeMap::new(),
            scheduled_wake_us: None,
            served: Vec::new(),
            served_at_us: None,
            spec,
            unconfirmed: UnconfirmedRequests::default(),
            waiting: FairQueue::default(),
            starts: StartWindow::default(),
        }
    }

    /// Returns whether the gate can drop this replica.
    pub(crate) fn is_removable(&self) -> bool {
        !self.owned && self.running.is_empty() && !self.prober.is_in_flight()
    }

    /// Returns the number of requests that all slots serve in a second at the typical service
    /// time.
    pub(crate) fn full_rate_per_s(&self) -> u32 {
        let per_slot = SECOND_US / self.latency.typical_us().max(1);
        u32::try_from(per_slot * u64::from(self.slots())).unwrap_or(u32::MAX)
    }

    pub(crate) fn cold_bound(&self) -> ColdBound {
        self.spec.map_or(UNKNOWN_COLD_BOUND, |spec| spec.cold)
    }

    /// Returns the configured concurrency limit: at most one request per connection.
    pub(crate) fn slots(&self) -> u32 {
        self.spec
            .map_or(0, |spec| spec.slots.min(connections(&spec)))
    }

    /// Returns the concurrency limit in force, which is below the slots during a ramp.
    pub(crate) fn allowance(&self) -> u32 {
        self.ramp.allowance(self.slots())
    }

    /// Returns the number of occupied slots, including those of requests of the previous owner.
    pub(crate) fn occupied_slots(&self) -> u32 {
        (self.running.len() + self.unconfirmed.len()) as u32
    }

    /// Returns why no request may start now, whatever the load, and when to try again; `None`
    /// if requests may start.
    pub(crate) fn blocking_refusal(
        &self,
        now_us: u64,
        has_lease: bool,
    ) -> Option<(RefusalReason, u64)> {
        if !self.owned {
            return Some((RefusalReason::NotOwner, 0));
        }
        if self.out_of_service {
            return Some((RefusalReason::Out, OUT_OF_SERVICE_RETRY_US));
        }
        let wait_us = self.prober.retry_after_us(now_us);
        match self.health {
            Health::Draining => Some((RefusalReason::Leaving, wait_us)),
            Health::Unreachable => Some((RefusalReason::Unreachable, wait_us)),
            Health::Usable => (!has_lease).then_some((RefusalReason::NoLease, LEASE_RETRY_US)),
        }
    }

    /// Returns whether the target recently stated its versions and `version` is not among them.
    pub(crate) fn is_version_gone(&self, now_us: u64, version: Option<IndexVersion>) -> bool {
        let recent = self
            .served_at_us
            .is_some_and(|served_at_us| now_us < served_at_us + SERVED_MAX_AGE_US);
        recent && version.is_some_and(|it| self.served.iter().all(|served| served.version != it))
    }

    /// Returns the report for entry nodes; `None` if this node does not own the replica.
    pub(crate) fn report(&self, now_us: u64, has_lease: bool) -> Option<ReplicaReport> {
        let expected_wait_us = self.blocking_refusal(now_us, has_lease).map_or_else(
            || self.expected_start_us(now_us, self.waiting.len()) - now_us,
            |(_, retry_after_us)| retry_after_us,
        );
        self.owned.then(|| ReplicaReport {
            epoch: self.epoch,
            expected_wait_us,
            served: self.served.clone(),
            service_us: self.latency.typical_us(),
            state: self.state(),
        })
    }

    /// Returns the time at which [`advance`](Self::advance) next has something to do.
    pub(crate) fn wake_us(&self, now_us: u64) -> Option<u64> {
        let deadlines = self.running.values().filter(|running| !running.responded);
        let mut wake_us = deadlines.map(|running| running.deadline_us).min();
        let mut add = |time_us: u64| wake_us = Some(wake_us.map_or(time_us, |it| it.min(time_us)));
        if self.owned && !self.out_of_service {
            add(self.prober.wake_us());
        }
        if let Some(wake_us) = self.unconfirmed.wake_us() {
            add(wake_us);
        }
        if self.waiting.len() > 0 {
            let needed_us = self.required_while_waiting_us(now_us);
            for (_, (deadline_us, _)) in self.waiting.first_per_class() {
                add(deadline_us.saturating_sub(needed_us - 1));
            }
            let rate_limit_start_us = self.rate_limit_start_us(now_us, 0);
            if rate_limit_start_us > now_us {
                add(rate_limit_start_us);
            }
        }
        wake_us
    }

    /// Advances to the current time: expires deadlines, polls the target about unconfirmed
    /// requests, starts or refuses waiting sub-requests, and probes.
    pub(crate) fn advance(&mut self, cx: &mut EventContext<'_>) {
        self.expire_running(cx);
        self.poll_unconfirmed(cx);
        if let Some((reason, retry_after_us)) = self.blocking_refusal(cx.now_us, cx.has_lease()) {
            self.refuse_all_waiting(cx, reason, retry_after_us);
        } else {
            self.refuse_late(cx);
            self.start(cx);
            // If a refusal leaves only one class waiting, the share of that class no longer
            // limits it.
            while self.refuse_over_capacity(cx) {
                self.start(cx);
            }
        }
        self.probe(cx);
    }

    /// Responds to the entry nodes of running requests whose deadline has passed. Their slots
    /// stay occupied.
    fn expire_running(&mut self, cx: &mut EventContext<'_>) {
        let now_us = cx.now_us;
        let mut expired = Vec::new();
        for (attempt, running) in &mut self.running {
            if !running.responded && running.deadline_us <= now_us {
                running.responded = true;
                expired.push((*attempt, running.cancelled));
                running.cancelled = true;
            }
        }
        for (attempt, cancelled) in expired {
            self.respond_deadline_exceeded(cx, attempt, cancelled);
        }
    }

    /// Polls the target about requests that may still run there.
    fn poll_unconfirmed(&mut self, cx: &mut EventContext<'_>) {
        cx.counters.ends_given_up += self.unconfirmed.remove_expired(cx.now_us) as u64;
        for attempt in self.unconfirmed.take_due(cx.now_us) {
            cx.counters.ends_asked += 1;
            cx.actions.push(GateAction::PollEnd {
                attempt,
                replica: self.key,
            });
        }
    }

    fn probe(&mut self, cx: &mut EventContext<'_>) {
        if !self.owned || self.out_of_service {
            return;
        }
        if self.prober.is_timed_out(cx.now_us) {
            self.prober.take_in_flight();
            cx.counters.probes_lost += 1;
            self.record_failed_probe(cx);
        }
        if self.prober.try_send(cx.now_us, self.ramp.step()) {
            cx.counters.probes += 1;
            cx.actions.push(GateAction::Probe(self.key));
        }
    }

    fn state(&self) -> ReplicaState {
        match self.health {
            _ if self.out_of_service => ReplicaState::Out,
            Health::Draining => ReplicaState::Leaving,
            Health::Unreachable => ReplicaState::Unreachable,
            Health::Usable if self.ramp.is_cold() => ReplicaState::Cold,
            Health::Usable => ReplicaState::Warm,
        }
    }
}

/// Returns the number of connections that one owner keeps open: one more than the slots, but at
/// most half of the replica's limit, so that two owners stay within it during a hand-over.
pub(crate) fn connections(spec: &Replica) -> u32 {
    spec.slots
        .saturating_add(1)
        .min(spec.connections / 2)
        .max(1)
}
